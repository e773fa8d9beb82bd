package limits

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"quetzalbend/internal/core/share"
)

// presence says how a peer counts in the division of limits.
type presence int

const (
	absent       presence = iota
	transitional          // present for less than guard, or about to become absent: see computeShares
	present
)

// peer is the state of another entry as far as this one knows.
type peer struct {
	receivedAt   time.Time // when the last report came from it; zero for never
	deliveredAt  time.Time // when it received the last report; zero for never
	delivered    uint64    // number of that report
	received     uint64    // number of reports from it
	contactSince time.Time // start of the contact in both directions without a gap
	newest       uint64    // its own number of the newest report from it
	answered     uint64    // newest report of this entry that its newest report takes into account
	heldKnown    bool      // whether it has told which permits of this entry it holds
}

// lastContact returns the time until which there was contact in both directions,
// zero if there was none.
func (p *peer) lastContact() time.Time {
	if p.receivedAt.Before(p.deliveredAt) {
		return p.receivedAt
	}
	return p.deliveredAt
}

// peers is the set of other entries.
type peers struct {
	name       string // of this entry; empty if not known
	staleAfter time.Duration
	guard      time.Duration

	mu        sync.RWMutex
	startedAt time.Time // of the first call of set
	byName    map[string]*peer
	names     []string // of this entry and its peers, if name is known
	members   *share.Members
}

// set replaces the peers and keeps what is known of those that remain.
func (p *peers) set(names []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.names, p.members = names, nil
	if p.name != "" {
		p.names, p.members = append([]string{p.name}, names...), share.NewMembers(p.name, names)
	}
	known := make(map[string]*peer, len(names))
	for _, name := range names {
		known[name] = p.byName[name]
		if known[name] == nil {
			known[name] = &peer{}
		}
	}
	p.byName = known
}

// knows reports whether there is a peer with a name.
func (p *peers) knows(name string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byName[name] != nil
}

// heldKnown reports whether a peer has told which permits of this entry it holds.
func (p *peers) heldKnown(name string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	peer := p.byName[name]
	return peer != nil && peer.heldKnown
}

// setHeldKnown records that a peer has told which permits of this entry it holds.
func (p *peers) setHeldKnown(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.byName[name]; peer != nil {
		peer.heldKnown = true
	}
}

// nextReport returns the number of the next report from a peer, or 0 for an unknown peer.
func (p *peers) nextReport(name string) uint64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	peer := p.byName[name]
	if peer == nil {
		return 0
	}
	return peer.received + 1
}

// recordReport records that the next report from a peer is stored.
func (p *peers) recordReport(name string, now time.Time) {
	p.recordContact(name, now, func(peer *peer) {
		peer.receivedAt = now
		peer.received++
	})
}

// recordDelivered records that a peer received a report.
func (p *peers) recordDelivered(name string, number uint64, now time.Time) {
	p.recordContact(name, now, func(peer *peer) {
		peer.deliveredAt = now
		peer.delivered = max(peer.delivered, number)
	})
}

// recordNumbers records the numbers that came with a report from a peer.
func (p *peers) recordNumbers(name string, number, answered uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.byName[name]; peer != nil {
		peer.newest, peer.answered = number, answered
	}
}

// receivedNumbers returns the number of the newest report from each peer.
func (p *peers) receivedNumbers() map[string]uint64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	numbers := make(map[string]uint64, len(p.byName))
	for name, peer := range p.byName {
		numbers[name] = peer.newest
	}
	return numbers
}

// recordContact calls change on a peer, if it is known. If contact had been lost, it
// counts as starting now.
func (p *peers) recordContact(name string, now time.Time, change func(*peer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.byName[name]
	if peer == nil {
		return
	}
	gap := peer.lastContact().IsZero() || now.Sub(peer.lastContact()) > p.staleAfter
	change(peer)
	if gap {
		peer.contactSince = now
	}
}

// view is the state of the peers at one time.
type view struct {
	total     int    // number of entries, this one included
	delivered uint64 // newest report that all peers which are not absent have received
	answered  uint64 // newest report that the reports of all these peers take into account
	peers     []peerView
	names     []string // of all entries
	members   *share.Members
	lentKnown bool // all permits that the process before may have lent are counted
}

// rank returns this entry's rank among all for a key. Without its name it is the last.
func (v *view) rank(key uint64) int {
	if v.members == nil {
		return v.total
	}
	return v.members.Rank(key)
}

// received returns the number of reports from a peer, 0 if it is absent.
func (v *view) received(name string) uint64 {
	i, found := slices.BinarySearchFunc(v.peers, name, func(peer peerView, name string) int {
		return strings.Compare(peer.name, name)
	})
	if !found {
		return 0
	}
	return v.peers[i].received
}

// peerView is the state of a peer that is not absent.
type peerView struct {
	name     string
	presence presence
	received uint64
}

// viewAt returns the view at a time. Peers come in name order.
func (p *peers) viewAt(now time.Time, newest uint64) *view {
	p.mu.RLock()
	defer p.mu.RUnlock()
	v := &view{total: len(p.byName) + 1, delivered: newest, answered: newest, names: p.names, members: p.members, lentKnown: true}
	waited := now.Sub(p.startedAt) > HeldWait
	for _, name := range slices.Sorted(maps.Keys(p.byName)) {
		peer := p.byName[name]
		v.lentKnown = v.lentKnown && (peer.heldKnown || waited)
		presence := p.presence(peer, now)
		if presence == absent {
			continue
		}
		v.delivered = min(v.delivered, peer.delivered)
		v.answered = min(v.answered, peer.answered)
		v.peers = append(v.peers, peerView{name: name, presence: presence, received: peer.received})
	}
	return v
}

func (p *peers) presence(peer *peer, now time.Time) presence {
	lastContact := peer.lastContact()
	if lastContact.IsZero() {
		return absent
	}
	silent := now.Sub(lastContact)
	switch {
	case silent > p.staleAfter+p.guard:
		return absent
	case silent > p.staleAfter, now.Sub(peer.contactSince) < p.guard:
		return transitional
	}
	return present
}
