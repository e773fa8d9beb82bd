package settingssync

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/wire"
)

const (
	partnersInDomain  = 3 // peers of its own failure domain that a node exchanges with
	partnersElsewhere = 3 // peers of other failure domains that a node exchanges with
	exchangeTimeout   = 3 * time.Second
	initialExchanges  = 16 // concurrent exchanges while a node without settings asks all peers
	// maxLogLag is how long a node that can read the log may be behind a peer
	// before it applies the peer's update.
	maxLogLag    = 1500 * time.Millisecond
	maxPartBytes = 1 << 20 // size of the entries above which an update is split
)

// Dialer opens a stream to another process; *link.Pool is one.
type Dialer interface {
	Open(ctx context.Context, addr string, open *wire.Open) (*link.Stream, error)
}

// Pool is a Dialer whose sessions can be closed; *link.Pool is one.
type Pool interface {
	Dialer
	Close() error
}

// gossip exchanges settings with peers until ctx ends.
func (n *Node) gossip(ctx context.Context) error {
	if n.cfg.Dial == nil || len(n.cfg.Peers) == 0 {
		return nil
	}
	for ctx.Err() == nil {
		_, ok := n.store.offset()
		switch {
		case ok:
			n.exchangeWithPartner(ctx)
		case n.hasTriedLog():
			n.loadFromPeers(ctx)
		default:
			pause(ctx, n.cfg.RetryDelay)
			continue
		}
		pause(ctx, n.cfg.PeerInterval)
	}
	return nil
}

// hasTriedLog reports whether a first read of the log has succeeded or failed.
func (n *Node) hasTriedLog() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logTried
}

// exchangeWithPartner exchanges settings with one of the node's partners, chosen
// at random.
func (n *Node) exchangeWithPartner(ctx context.Context) {
	partners := n.partners()
	peer := partners[rand.IntN(len(partners))]
	update, err := n.exchange(ctx, n.cfg.Dial, peer)
	n.statusTable.recordPeer(peer.Name, err == nil)
	if err != nil {
		n.counts.peerErrors.Inc(1)
		return
	}
	n.applyUpdate(peer, update)
}

// loadFromPeers asks all peers for their offsets and loads the settings from one
// with the highest offset.
func (n *Node) loadFromPeers(ctx context.Context) {
	pool := n.cfg.Dial
	if n.cfg.NewPool != nil {
		own := n.cfg.NewPool()
		defer func() { _ = own.Close() }()
		pool = own
	}
	answers := make([]*peerAnswer, len(n.cfg.Peers))
	var group errgroup.Group
	group.SetLimit(initialExchanges)
	for i, peer := range n.cfg.Peers {
		group.Go(func() error {
			update, err := n.exchangeAt(ctx, pool, peer, probeOffset)
			if err == nil {
				answers[i] = update
			}
			return nil
		})
	}
	_ = group.Wait()
	n.loadFromHighest(ctx, pool, answers)
}

// probeOffset is the offset in a PeerSync that asks a peer only for its offset:
// since no peer has a higher offset, the answer holds no entries and only the
// peer's own row of the status table.
const probeOffset = int64(1) << 62

// loadFromHighest fetches and applies the settings of the peer with the highest
// offset, or of the next one if that fails.
func (n *Node) loadFromHighest(ctx context.Context, dial Dialer, answers []*peerAnswer) {
	order := make([]int, 0, len(answers))
	for i, answer := range answers {
		if answer != nil && answer.hasSettings {
			order = append(order, i)
		}
	}
	sort.Slice(order, func(a, b int) bool { return answers[order[a]].delta.To > answers[order[b]].delta.To })
	for _, i := range order {
		update, err := n.exchange(ctx, dial, n.cfg.Peers[i])
		if err == nil && n.applyUpdate(n.cfg.Peers[i], update) {
			return
		}
	}
}

// partners returns the peers that the node exchanges settings with: up to
// partnersInDomain of its own failure domain and partnersElsewhere of others,
// the same each time as long as they answer.
func (n *Node) partners() []Peer {
	preferred := n.statusTable.preferredPeers(n.cfg.Name, n.cfg.Peers)
	var partners []Peer
	near, far := 0, 0
	for _, peer := range preferred {
		switch {
		case peer.FailureDomain == n.cfg.FailureDomain && near < partnersInDomain:
			near++
		case peer.FailureDomain != n.cfg.FailureDomain && far < partnersElsewhere:
			far++
		default:
			continue
		}
		partners = append(partners, peer)
	}
	return partners
}

// rendezvousScore returns the score of a pair of names for rendezvous hashing,
// the same at each node. The lower score is preferred.
func rendezvousScore(a, b string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(a))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write([]byte(b))
	score := digest.Sum64()
	score ^= score >> 33
	score *= 0xff51afd7ed558ccd
	return score ^ score>>33
}

// peerAnswer is a peer's answer to a PeerSync.
type peerAnswer struct {
	delta       settings.Delta
	hasSettings bool
}

// exchange sends a peer this node's offset and receives the settings that this
// node lacks.
func (n *Node) exchange(ctx context.Context, dial Dialer, peer Peer) (*peerAnswer, error) {
	offset, ok := n.store.offset()
	if !ok {
		offset = emptyOffset
	}
	return n.exchangeAt(ctx, dial, peer, offset)
}

// emptyOffset stands for the offset of a node or agent without settings. It is
// below NoOffset, the offset of a node that has found the log empty.
const emptyOffset = settings.NoOffset - 1

