package settingssync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/wire"
)

const (
	feedersPerAgent   = 2                      // entries that feed each agent
	feedRetryDelay    = 200 * time.Millisecond // first delay after a stream has ended
	maxFeedRetryDelay = 2 * time.Second        // longest delay, after streams that ended soon
	ackTimeout        = 5 * time.Second
	reconcileInterval = 5 * time.Second // between two checks of which agents to feed
)

// Agent is an agent to which entries send settings.
type Agent struct {
	Name          string // name of its target
	Addr          string // IP address and port
	FailureDomain string
	Subtrees      func() []string // roots of the subtrees that it needs
}

// assignedAgent is an agent that this entry has to feed.
type assignedAgent struct {
	Agent
	subtrees []string
	hash     string // of the subtrees
}

// newAssignedAgent computes the subtrees of an agent.
func newAssignedAgent(agent Agent) assignedAgent {
	subtrees := agent.Subtrees()
	return assignedAgent{Agent: agent, subtrees: subtrees, hash: subtreesHash(subtrees)}
}

// Feeder feeds agents: it sends them the settings that they need and waits for
// their acknowledgements. Rendezvous hashing chooses the entries that feed an
// agent.
type Feeder struct {
	node   *Node
	dial   Dialer
	agents func(*settings.Snapshot) []Agent

	mu            sync.Mutex
	cancels       map[string]context.CancelFunc // by address
	acks          map[string]agentAck           // by agent
	assigned      map[string]assignedAgent      // by address
	reconcileDone chan struct{}                 // closed and replaced at the end of each reconcile

	// Offset and agents of the last snapshot seen; used by reconcile only.
	offset int64
	known  []Agent
}

// agentAck is the last acknowledgement of an agent: the offset in force there.
type agentAck struct {
	offset      int64
	incarnation string
	at          time.Time
}

// NewFeeder returns a feeder for the agents that the function agents finds in a
// snapshot.
func NewFeeder(node *Node, dial Dialer, agents func(*settings.Snapshot) []Agent) *Feeder {
	f := &Feeder{
		node: node, dial: dial, agents: agents,
		cancels: map[string]context.CancelFunc{}, acks: map[string]agentAck{}, assigned: map[string]assignedAgent{}, offset: emptyOffset, reconcileDone: make(chan struct{}),
	}
	node.mu.Lock()
	node.feeder = f
	node.mu.Unlock()
	return f
}

