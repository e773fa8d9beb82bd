package strike

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// Weights of an event in strikes.
const (
	TargetDied     = 2 // the agent saw its target die
	ConnectionLost = 1 // the target or only the way to it may be gone
	AnswerCut      = 1 // the target broke the answer off, with or without dying
)

const (
	suspectFrom = 2 // strikes from which a request runs only alone
	refusedFrom = 4 // strikes from which a request is refused
	// Lifetime is how long strikes last after the latest one.
	Lifetime       = 10 * time.Minute
	maxPerShard    = 1024
	shards         = 16
	fingerprintLen = 16 // bytes of the hash kept
)

// Verdict says how a request may run.
type Verdict int

// Verdicts.
const (
	Clear Verdict = iota
	Suspect
	Refused
)

// Fingerprint identifies a request by account and body.
func Fingerprint(account string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintLen])
}

// Count is what one node has counted under a fingerprint.
type Count struct {
	Fingerprint string
	Node        string
	Strikes     int
	Cleared     int // strikes found undeserved: the request ran whole, alone
}

type tally struct {
	byNode  map[string]Count
	touched time.Time
}

func (t *tally) strikes() int {
	sum, cleared := 0, 0
	for _, count := range t.byNode {
		sum += count.Strikes
		cleared = max(cleared, count.Cleared)
	}
	return sum - cleared
}

type shard struct {
	mu      sync.Mutex
	tallies map[string]*tally
}

// Table counts strikes by fingerprint, in shards.
type Table struct {
	node   string
	shards [shards]shard
}

// NewTable returns the table of a node. The name must be of this incarnation
// of the node alone.
func NewTable(node string) *Table {
	t := &Table{node: node}
	for i := range t.shards {
		t.shards[i].tallies = make(map[string]*tally)
	}
	return t
}

func (t *Table) shard(fingerprint string) *shard {
	sum := 0
	for i := 0; i < len(fingerprint); i++ {
		sum = sum*31 + int(fingerprint[i])
	}
	return &t.shards[uint(sum)%shards]
}

// VerdictFor says how the request with this fingerprint may run.
func (t *Table) VerdictFor(fingerprint string, now time.Time) Verdict {
	s := t.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.tallies[fingerprint]
	if !ok || now.Sub(found.touched) > Lifetime {
		return Clear
	}
	switch strikes := found.strikes(); {
	case strikes >= refusedFrom:
		return Refused
	case strikes >= suspectFrom:
		return Suspect
	}
	return Clear
}

// Strike adds strikes and returns this node's new count.
func (t *Table) Strike(fingerprint string, weight int, now time.Time) Count {
	s := t.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.get(fingerprint, now)
	own := found.byNode[t.node]
	own = Count{Fingerprint: fingerprint, Node: t.node, Strikes: own.Strikes + weight, Cleared: own.Cleared}
	found.byNode[t.node] = own
	found.touched = now
	return own
}

// ClearStrikes clears the strikes so far: the request ran whole, alone.
func (t *Table) ClearStrikes(fingerprint string, now time.Time) {
	s := t.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.tallies[fingerprint]
	if !ok {
		return
	}
	sum := 0
	for _, count := range found.byNode {
		sum += count.Strikes
	}
	own := found.byNode[t.node]
	own.Fingerprint, own.Node, own.Cleared = fingerprint, t.node, sum
	found.byNode[t.node] = own
	found.touched = now
}

// Merge takes in counts of other nodes.
func (t *Table) Merge(counts []Count, now time.Time) {
	for _, count := range counts {
		s := t.shard(count.Fingerprint)
		s.mu.Lock()
		s.merge(count, now)
		s.mu.Unlock()
	}
}

func (s *shard) merge(count Count, now time.Time) {
	found := s.get(count.Fingerprint, now)
	held := found.byNode[count.Node]
	if count.Strikes <= held.Strikes && count.Cleared <= held.Cleared {
		return
	}
	count.Strikes = max(count.Strikes, held.Strikes)
	count.Cleared = max(count.Cleared, held.Cleared)
	found.byNode[count.Node] = count
	found.touched = now
}

// Counts returns all live counts, for other nodes, and forgets old ones.
func (t *Table) Counts(now time.Time) []Count { return t.CountsSince(time.Time{}, now) }

// CountsSince is Counts, but for those that changed since a time.
func (t *Table) CountsSince(since, now time.Time) []Count {
	var counts []Count
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for fingerprint, found := range s.tallies {
			if now.Sub(found.touched) > Lifetime {
				delete(s.tallies, fingerprint)
				continue
			}
			if found.touched.Before(since) {
				continue
			}
			for _, count := range found.byNode {
				counts = append(counts, count)
			}
		}
		s.mu.Unlock()
	}
	return counts
}

// get returns the tally of a fingerprint, anew where the old one has expired.
func (s *shard) get(fingerprint string, now time.Time) *tally {
	found, ok := s.tallies[fingerprint]
	if ok && now.Sub(found.touched) <= Lifetime {
		return found
	}
	if !ok && len(s.tallies) >= maxPerShard {
		s.evictOldest()
	}
	found = &tally{byNode: make(map[string]Count), touched: now}
	s.tallies[fingerprint] = found
	return found
}

func (s *shard) evictOldest() {
	oldest := ""
	for fingerprint, found := range s.tallies {
		if oldest == "" || found.touched.Before(s.tallies[oldest].touched) {
			oldest = fingerprint
		}
	}
	delete(s.tallies, oldest)
}
