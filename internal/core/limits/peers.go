package limits

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// presence says how a peer counts in the division of limits.
type presence int

const (
	absent   presence = iota
	changing          // shares are the lower of those with and without it
	present
)

// peer is what is known of another entry.
type peer struct {
	heard     time.Time // of the last report from it; zero for never
	reached   time.Time // of the last report it received; zero for never
	delivered uint64    // number of that report
	received  uint64    // counts the reports from it
	joined    time.Time // since when it has been heard and reached without a gap
}

// contact returns when there was last contact both ways.
func (p *peer) contact() time.Time {
	if p.heard.Before(p.reached) {
		return p.heard
	}
	return p.reached
}

// peers is the set of other entries.
type peers struct {
	staleAfter time.Duration
	guard      time.Duration

	mu     sync.RWMutex
	byName map[string]*peer
}

// set replaces the set of names.
func (p *peers) set(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]*peer, len(names))
	for _, name := range names {
		known[name] = p.byName[name]
		if known[name] == nil {
			known[name] = &peer{}
		}
	}
	p.byName = known
}

// hear notes a report from a peer and returns its number, 0 for an unknown peer.
func (p *peers) hear(name string, now time.Time) uint64 {
	return p.note(name, now, func(peer *peer) uint64 {
		peer.heard = now
		peer.received++
		return peer.received
	})
}

// reach notes that a peer received a report.
func (p *peers) reach(name string, number uint64, now time.Time) {
	p.note(name, now, func(peer *peer) uint64 {
		peer.reached = now
		peer.delivered = max(peer.delivered, number)
		return peer.delivered
	})
}

func (p *peers) note(name string, now time.Time, change func(*peer) uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.byName[name]
	if peer == nil {
		return 0
	}
	gap := peer.contact().IsZero() || now.Sub(peer.contact()) > p.staleAfter
	result := change(peer)
	if gap {
		peer.joined = now
	}
	return result
}

// view is the division of limits as seen at one time.
type view struct {
	total     int    // entries, with this one
	delivered uint64 // the oldest report that some peer which is not absent holds
	peers     []peerView
}

// peerView is one peer that is not absent.
type peerView struct {
	name     string
	presence presence
	received uint64
}

// at returns the view at a time. Peers come in name order.
func (p *peers) at(now time.Time, newest uint64) *view {
	p.mu.RLock()
	defer p.mu.RUnlock()
	v := &view{total: len(p.byName) + 1, delivered: newest}
	for _, name := range slices.Sorted(maps.Keys(p.byName)) {
		peer := p.byName[name]
		presence := p.presence(peer, now)
		if presence == absent {
			continue
		}
		v.delivered = min(v.delivered, peer.delivered)
		v.peers = append(v.peers, peerView{name: name, presence: presence, received: peer.received})
	}
	return v
}

func (p *peers) presence(peer *peer, now time.Time) presence {
	contact := peer.contact()
	if contact.IsZero() {
		return absent
	}
	silent := now.Sub(contact)
	switch {
	case silent > p.staleAfter+p.guard:
		return absent
	case silent > p.staleAfter, now.Sub(peer.joined) < p.guard:
		return changing
	}
	return present
}