// Run feeds the agents until ctx ends.
func (f *Feeder) Run(ctx context.Context) error {
	select {
	case <-f.node.Ready():
	case <-ctx.Done():
		return nil
	}
	var streams sync.WaitGroup
	defer streams.Wait()
	for ctx.Err() == nil {
		changed := f.node.Changed()
		f.reconcile(ctx, &streams)
		timer := time.NewTimer(jitter(reconcileInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// reconcile starts and stops streams so that this entry feeds the agents that
// the settings and the set of live entries assign to it.
func (f *Feeder) reconcile(ctx context.Context, streams *sync.WaitGroup) {
	assigned := map[string]assignedAgent{}
	others := f.liveEntries(time.Now())
	if snapshot := f.node.Snapshot(); snapshot.Offset() != f.offset {
		f.offset, f.known = snapshot.Offset(), f.agents(snapshot)
	}
	for _, agent := range f.known {
		if agent.Addr != "" && f.responsible(agent, others) {
			assigned[agent.Addr] = newAssignedAgent(agent)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr, cancel := range f.cancels {
		if _, ok := assigned[addr]; !ok {
			cancel()
			delete(f.cancels, addr)
			delete(f.acks, f.assigned[addr].Name)
		}
	}
	f.assigned = assigned
	close(f.reconcileDone)
	f.reconcileDone = make(chan struct{})
	for addr := range assigned {
		if _, ok := f.cancels[addr]; !ok {
			feedCtx, cancel := context.WithCancel(ctx)
			f.cancels[addr] = cancel
			streams.Go(func() { f.keepFeeding(feedCtx, addr) })
		}
	}
}

// keepFeeding feeds the agent at an address, one stream after the other, until
// ctx ends.
func (f *Feeder) keepFeeding(ctx context.Context, addr string) {
	delay := feedRetryDelay
	for ctx.Err() == nil {
		started := time.Now()
		if err := f.feedOnce(ctx, addr); err != nil {
			f.node.counts.feedErrors.Inc(1)
		}
		if time.Since(started) > maxFeedRetryDelay {
			delay = feedRetryDelay
		}
		pause(ctx, delay)
		delay = min(2*delay, maxFeedRetryDelay)
	}
}

// feedOnce sends updates on one stream until it breaks.
func (f *Feeder) feedOnce(ctx context.Context, addr string) error {
	hello := &wire.SettingsUpdate{FromOffset: emptyOffset, ToOffset: emptyOffset, Sender: f.node.cfg.Name}
	stream, err := f.dial.Open(ctx, addr, &wire.Open{Purpose: &wire.Open_Settings{Settings: hello}})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	acks := f.receiveAcks(ctx, stream, addr)
	for {
		ack, err := nextAck(ctx, acks)
		if err != nil || ack == nil {
			return errors.Wrapf(err, "feed settings to %s", addr)
		}
		parts := f.awaitUpdate(ctx, addr, ack, acks)
		for _, part := range parts {
			if err := stream.Send(part); err != nil {
				return err
			}
		}
		if len(parts) == 0 {
			return nil // ctx or the stream has ended, or the agent has sent another acknowledgement
		}
	}
}

// receiveAcks returns a channel of the agent's acknowledgements. It closes when
// the stream or ctx ends.
func (f *Feeder) receiveAcks(ctx context.Context, stream *link.Stream, addr string) <-chan *wire.SettingsAck {
	acks := make(chan *wire.SettingsAck)
	go func() {
		defer close(acks)
		for {
			ack := &wire.SettingsAck{}
			if err := stream.Receive(ack); err != nil {
				return
			}
			f.recordAck(addr, ack)
			select {
			case acks <- ack:
			case <-ctx.Done():
				return
			}
		}
	}()
	return acks
}

// nextAck waits up to ackTimeout for an acknowledgement. It returns nil if the
// stream or ctx has ended.
func nextAck(ctx context.Context, acks <-chan *wire.SettingsAck) (*wire.SettingsAck, error) {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case ack := <-acks:
		return ack, nil
	case <-timer.C:
		return nil, errors.New("timed out waiting for an acknowledgement")
	case <-ctx.Done():
		return nil, nil
	}
}

// reconciled returns a channel that closes at the end of the next reconcile. A
// change of the settings may change which subtrees an agent needs, so it is sent
// to agents only after the next reconcile.
func (f *Feeder) reconciled() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reconcileDone
}

// awaitUpdate waits until there is an update for an agent that has sent ack, and
// returns its parts. It returns none if the stream or ctx has ended, or if
// another acknowledgement comes first.
func (f *Feeder) awaitUpdate(ctx context.Context, addr string, ack *wire.SettingsAck, acks <-chan *wire.SettingsAck) []*wire.SettingsUpdate {
	for {
		reconciled := f.reconciled()
		if parts := f.updateFor(addr, ack); len(parts) > 0 {
			return parts
		}
		select {
		case <-reconciled:
		case <-acks:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// updateFor returns the parts of the update that an agent lacks after ack, none
// if it is up to date.
func (f *Feeder) updateFor(addr string, ack *wire.SettingsAck) []*wire.SettingsUpdate {
	f.mu.Lock()
	agent, ok := f.assigned[addr]
	f.mu.Unlock()
	if !ok {
		return nil
	}
	from := ack.GetOffset()
	if ack.GetSubtreesHash() != agent.hash {
		from = emptyOffset
	}
	delta, ok := f.node.store.deltaFrom(from)
	if !ok || delta.To < ack.GetOffset() {
		return nil
	}
	delta.Entries = slices.DeleteFunc(delta.Entries, func(entry settings.CheckpointEntry) bool {
		return !inSubtrees(entry.Path, agent.subtrees) || (entry.Deleted && delta.From == settings.NoOffset)
	})
	first := &wire.SettingsUpdate{Sender: f.node.cfg.Name}
	if delta.From == settings.NoOffset {
		first.Subtrees = agent.subtrees
	}
	parts := updateParts(first, delta)
	for _, part := range parts {
		for _, entry := range part.GetEntries() {
			entry.Author = ""
		}
	}
	return parts
}

// inSubtrees reports whether a path is in one of the subtrees.
func inSubtrees(path string, subtrees []string) bool {
	return slices.ContainsFunc(subtrees, func(subtree string) bool { return settings.InSubtree(path, subtree) })
}

// subtreesHash identifies a set of subtrees.
func subtreesHash(subtrees []string) string {
	sum := sha256.Sum256([]byte(strings.Join(subtrees, "\n")))
	return hex.EncodeToString(sum[:8])
}

// recordAck records the last acknowledgement of an agent.
func (f *Feeder) recordAck(addr string, ack *wire.SettingsAck) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if agent, ok := f.assigned[addr]; ok {
		f.acks[agent.Name] = agentAck{offset: ack.GetOffset(), incarnation: ack.GetIncarnation(), at: time.Now()}
	}
}
