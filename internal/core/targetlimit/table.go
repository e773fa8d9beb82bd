package targetlimit

import (
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quetzalbend/internal/core/rendezvous"
	"quetzalbend/internal/core/share"
)

const (
	// window is the time over which the requests are counted, and shortWindow the one that
	// spreads them within it. Both are a little longer than 4 s and 1 s, since requests
	// take different times to the target.
	window      = 4200 * time.Millisecond
	shortWindow = 1050 * time.Millisecond
	windowRate  = 4.0 // seconds of the limit that may be sent in window
	// limitLifetime is the time without an answer of the target after which its limit is
	// forgotten.
	limitLifetime = 30 * time.Second
	// reportTime is how long after its last request a gateway reports on a target. It is
	// longer than window, so that the others learn that the requests no longer count.
	reportTime = window + 700*time.Millisecond
	// baseSenders is the number of gateways that may send to a target whatever its limit,
	// and sendersPerRate how many more may for each request per second.
	baseSenders    = 4
	sendersPerRate = 2.0
	maxTargets     = 4096
)

// Report is what a gateway tells the others of a target that names a limit.
type Report struct {
	Target    uint64        // hash of the target's incarnation
	Limit     float64       // requests per second; 0: the target names none any more
	Age       time.Duration // since the answer that named it
	Sent      int           // requests of the gateway in window
	SentShort int           // requests of the gateway in shortWindow
}

// peerCount is what another gateway has sent to a target.
type peerCount struct {
	sent, sentShort int
	at              time.Time
}

type target struct {
	limit float64
	named time.Time   // when the newest answer arrived that tells limit
	own   bool        // this gateway received that answer
	sent  []time.Time // own requests in window, oldest first
	last  time.Time   // own last request
	peers map[string]peerCount
}

// Table holds the targets that name a limit. It has one lock, since it is empty unless
// targets are in need.
type Table struct {
	size    atomic.Int64 // number of targets
	mu      sync.Mutex
	targets map[uint64]*target
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{targets: make(map[uint64]*target)} }

// Empty reports whether no target names a limit.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Observe records the limit in an answer of a target; 0 if the answer names none. It
// reports whether the limit has changed.
func (t *Table) Observe(id uint64, limit float64, now time.Time) bool {
	if limit <= 0 && t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := 0.0
	if known := t.targets[id]; known != nil {
		before = known.limit
	}
	t.name(id, limit, now, true, now)
	return before != limit
}

// name records the limit that a target named at a time, if nothing newer is known.
func (t *Table) name(id uint64, limit float64, at time.Time, own bool, now time.Time) {
	known := t.targets[id]
	if known == nil {
		if limit <= 0 {
			return
		}
		t.expire(now)
		if len(t.targets) >= maxTargets {
			return
		}
		known = &target{peers: make(map[string]peerCount)}
		t.targets[id] = known
		t.size.Store(int64(len(t.targets)))
	}
	if at.After(known.named) {
		known.limit, known.named, known.own = limit, at, own
	}
}

// expire removes the targets of which nothing has been heard for limitLifetime. The
// caller holds the lock.
func (t *Table) expire(now time.Time) {
	for id, known := range t.targets {
		if now.Sub(known.named) > limitLifetime {
			delete(t.targets, id)
		}
	}
	t.size.Store(int64(len(t.targets)))
}

// Gateways are those that send to the targets, as this one knows them.
type Gateways struct {
	Self    string
	Alive   []string       // names of the others that have been heard lately
	Members *share.Members // all that may run; nil: not known, then those that are alive
}

// part returns the part of a limit that the gateways that this one hears may use, with
// itself: all of it for a majority, their own part for fewer, since the others may be cut
// off and send as well, uncounted.
func (g Gateways) part() float64 {
	heard := float64(len(g.Alive) + 1)
	all := max(float64(g.Members.Count()), heard)
	if heard > all/2 {
		return 1
	}
	return heard / all
}

// Allow reports whether another request may be sent to a target now.
func (t *Table) Allow(id uint64, gateways func() Gateways, now time.Time) bool {
	if t.Empty() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[id]
	if known == nil || known.limit <= 0 || now.Sub(known.named) > limitLifetime {
		return true
	}
	g := gateways()
	if !sends(id, known.limit, g.Self, g.Alive) {
		return false
	}
	sent, sentShort := known.count(now)
	part := g.part()
	allowed := known.limit * windowRate * part
	if part < 1 && allowed < 1 && g.Members.Rank(id) >= baseSenders {
		return false // the parts of all groups that do not hear each other would be one each
	}
	return sent < atLeastOne(allowed) && sentShort < atLeastOne(math.Ceil(known.limit*part))
}

// atLeastOne returns a number of requests, rounded down but at least 1.
func atLeastOne(requests float64) int { return max(1, int(requests)) }

// RecordSent counts a request that is sent to a target. It reports whether the target
// names a limit, so that the others are to be told.
func (t *Table) RecordSent(id uint64, now time.Time) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[id]
	if known == nil || known.limit <= 0 {
		return false
	}
	known.sent = append(known.sent, now)
	known.last = now
	return true
}

// Reports returns what the other gateways are to be told: of each target to which this
// gateway has sent requests lately, or whose limit it knows from an answer of its own.
func (t *Table) Reports(now time.Time) []Report {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var reports []Report
	for id, known := range t.targets {
		sent, sentShort := known.ownCount(now)
		age := now.Sub(known.named)
		if now.Sub(known.last) > reportTime && (!known.own || age > window) {
			continue
		}
		reports = append(reports, Report{Target: id, Limit: known.limit, Age: age, Sent: sent, SentShort: sentShort})
	}
	return reports
}

// Merge records what another gateway has reported.
func (t *Table) Merge(node string, reports []Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		t.name(r.Target, r.Limit, now.Add(-r.Age), false, now)
		if known := t.targets[r.Target]; known != nil {
			known.peers[node] = peerCount{r.Sent, r.SentShort, now}
		}
	}
}

// count returns the requests of all gateways in window and in shortWindow. A peer's last
// report counts until its requests have left the window.
func (t *target) count(now time.Time) (sent, sentShort int) {
	sent, sentShort = t.ownCount(now)
	for node, peer := range t.peers {
		age := now.Sub(peer.at)
		if age > window {
			delete(t.peers, node)
			continue
		}
		sent += peer.sent
		if age <= shortWindow {
			sentShort += peer.sentShort
		}
	}
	return sent, sentShort
}

func (t *target) ownCount(now time.Time) (sent, sentShort int) {
	t.sent = slices.DeleteFunc(t.sent, func(at time.Time) bool { return now.Sub(at) > window })
	for _, at := range t.sent {
		if now.Sub(at) <= shortWindow {
			sentShort++
		}
	}
	return len(t.sent), sentShort
}

// sends reports whether self is among the gateways that send to a target.
func sends(id uint64, limit float64, self string, others []string) bool {
	senders := baseSenders + int(sendersPerRate*limit)
	if len(others) < senders {
		return true
	}
	key := string(binary.BigEndian.AppendUint64(nil, id))
	own := rendezvous.Hash(key, self)
	before := 0
	for _, other := range others {
		if rendezvous.Hash(key, other) > own {
			before++
		}
	}
	return before < senders
}
