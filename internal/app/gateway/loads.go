package gateway

import (
	"hash/fnv"
	"sync"
	"time"

	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/core/share"
	"quetzalbend/internal/wire"
)

const (
	peerLoadLifetime    = 700 * time.Millisecond // a peer's loads are ignored this long after its last datagram
	suspectPeriod       = 1500 * time.Millisecond
	idleTargetRetention = time.Minute // how long the state of a target without requests is kept
)

// targetLoad is the state that this gateway keeps for a target.
type targetLoad struct {
	hash         uint64
	ownRequests  int // requests of this gateway at the target
	rankedIn     *share.Members
	rank         int // of this gateway for the target, in rankedIn
	admissions   quota.Admissions
	suspectUntil time.Time
	lastEvent    time.Time // last event of any stream of the target
	lastUsed     time.Time
	answers      memory.Source // what this gateway holds of the target's answers
}

// peerLoad is the content of the latest load datagram of a peer.
type peerLoad struct {
	incarnation int64
	sequence    int64
	received    time.Time         // when the datagram was received
	loads       map[uint64]uint32 // requests by targetHash
}

// loads counts the requests in flight at each target: this gateway's own and
// those of its peers.
type loads struct {
	mu      sync.Mutex
	targets map[string]*targetLoad
	peers   map[string]*peerLoad
}

func newLoads() *loads {
	return &loads{targets: make(map[string]*targetLoad), peers: make(map[string]*peerLoad)}
}

// targetHash returns the identifier of a target in load datagrams.
func targetHash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never returns an error
	return h.Sum64()
}

// target returns the state of a target and creates it if necessary. The caller
// holds the lock.
func (l *loads) target(id string, now time.Time) *targetLoad {
	t := l.targets[id]
	if t == nil {
		t = &targetLoad{hash: targetHash(id)}
		l.targets[id] = t
	}
	t.lastUsed = now
	return t
}

// rankIn returns the rank of this gateway for the target.
func (t *targetLoad) rankIn(members *share.Members) int {
	if t.rankedIn != members {
		t.rankedIn, t.rank = members, members.Rank(t.hash)
	}
	return t.rank
}

// peerRequests returns the number of requests that peers have at a target. The
// caller holds the lock.
func (l *loads) peerRequests(hash uint64, now time.Time) int {
	sum := 0
	for _, peer := range l.peers {
		if now.Sub(peer.received) < peerLoadLifetime {
			sum += int(peer.loads[hash])
		}
	}
	return sum
}

// answers returns what counts the bytes of a target's answers.
func (l *loads) answers(id string) *memory.Source {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &l.target(id, time.Now()).answers
}

// release removes a finished attempt from the target's load.
func (l *loads) release(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil {
		t.ownRequests--
	}
}

// markSuspect marks a target as suspect for suspectPeriod.
func (l *loads) markSuspect(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target(id, now).suspectUntil = now.Add(suspectPeriod)
}

// recordEvent records that a stream of the target has had an event.
func (l *loads) recordEvent(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target(id, now).lastEvent = now
}

// othersActiveSince reports whether at least two targets other than id have had a
// stream event since the given time.
func (l *loads) othersActiveSince(id string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for other, t := range l.targets {
		if other != id && t.lastEvent.After(since) {
			count++
		}
	}
	return count >= 2
}

// inUse reports whether this gateway has requests at any target.
func (l *loads) inUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.targets {
		if t.ownRequests > 0 {
			return true
		}
	}
	return false
}

// ownRequests returns the number of this gateway's requests at each target, for a load
// datagram. It also deletes targets that have no request and have not been used for
// idleTargetRetention.
func (l *loads) ownRequests(now time.Time) []*wire.TargetLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*wire.TargetLoad
	for id, t := range l.targets {
		if t.ownRequests > 0 {
			list = append(list, &wire.TargetLoad{Target: t.hash, Requests: uint32(t.ownRequests)})
		} else if now.Sub(t.lastUsed) > idleTargetRetention {
			delete(l.targets, id)
		}
	}
	return list
}

// received records the loads in a datagram that a peer has sent. It ignores datagrams
// that are older than the peer's latest one.
func (l *loads) received(datagram *wire.NodeLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[datagram.Node]
	if peer != nil && (datagram.Incarnation < peer.incarnation ||
		datagram.Incarnation == peer.incarnation && datagram.Sequence <= peer.sequence) {
		return
	}
	peer = &peerLoad{incarnation: datagram.Incarnation, sequence: datagram.Sequence, received: now}
	peer.loads = make(map[uint64]uint32, len(datagram.Loads))
	for _, load := range datagram.Loads {
		peer.loads[load.Target] = load.Requests
	}
	l.peers[datagram.Node] = peer
}

// activeSince reports whether a stream of the target has had an event since the
// given time.
func (l *loads) activeSince(id string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[id]
	return t != nil && t.lastEvent.After(since)
}
