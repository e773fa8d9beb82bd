package gateway

import (
	"hash/fnv"
	"sync"
	"time"

	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/wire"
)

const (
	peerLoadLifetime = 700 * time.Millisecond // after which a silent peer's loads are forgotten
	suspectTime      = 1500 * time.Millisecond
	targetMemory     = time.Minute // how long a target without requests is remembered
)

// targetLoad is what this gateway knows of a target.
type targetLoad struct {
	own          int // requests of this gateway at the target
	admissions   quota.Admissions
	suspectUntil time.Time
	progress     time.Time // last event of a stream
	used         time.Time
}

type peerLoad struct {
	incarnation int64
	sequence    int64
	heard       time.Time
	loads       map[uint64]uint32
}

// loads counts the requests at each target: this gateway's and its peers'.
type loads struct {
	mu      sync.Mutex
	targets map[string]*targetLoad
	peers   map[string]*peerLoad
}

func newLoads() *loads {
	return &loads{targets: make(map[string]*targetLoad), peers: make(map[string]*peerLoad)}
}

// targetHash names a target in datagrams.
func targetHash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // a hash never fails to write
	return h.Sum64()
}

func (l *loads) target(id string, now time.Time) *targetLoad {
	t := l.targets[id]
	if t == nil {
		t = &targetLoad{}
		l.targets[id] = t
	}
	t.used = now
	return t
}

// peerRequests returns the requests that peers have at a target.
func (l *loads) peerRequests(id string, now time.Time) int {
	sum := 0
	hash := targetHash(id)
	for _, peer := range l.peers {
		if now.Sub(peer.heard) < peerLoadLifetime {
			sum += int(peer.loads[hash])
		}
	}
	return sum
}

// done counts a request that has left a target.
func (l *loads) done(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil {
		t.own--
	}
}

// suspect avoids a target for a while.
func (l *loads) suspect(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target(id, now).suspectUntil = now.Add(suspectTime)
}

// progressed notes an event of a stream.
func (l *loads) progressed(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target(id, now).progress = now
}

// othersProgressed reports whether streams of at least two targets other than
// id have had an event since a time.
func (l *loads) othersProgressed(id string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for other, t := range l.targets {
		if other != id && t.progress.After(since) {
			count++
		}
	}
	return count >= 2
}

// own returns this gateway's requests by target, for a datagram.
func (l *loads) own(now time.Time) []*wire.TargetLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*wire.TargetLoad
	for id, t := range l.targets {
		if t.own > 0 {
			list = append(list, &wire.TargetLoad{Target: targetHash(id), Requests: uint32(t.own)})
		} else if now.Sub(t.used) > targetMemory {
			delete(l.targets, id)
		}
	}
	return list
}

// heard takes a peer's datagram. Older ones than the last are ignored.
func (l *loads) heard(datagram *wire.NodeLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[datagram.Node]
	if peer != nil && (datagram.Incarnation < peer.incarnation ||
		datagram.Incarnation == peer.incarnation && datagram.Sequence <= peer.sequence) {
		return
	}
	peer = &peerLoad{incarnation: datagram.Incarnation, sequence: datagram.Sequence, heard: now}
	peer.loads = make(map[uint64]uint32, len(datagram.Loads))
	for _, load := range datagram.Loads {
		peer.loads[load.Target] = load.Requests
	}
	l.peers[datagram.Node] = peer
}

// progressedSince reports whether a stream of the target has had an event since
// a time.
func (l *loads) progressedSince(id string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[id]
	return t != nil && t.progress.After(since)
}
