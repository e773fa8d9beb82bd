package strike

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// Strikes for each kind of event.
const (
	TargetDied     = 2 // the agent saw its target die
	ConnectionLost = 1 // the target may have died, or only its connection failed
	AnswerCut      = 1 // the target ended the answer early, and may have died
)

const (
	suspectStrikes = 2 // strikes from which a request must run alone
	refusedStrikes = 4 // strikes from which a request is refused
	// Lifetime is the time after which strikes expire, counted from the latest
	// change.
	Lifetime = 10 * time.Minute
	// TrialInterval is the time after the latest strike, or the latest trial, after which a
	// refused request may be tried once more, since what was lost may not be due to it.
	TrialInterval      = 2 * time.Second
	maxRecordsPerShard = 1024
	shards             = 16
	fingerprintLen     = 16 // bytes kept of the hash
)

// Verdict says how a request may run.
type Verdict int

// Values of Verdict.
const (
	Allowed Verdict = iota // may run beside other requests
	Suspect                // must run alone on its target
	Refused                // may not run
)

// Fingerprint identifies a request by account and body.
func Fingerprint(account string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintLen])
}

// Count is one node's count of strikes for a fingerprint.
type Count struct {
	Fingerprint string
	Node        string
	Strikes     int
	Cleared     int       // strikes, of all nodes, cleared because the request later completed
	At          time.Time // latest change at the node
}

// record holds the counts of all nodes for one fingerprint.
type record struct {
	byNode    map[string]Count
	latest    time.Time // latest change at any node, from which the record expires
	changedAt time.Time // latest change of this record, by a node's count that arrived perhaps later
	triedAt   time.Time // latest trial at this node while the request was refused
}

func (r *record) expired(now time.Time) bool { return now.Sub(r.latest) > Lifetime }

// put replaces the count of a node.
func (r *record) put(count Count, now time.Time) {
	r.byNode[count.Node] = count
	r.changedAt = now
	if count.At.After(r.latest) {
		r.latest = count.At
	}
}

// strikes returns the sum of all nodes' strikes that have not been cleared.
func (r *record) strikes() int {
	sum, cleared := 0, 0
	for _, count := range r.byNode {
		sum += count.Strikes
		cleared = max(cleared, count.Cleared)
	}
	return sum - cleared
}

type shard struct {
	mu      sync.Mutex
	records map[string]*record
}

// Table counts strikes by fingerprint. Its shards have a lock each.
type Table struct {
	node   string
	shards [shards]shard
}

// NewTable returns an empty table for a node. The name must be unique to this
// incarnation of the node.
func NewTable(node string) *Table {
	t := &Table{node: node}
	for i := range t.shards {
		t.shards[i].records = make(map[string]*record)
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

// VerdictFor returns how the request with this fingerprint may run.
func (t *Table) VerdictFor(fingerprint string, now time.Time) Verdict {
	s := t.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.records[fingerprint]
	if !ok || found.expired(now) {
		return Allowed
	}
	switch strikes := found.strikes(); {
	case strikes >= refusedStrikes:
		return Refused
	case strikes >= suspectStrikes:
		return Suspect
	}
	return Allowed
}

// Try reports whether a refused request may be tried now, and counts it as tried if so. If
// not, it returns the time until it may.
func (t *Table) Try(fingerprint string, now time.Time) (bool, time.Duration) {
	s := t.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.records[fingerprint]
	if !ok {
		return true, 0
	}
	last := found.latest
	if found.triedAt.After(last) {
		last = found.triedAt
	}
	if wait := last.Add(TrialInterval).Sub(now); wait > 0 {
		return false, wait
	}
	found.triedAt = now
	return true, 0
}

// Strike adds weight strikes to this node's count and returns the new count.
func (t *Table) Strike(fingerprint string, weight int, now time.Time) Count {
	s := t.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.getOrCreate(fingerprint, now)
	own := found.byNode[t.node]
	own = Count{Fingerprint: fingerprint, Node: t.node, Strikes: own.Strikes + weight, Cleared: own.Cleared, At: now}
	found.put(own, now)
	return own
}

// ClearStrikes clears the strikes so far, because the request completed.
func (t *Table) ClearStrikes(fingerprint string, now time.Time) {
	s := t.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.records[fingerprint]
	if !ok || found.strikes() == 0 {
		return
	}
	sum := 0
	for _, count := range found.byNode {
		sum += count.Strikes
	}
	own := found.byNode[t.node]
	own.Fingerprint, own.Node, own.Cleared, own.At = fingerprint, t.node, sum, now
	found.put(own, now)
}

// Merge merges counts of other nodes into the table. It ignores those that have expired.
func (t *Table) Merge(counts []Count, now time.Time) {
	for _, count := range counts {
		if now.Sub(count.At) > Lifetime {
			continue
		}
		s := t.shard(count.Fingerprint)
		s.mu.Lock()
		s.merge(count, now)
		s.mu.Unlock()
	}
}

func (s *shard) merge(count Count, now time.Time) {
	found := s.getOrCreate(count.Fingerprint, now)
	held := found.byNode[count.Node]
	if count.Strikes <= held.Strikes && count.Cleared <= held.Cleared {
		return
	}
	count.Strikes = max(count.Strikes, held.Strikes)
	count.Cleared = max(count.Cleared, held.Cleared)
	found.put(count, now)
}

// Counts returns all counts, to be sent to other nodes, and drops expired ones.
func (t *Table) Counts(now time.Time) []Count { return t.CountsSince(time.Time{}, now) }

// CountsSince is like Counts, but returns only the counts of fingerprints that
// changed at or after a time.
func (t *Table) CountsSince(since, now time.Time) []Count {
	var counts []Count
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for fingerprint, found := range s.records {
			if found.expired(now) {
				delete(s.records, fingerprint)
				continue
			}
			if found.changedAt.Before(since) {
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

// getOrCreate returns the record of a fingerprint. It creates one if there is
// none or the old one has expired.
func (s *shard) getOrCreate(fingerprint string, now time.Time) *record {
	found, ok := s.records[fingerprint]
	if ok && !found.expired(now) {
		return found
	}
	if !ok && len(s.records) >= maxRecordsPerShard {
		s.evictOldest()
	}
	found = &record{byNode: make(map[string]Count), changedAt: now}
	s.records[fingerprint] = found
	return found
}

func (s *shard) evictOldest() {
	oldest := ""
	for fingerprint, found := range s.records {
		if oldest == "" || found.latest.Before(s.records[oldest].latest) {
			oldest = fingerprint
		}
	}
	delete(s.records, oldest)
}
