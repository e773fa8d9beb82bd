package settingssync

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/wire"
)

const (
	rowsPerExchange = 24               // rows of the table in one message
	namesPerRow     = 8                // agents named as behind in one row
	silentAfter     = 30 * time.Second // age from which a node counts as silent
	refreshAtOnce   = 32               // peers asked at once for their rows
	refreshPause    = time.Second      // between two times of asking
	peerDownFor     = 30 * time.Second // time for which a peer that did not answer is left out
)

// NodeStatus tells which settings are in force at an entry and at the agents
// that it feeds.
type NodeStatus struct {
	Node         string
	Offset       int64
	Age          time.Duration // since the entry said so
	Agents       int           // agents that it feeds
	AgentsOffset int64         // lowest offset in force at them
	AgentsBehind []string      // some of the agents below Offset
	Silent       bool          // nothing heard of it for a while, or never
}

// table holds the status of all entries as far as this node has heard.
type table struct {
	mu   sync.Mutex
	seen map[string]row
	down map[string]time.Time // peers that did not answer, with the time
	own  func() NodeStatus
	from time.Time // of the table's start
}

// row is a status with the time at which its node gave it.
type row struct {
	status NodeStatus
	at     time.Time
}

func newTable(own func() NodeStatus) *table {
	return &table{seen: map[string]row{}, down: map[string]time.Time{}, own: own, from: time.Now()}
}

// merge takes the rows of a peer that are newer than those known.
func (t *table) merge(rows []*wire.NodeOffset, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		at := now.Add(-time.Duration(max(r.GetAgeMs(), 0)) * time.Millisecond)
		if known, ok := t.seen[r.GetNode()]; ok && !known.at.Before(at) {
			continue
		}
		t.seen[r.GetNode()] = row{at: at, status: NodeStatus{
			Node: r.GetNode(), Offset: r.GetOffset(), Agents: int(r.GetAgents()),
			AgentsOffset: r.GetAgentsOffset(), AgentsBehind: r.GetAgentsBehind(),
		}}
	}
}

// ownRow returns the own row for a message.
func (t *table) ownRow(now time.Time) *wire.NodeOffset {
	return rowToWire(row{status: t.own(), at: now}, now)
}

// rows returns the own row and the freshest others for a message.
func (t *table) rows(now time.Time) []*wire.NodeOffset {
	own := t.ownRow(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	others := make([]row, 0, len(t.seen))
	for name, r := range t.seen {
		if name != own.GetNode() {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, func(a, b row) int { return b.at.Compare(a.at) })
	rows := []*wire.NodeOffset{own}
	for _, r := range others[:min(len(others), rowsPerExchange-1)] {
		rows = append(rows, rowToWire(r, now))
	}
	return rows
}

func rowToWire(r row, now time.Time) *wire.NodeOffset {
	return &wire.NodeOffset{
		Node: r.status.Node, Offset: r.status.Offset, AgeMs: now.Sub(r.at).Milliseconds(),
		Agents: int32(r.status.Agents), AgentsOffset: r.status.AgentsOffset, AgentsBehind: r.status.AgentsBehind,
	}
}

// notePeer keeps whether a peer answered.
func (t *table) notePeer(name string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered {
		delete(t.down, name)
	} else {
		t.down[name] = time.Now()
	}
}

// rankedPeers returns the peers in the order in which a node prefers them:
// by rendezvous hashing, those that did not answer lately last.
func (t *table) rankedPeers(node string, peers []Peer) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b Peer) int {
		if order := cmp.Compare(t.rank(a), t.rank(b)); order != 0 {
			return order
		}
		return cmp.Compare(score(node, a.Name), score(node, b.Name))
	})
	return ranked
}

// rank is 1 for a peer that did not answer lately. The lock is held.
func (t *table) rank(peer Peer) int {
	if at, ok := t.down[peer.Name]; ok && time.Since(at) < peerDownFor {
		return 1
	}
	return 0
}

// live reports whether an entry has been heard of lately. In the first moments
// of this node every entry counts as live.
func (t *table) live(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.seen[name]
	if !ok {
		return now.Sub(t.from) < silentAfter
	}
	return now.Sub(r.at) < silentAfter
}

// stale reports whether a peer's row is old and does not show the settings of
// an offset in force at it and its agents.
func (t *table) stale(peer string, offset int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.seen[peer]
	if !ok {
		return true
	}
	behind := r.status.Offset < offset || r.status.AgentsOffset < offset
	return now.Sub(r.at) >= refreshPause && (behind || now.Sub(r.at) >= silentAfter)
}

// refreshTable asks those peers directly whose rows are stale, each time that
// somebody has looked at the table, until ctx ends. What peers hand on is too
// old where there are many.
func (n *Node) refreshTable(ctx context.Context) error {
	for {
		select {
		case <-n.looked:
		case <-ctx.Done():
			return nil
		}
		offset, _ := n.store.offset()
		var group errgroup.Group
		group.SetLimit(refreshAtOnce)
		for _, peer := range n.cfg.Peers {
			if n.table.stale(peer.Name, offset, time.Now()) {
				group.Go(func() error {
					_, _ = n.exchangeAs(ctx, n.cfg.Dial, peer, probeOffset) // a failure leaves the row as it is
					return nil
				})
			}
		}
		_ = group.Wait()
		pause(ctx, refreshPause)
	}
}

// InForce returns the status of this entry and of all its peers, in name order,
// as far as this node has heard. It makes the node ask the peers whose rows are
// stale, so that a later call knows more.
func (n *Node) InForce() []NodeStatus {
	select {
	case n.looked <- struct{}{}:
	default:
	}
	now := time.Now()
	statuses := []NodeStatus{n.ownStatus()}
	n.table.mu.Lock()
	for _, peer := range n.cfg.Peers {
		r, ok := n.table.seen[peer.Name]
		if !ok {
			statuses = append(statuses, NodeStatus{Node: peer.Name, Offset: settings.NoOffset, Silent: true})
			continue
		}
		r.status.Age = now.Sub(r.at)
		r.status.Silent = r.status.Age >= silentAfter
		statuses = append(statuses, r.status)
	}
	n.table.mu.Unlock()
	slices.SortFunc(statuses, func(a, b NodeStatus) int { return cmp.Compare(a.Node, b.Node) })
	return statuses
}

// ownStatus returns the status of this node.
func (n *Node) ownStatus() NodeStatus {
	offset, _ := n.store.offset()
	status := NodeStatus{Node: n.cfg.Name, Offset: offset, AgentsOffset: offset}
	n.mu.Lock()
	feeder := n.feeder
	n.mu.Unlock()
	if feeder != nil {
		feeder.fillStatus(&status)
	}
	return status
}
