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
	partnersInDomain  = 3 // peers of the own failure domain that a node asks
	partnersElsewhere = 3 // peers of other failure domains that a node asks
	exchangeTimeout   = 3 * time.Second
	firstPartners     = 16                      // concurrent exchanges of a node without settings
	lagPatience       = 1500 * time.Millisecond // time left to the log before a peer's update counts
	partBytes         = 1 << 20                 // size of one part of an update
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
			n.askAllPeers(ctx)
		default:
			pause(ctx, n.cfg.RetryDelay)
			continue
		}
		pause(ctx, n.cfg.PeerInterval)
	}
	return nil
}

// hasTriedLog reports whether a first read of the log has ended, well or not.
func (n *Node) hasTriedLog() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logTried
}

// exchangeWithPartner asks one of the node's partners at random.
func (n *Node) exchangeWithPartner(ctx context.Context) {
	partners := n.partners()
	peer := partners[rand.IntN(len(partners))]
	update, err := n.exchange(ctx, n.cfg.Dial, peer)
	n.table.notePeer(peer.Name, err == nil)
	if err != nil {
		n.counts.peerErrors.Inc(1)
		return
	}
	n.takeUpdate(peer, update)
}

// askAllPeers fetches the settings of all peers that answer and takes those
// with the highest offset.
func (n *Node) askAllPeers(ctx context.Context) {
	pool := n.cfg.Dial
	if n.cfg.NewPool != nil {
		own := n.cfg.NewPool()
		defer func() { _ = own.Close() }()
		pool = own
	}
	offers := make([]*received, len(n.cfg.Peers))
	var group errgroup.Group
	group.SetLimit(firstPartners)
	for i, peer := range n.cfg.Peers {
		group.Go(func() error {
			update, err := n.exchangeAs(ctx, pool, peer, probeOffset)
			if err == nil {
				offers[i] = update
			}
			return nil
		})
	}
	_ = group.Wait()
	n.takeHighest(ctx, pool, offers)
}

// probeOffset asks a peer for its offset only: no peer holds a later one. The
// answer carries the peer's own row only.
const probeOffset = int64(1) << 62

// takeHighest fetches the whole settings from a peer with the highest offset.
func (n *Node) takeHighest(ctx context.Context, dial Dialer, offers []*received) {
	order := make([]int, 0, len(offers))
	for i, offer := range offers {
		if offer != nil && offer.holds {
			order = append(order, i)
		}
	}
	sort.Slice(order, func(a, b int) bool { return offers[order[a]].delta.To > offers[order[b]].delta.To })
	for _, i := range order {
		update, err := n.exchange(ctx, dial, n.cfg.Peers[i])
		if err == nil && n.takeUpdate(n.cfg.Peers[i], update) {
			return
		}
	}
}

// partners returns the peers that the node exchanges with: a few of its own
// failure domain and a few of others, the same each time as long as they
// answer.
func (n *Node) partners() []Peer {
	ranked := n.table.rankedPeers(n.cfg.Name, n.cfg.Peers)
	var partners []Peer
	near, far := 0, 0
	for _, peer := range ranked {
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

// score ranks pairs of names the same at each node (rendezvous hashing).
func score(a, b string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(a))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write([]byte(b))
	mixed := digest.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}

// received is a peer's answer: its update, and whether it holds settings.
type received struct {
	delta settings.Delta
	holds bool
}

// exchange tells a peer this node's offset and receives what it lacks.
func (n *Node) exchange(ctx context.Context, dial Dialer, peer Peer) (*received, error) {
	offset, ok := n.store.offset()
	if !ok {
		offset = emptyOffset
	}
	return n.exchangeAs(ctx, dial, peer, offset)
}

// emptyOffset is the offset in a PeerSync of a node without settings. It lies
// below that of a node that knows the log to be empty.
const emptyOffset = settings.NoOffset - 1

func (n *Node) exchangeAs(ctx context.Context, dial Dialer, peer Peer, offset int64) (*received, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sync := &wire.PeerSync{
		Node: n.cfg.Name, Incarnation: n.cfg.Incarnation, Offset: offset, Nodes: n.table.rows(time.Now()),
	}
	if n.cfg.FillPeerSync != nil {
		n.cfg.FillPeerSync(sync)
	}
	stream, err := dial.Open(ctx, peer.Addr, &wire.Open{Purpose: &wire.Open_Peer{Peer: sync}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	return n.receive(stream, peer)
}

// receive collects the parts of a peer's update.
func (n *Node) receive(stream *link.Stream, peer Peer) (*received, error) {
	result := &received{delta: settings.Delta{From: settings.NoOffset}}
	for {
		part := &wire.SettingsUpdate{}
		if err := stream.Receive(part); err != nil {
			return nil, errors.Wrapf(err, "receive settings from %s", peer.Name)
		}
		n.table.merge(part.GetNodes(), time.Now())
		result.holds = part.GetToOffset() > emptyOffset
		result.delta.From = part.GetFromOffset()
		result.delta.To = part.GetToOffset()
		result.delta.Entries = append(result.delta.Entries, entriesFromWire(part.GetEntries())...)
		if !part.GetMore() {
			return result, nil
		}
	}
}

// takeUpdate moves the node forward by a peer's update. A node that the log
// serves leaves the log time to bring the records, since only they carry the
// verdicts that its writers wait for.
func (n *Node) takeUpdate(peer Peer, update *received) bool {
	if !update.holds || !n.mayTake(update.delta.To) {
		return false
	}
	moved, err := n.store.advance(update.delta)
	if err != nil {
		n.counts.peerErrors.Inc(1)
		return false
	}
	if moved {
		n.counts.peerUpdates.Inc(1)
		n.noteMoved()
	}
	select {
	case <-n.ready:
	default:
		log.WithFields(log.Fields{"node": n.cfg.Name, "peer": peer.Name, "offset": update.delta.To}).
			Info("settings loaded from a peer")
		n.noteReady()
	}
	return moved
}

// mayTake reports whether a peer's update to an offset counts now.
func (n *Node) mayTake(to int64) bool {
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
	if n.behindSince.IsZero() || offset > n.behindAt {
		n.behindSince, n.behindAt = time.Now(), offset
	}
	return time.Since(n.behindSince) > lagPatience
}

// HandlePeer serves a stream that another entry opened with a PeerSync.
func (n *Node) HandlePeer(_ context.Context, open *wire.Open, stream *link.Stream) {
	sync := open.GetPeer()
	if sync == nil {
		return
	}
	now := time.Now()
	n.table.merge(sync.GetNodes(), now)
	if n.cfg.HandlePeerSync != nil {
		n.cfg.HandlePeerSync(sync)
	}
	_ = stream.SetDeadline(now.Add(exchangeTimeout))
	for _, part := range n.answer(sync.GetOffset(), now) {
		if err := stream.Send(part); err != nil {
			return
		}
	}
}

// answer returns the parts of the update for a peer at an offset.
func (n *Node) answer(offset int64, now time.Time) []*wire.SettingsUpdate {
	first := &wire.SettingsUpdate{Sender: n.cfg.Name}
	if offset < probeOffset {
		first.Nodes = n.table.rows(now)
	} else {
		first.Nodes = []*wire.NodeOffset{n.table.ownRow(now)}
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
		if size > partBytes {
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