// exchangeAt is exchange with a given offset instead of the node's own.
func (n *Node) exchangeAt(ctx context.Context, dial Dialer, peer Peer, offset int64) (*peerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	peerSync := &wire.PeerSync{
		Node: n.cfg.Name, Incarnation: n.cfg.Incarnation, Offset: offset, Nodes: n.statusTable.rows(time.Now()),
	}
	if n.cfg.FillPeerSync != nil {
		n.cfg.FillPeerSync(peerSync)
	}
	stream, err := dial.Open(ctx, peer.Addr, &wire.Open{Purpose: &wire.Open_Peer{Peer: peerSync}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	return n.receiveAnswer(stream, peer)
}

// receiveAnswer receives all parts of a peer's update.
func (n *Node) receiveAnswer(stream *link.Stream, peer Peer) (*peerAnswer, error) {
	result := &peerAnswer{delta: settings.Delta{From: settings.NoOffset}}
	for {
		part := &wire.SettingsUpdate{}
		if err := stream.Receive(part); err != nil {
			return nil, errors.Wrapf(err, "receive settings from %s", peer.Name)
		}
		n.statusTable.merge(part.GetNodes(), time.Now())
		result.hasSettings = part.GetToOffset() > emptyOffset
		result.delta.From = part.GetFromOffset()
		result.delta.To = part.GetToOffset()
		result.delta.Entries = append(result.delta.Entries, entriesFromWire(part.GetEntries())...)
		if !part.GetMore() {
			return result, nil
		}
	}
}

// applyUpdate applies a peer's update and reports whether the node's offset
// grew. A node that can read the log first waits up to maxLogLag for the records
// themselves, because only applying records yields the verdicts that its writers
// wait for.
func (n *Node) applyUpdate(peer Peer, update *peerAnswer) bool {
	if !update.hasSettings || !n.mayApply(update.delta.To) {
		return false
	}
	advanced, err := n.store.advance(update.delta)
	if err != nil {
		n.counts.peerErrors.Inc(1)
		return false
	}
	if advanced {
		n.counts.peerUpdates.Inc(1)
		n.updateOffsetMetric()
	}
	select {
	case <-n.ready:
	default:
		log.WithFields(log.Fields{"node": n.cfg.Name, "peer": peer.Name, "offset": update.delta.To}).
			Info("settings loaded from a peer")
		n.markReady()
	}
	return advanced
}

// mayApply reports whether a peer's update to an offset may be applied now. It
// keeps behindSince and behindOffset up to date.
func (n *Node) mayApply(to int64) bool {
	offset, ok := n.store.offset()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !ok {
		return true
	}
	if to <= offset {
		n.behindSince = time.Time{}
		return false
	}
	if !n.logHealthy {
		return true
	}
	if n.behindSince.IsZero() || offset > n.behindOffset {
		n.behindSince, n.behindOffset = time.Now(), offset
	}
	return time.Since(n.behindSince) > maxLogLag
}

// HandlePeer answers another entry that opened a stream with a PeerSync.
func (n *Node) HandlePeer(_ context.Context, open *wire.Open, stream *link.Stream) {
	peerSync := open.GetPeer()
	if peerSync == nil {
		return
	}
	now := time.Now()
	n.statusTable.merge(peerSync.GetNodes(), now)
	if n.cfg.HandlePeerSync != nil {
		n.cfg.HandlePeerSync(peerSync)
	}
	_ = stream.SetDeadline(now.Add(exchangeTimeout))
	for _, part := range n.updateForPeer(peerSync.GetOffset(), now) {
		if err := stream.Send(part); err != nil {
			return
		}
	}
}

// updateForPeer returns the parts of the update for a peer at an offset.
func (n *Node) updateForPeer(offset int64, now time.Time) []*wire.SettingsUpdate {
	first := &wire.SettingsUpdate{Sender: n.cfg.Name}
	if offset < probeOffset {
		first.Nodes = n.statusTable.rows(now)
	} else {
		first.Nodes = []*wire.NodeOffset{n.statusTable.ownRow(now)}
	}
	own, ok := n.store.offset()
	if !ok {
		first.ToOffset = emptyOffset
		return []*wire.SettingsUpdate{first}
	}
	delta, ok := n.store.deltaFrom(offset)
	if !ok {
		first.FromOffset, first.ToOffset = own, own
		return []*wire.SettingsUpdate{first}
	}
	return updateParts(first, delta)
}

// updateParts splits a delta into messages of bounded size.
func updateParts(first *wire.SettingsUpdate, delta settings.Delta) []*wire.SettingsUpdate {
	parts := []*wire.SettingsUpdate{first}
	size := 0
	for i := range delta.Entries {
		entry := &delta.Entries[i]
		size += len(entry.Path) + len(entry.Value) + len(entry.Author)
		if size > maxPartBytes {
			parts = append(parts, &wire.SettingsUpdate{Sender: first.GetSender()})
			size = 0
		}
		last := parts[len(parts)-1]
		last.Entries = append(last.Entries, entryToWire(entry))
	}
	for i, part := range parts {
		part.FromOffset, part.ToOffset = delta.From, delta.To
		part.Complete = delta.From == settings.NoOffset
		part.More = i < len(parts)-1
	}
	return parts
}

func entryToWire(entry *settings.CheckpointEntry) *wire.SettingsEntry {
	return &wire.SettingsEntry{
		Path: entry.Path, Version: entry.Version, Value: entry.Value, Deleted: entry.Deleted, Author: entry.Author,
	}
}

func entriesFromWire(entries []*wire.SettingsEntry) []settings.CheckpointEntry {
	decoded := make([]settings.CheckpointEntry, 0, len(entries))
	for _, entry := range entries {
		decoded = append(decoded, settings.CheckpointEntry{
			Path: entry.GetPath(), Version: entry.GetVersion(), Value: entry.GetValue(),
			Deleted: entry.GetDeleted(), Author: entry.GetAuthor(),
		})
	}
	return decoded
}
