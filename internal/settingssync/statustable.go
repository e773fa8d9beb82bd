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
	maxRowsPerExchange = 24               // rows of the status table in one message
	maxAgentsBehind    = 8                // agents listed as behind in one row
	silentAfter        = 30 * time.Second // age of a row from which its node counts as silent
	refreshConcurrency = 32               // peers asked for their rows at the same time
	refreshInterval    = time.Second      // between two rounds of asking peers
	peerDownFor        = 30 * time.Second // how long a peer that did not answer is sorted after all others
)

// NodeStatus reports which settings are in force at an entry and at the agents
// that it feeds.
type NodeStatus struct {
	Node         string
	Offset       int64
	Age          time.Duration // since the entry reported it
	Agents       int           // agents that it feeds
	AgentsOffset int64         // lowest offset in force at these agents
	AgentsBehind []string      // some of the agents below Offset
	Silent       bool          // no report for silentAfter, or never one
}

// statusTable holds the status of all entries, as far as this node knows it.
type statusTable struct {
	mu        sync.Mutex
	seen      map[string]statusRow // newest row of each node, by name
	down      map[string]time.Time // when each unreachable peer last did not answer
	ownStatus func() NodeStatus
	started   time.Time // when the table was created
}

// statusRow is the status of a node with the time at which the node reported it.
type statusRow struct {
	status NodeStatus
	at     time.Time
}

func newStatusTable(ownStatus func() NodeStatus) *statusTable {
	return &statusTable{seen: map[string]statusRow{}, down: map[string]time.Time{}, ownStatus: ownStatus, started: time.Now()}
}

// merge adds the rows from a peer that are newer than those in the table.
func (t *statusTable) merge(rows []*wire.NodeOffset, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		at := now.Add(-time.Duration(max(r.GetAgeMs(), 0)) * time.Millisecond)
		if known, ok := t.seen[r.GetNode()]; ok && !known.at.Before(at) {
			continue
		}
		t.seen[r.GetNode()] = statusRow{at: at, status: NodeStatus{
			Node: r.GetNode(), Offset: r.GetOffset(), Agents: int(r.GetAgents()),
			AgentsOffset: r.GetAgentsOffset(), AgentsBehind: r.GetAgentsBehind(),
		}}
	}
}

// ownRow returns this node's row for a message.
func (t *statusTable) ownRow(now time.Time) *wire.NodeOffset {
	return rowToWire(statusRow{status: t.ownStatus(), at: now}, now)
}

// rows returns this node's row and the newest others for a message.
func (t *statusTable) rows(now time.Time) []*wire.NodeOffset {
	own := t.ownRow(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	others := make([]statusRow, 0, len(t.seen))
	for name, r := range t.seen {
		if name != own.GetNode() {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, func(a, b statusRow) int { return b.at.Compare(a.at) })
	rows := []*wire.NodeOffset{own}
	for _, r := range others[:min(len(others), maxRowsPerExchange-1)] {
		rows = append(rows, rowToWire(r, now))
	}
	return rows
}

func rowToWire(r statusRow, now time.Time) *wire.NodeOffset {
	return &wire.NodeOffset{
		Node: r.status.Node, Offset: r.status.Offset, AgeMs: now.Sub(r.at).Milliseconds(),
		Agents: int32(r.status.Agents), AgentsOffset: r.status.AgentsOffset, AgentsBehind: r.status.AgentsBehind,
	}
}

// recordPeer records whether a peer answered.
func (t *statusTable) recordPeer(name string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered {
		delete(t.down, name)
	} else {
		t.down[name] = time.Now()
	}
}

// preferredPeers returns the peers in the order in which a node prefers them: by
// rendezvous hashing, but those that did not answer in the last peerDownFor at
// the end.
func (t *statusTable) preferredPeers(node string, peers []Peer) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	preferred := slices.Clone(peers)
	slices.SortFunc(preferred, func(a, b Peer) int {
		if order := cmp.Compare(t.downOrder(a), t.downOrder(b)); order != 0 {
			return order
		}
		return cmp.Compare(rendezvousScore(node, a.Name), rendezvousScore(node, b.Name))
	})
	return preferred
}

// downOrder returns 1 for a peer that did not answer in the last peerDownFor, 0
// for any other. The caller holds the lock.
func (t *statusTable) downOrder(peer Peer) int {
	if at, ok := t.down[peer.Name]; ok && time.Since(at) < peerDownFor {
		return 1
	}
	return 0
}

// live reports whether the row of an entry is younger than silentAfter. An entry
// without a row counts as live until the table is that old.
func (t *statusTable) live(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.seen[name]
	if !ok {
		return now.Sub(t.started) < silentAfter
	}
	return now.Sub(r.at) < silentAfter
}

// stale reports whether a peer should be asked for its row again: there is none,
// or it is at least refreshInterval old and shows the peer or one of its agents
// below offset, or it is at least silentAfter old.
func (t *statusTable) stale(peer string, offset int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.seen[peer]
	if !ok {
		return true
	}
	behind := r.status.Offset < offset || r.status.AgentsOffset < offset
	return now.Sub(r.at) >= refreshInterval && (behind || now.Sub(r.at) >= silentAfter)
}

// refreshTable asks the peers with stale rows for new ones whenever NodeStatuses
// was called, until ctx ends. It asks each of them directly, since with many
// peers the rows received through other peers are too old.
func (n *Node) refreshTable(ctx context.Context) error {
	for {
		select {
		case <-n.statusRequested:
		case <-ctx.Done():
			return nil
		}
		offset, _ := n.store.offset()
		var group errgroup.Group
		group.SetLimit(refreshConcurrency)
		for _, peer := range n.cfg.Peers {
			if n.statusTable.stale(peer.Name, offset, time.Now()) {
				group.Go(func() error {
					_, _ = n.exchangeAt(ctx, n.cfg.Dial, peer, probeOffset) // a failure leaves the row as it is
					return nil
				})
			}
		}
		_ = group.Wait()
		pause(ctx, refreshInterval)
	}
}

// NodeStatuses returns the status of this entry and of all its peers, in name
// order, as far as this node knows it. It also makes the node ask the peers whose
// rows are stale, so that a later call returns newer rows.
func (n *Node) NodeStatuses() []NodeStatus {
	select {
	case n.statusRequested <- struct{}{}:
	default:
	}
	now := time.Now()
	statuses := []NodeStatus{n.ownStatus()}
	n.statusTable.mu.Lock()
	for _, peer := range n.cfg.Peers {
		r, ok := n.statusTable.seen[peer.Name]
		if !ok {
			statuses = append(statuses, NodeStatus{Node: peer.Name, Offset: settings.NoOffset, Silent: true})
			continue
		}
		r.status.Age = now.Sub(r.at)
		r.status.Silent = r.status.Age >= silentAfter
		statuses = append(statuses, r.status)
	}
	n.statusTable.mu.Unlock()
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
		feeder.addAgents(&status)
	}
	return status
}
