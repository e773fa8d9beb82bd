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
	feedersPerAgent = 2                      // entries that feed each agent
	feedRetryDelay  = 200 * time.Millisecond // after a stream has ended
	maxFeedDelay    = 2 * time.Second        // after several that did not start
	ackTimeout      = 5 * time.Second
	reviewEvery     = 5 * time.Second // between two looks at which agents to feed
)

// Agent is an agent that needs settings.
type Agent struct {
	Name          string // of its target
	Addr          string // IP address and port
	FailureDomain string
	Subtrees      func() []string // paths that it needs, each with all below
}

// fedAgent is an agent that this entry feeds.
type fedAgent struct {
	Agent
	subtrees []string
	hash     string // of the subtrees
}

// newFedAgent returns an agent with its subtrees.
func newFedAgent(agent Agent) fedAgent {
	subtrees := agent.Subtrees()
	return fedAgent{Agent: agent, subtrees: subtrees, hash: subtreesHash(subtrees)}
}

// Feeder sends agents the settings that they need. Each agent is fed by the
// entries that rendezvous hashing names for it.
type Feeder struct {
	node   *Node
	dial   Dialer
	agents func(*settings.Snapshot) []Agent

	mu   sync.Mutex
	fed  map[string]context.CancelFunc // by address
	acks map[string]ack                // by agent
	want map[string]fedAgent           // by address
	done chan struct{}                 // closed and replaced at the end of each review

	// Agents of the last snapshot that was looked at; used by review only.
	offset int64
	known  []Agent
}

// ack is what an agent last said to be in force.
type ack struct {
	offset      int64
	incarnation string
	at          time.Time
}

// NewFeeder returns a feeder for the agents that a snapshot names.
func NewFeeder(node *Node, dial Dialer, agents func(*settings.Snapshot) []Agent) *Feeder {
	f := &Feeder{
		node: node, dial: dial, agents: agents,
		fed: map[string]context.CancelFunc{}, acks: map[string]ack{}, want: map[string]fedAgent{}, offset: emptyOffset, done: make(chan struct{}),
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
		f.review(ctx, &streams)
		timer := time.NewTimer(jitter(reviewEvery))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// review starts and stops feeding so that it matches the settings and the
// entries that are live.
func (f *Feeder) review(ctx context.Context, streams *sync.WaitGroup) {
	want := map[string]fedAgent{}
	rivals := f.liveEntries(time.Now())
	if snapshot := f.node.Snapshot(); snapshot.Offset() != f.offset {
		f.offset, f.known = snapshot.Offset(), f.agents(snapshot)
	}
	for _, agent := range f.known {
		if agent.Addr != "" && f.responsible(agent, rivals) {
			want[agent.Addr] = newFedAgent(agent)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr, cancel := range f.fed {
		if _, ok := want[addr]; !ok {
			cancel()
			delete(f.fed, addr)
			delete(f.acks, f.want[addr].Name)
		}
	}
	f.want = want
	close(f.done)
	f.done = make(chan struct{})
	for addr := range want {
		if _, ok := f.fed[addr]; !ok {
			feedCtx, cancel := context.WithCancel(ctx)
			f.fed[addr] = cancel
			streams.Go(func() { f.feedUntil(feedCtx, addr) })
		}
	}
}

// feedUntil feeds the agent at an address until ctx ends.
func (f *Feeder) feedUntil(ctx context.Context, addr string) {
	delay := feedRetryDelay
	for ctx.Err() == nil {
		began := time.Now()
		if err := f.feed(ctx, addr); err != nil {
			f.node.counts.feedErrors.Inc(1)
		}
		if time.Since(began) > maxFeedDelay {
			delay = feedRetryDelay
		}
		pause(ctx, delay)
		delay = min(2*delay, maxFeedDelay)
	}
}

// feed sends updates on one stream until it breaks.
func (f *Feeder) feed(ctx context.Context, addr string) error {
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
		held, err := nextAck(ctx, acks)
		if err != nil || held == nil {
			return errors.Wrapf(err, "feed settings to %s", addr)
		}
		parts := f.awaitUpdate(ctx, addr, held, acks)
		for _, part := range parts {
			if err := stream.Send(part); err != nil {
				return err
			}
		}
		if len(parts) == 0 {
			return nil // ctx has ended, or the agent has closed the stream
		}
	}
}

// receiveAcks passes on what an agent says to hold. The channel closes with
// the stream.
func (f *Feeder) receiveAcks(ctx context.Context, stream *link.Stream, addr string) <-chan *wire.SettingsAck {
	acks := make(chan *wire.SettingsAck)
	go func() {
		defer close(acks)
		for {
			held := &wire.SettingsAck{}
			if err := stream.Receive(held); err != nil {
				return
			}
			f.noteAck(addr, held)
			select {
			case acks <- held:
			case <-ctx.Done():
				return
			}
		}
	}()
	return acks
}

// nextAck waits a bounded time for what an agent holds. It returns nil if the
// stream or ctx has ended.
func nextAck(ctx context.Context, acks <-chan *wire.SettingsAck) (*wire.SettingsAck, error) {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case held := <-acks:
		return held, nil
	case <-timer.C:
		return nil, errors.New("no acknowledgement in time")
	case <-ctx.Done():
		return nil, nil
	}
}

// reviewed returns a channel that closes at the end of the next review. A change
// of the settings may change which subtrees an agent needs, so agents hear of it
// only after the review.
func (f *Feeder) reviewed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done
}

// awaitUpdate waits until an agent lacks something and returns that. It
// returns nothing if the stream or ctx has ended.
func (f *Feeder) awaitUpdate(ctx context.Context, addr string, held *wire.SettingsAck, acks <-chan *wire.SettingsAck) []*wire.SettingsUpdate {
	for {
		reviewed := f.reviewed()
		if parts := f.updateFor(addr, held); len(parts) > 0 {
			return parts
		}
		select {
		case <-reviewed:
		case <-acks:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// updateFor returns what an agent lacks, nothing if it is up to date.
func (f *Feeder) updateFor(addr string, held *wire.SettingsAck) []*wire.SettingsUpdate {
	f.mu.Lock()
	agent, ok := f.want[addr]
	f.mu.Unlock()
	if !ok {
		return nil
	}
	from := held.GetOffset()
	if held.GetSubtreesHash() != agent.hash {
		from = emptyOffset
	}
	delta, ok := f.node.store.deltaFrom(from)
	if !ok || delta.To < held.GetOffset() {
		return nil
	}
	delta.Entries = slices.DeleteFunc(delta.Entries, func(entry settings.CheckpointEntry) bool {
		return !within(entry.Path, agent.subtrees) || (entry.Deleted && delta.From == settings.NoOffset)
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

// within reports whether a path lies in one of the subtrees.
func within(path string, subtrees []string) bool {
	return slices.ContainsFunc(subtrees, func(subtree string) bool { return settings.InSubtree(path, subtree) })
}

// subtreesHash identifies a set of subtrees.
func subtreesHash(subtrees []string) string {
	sum := sha256.Sum256([]byte(strings.Join(subtrees, "\n")))
	return hex.EncodeToString(sum[:8])
}

// noteAck keeps what is in force at an agent.
func (f *Feeder) noteAck(addr string, held *wire.SettingsAck) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if agent, ok := f.want[addr]; ok {
		f.acks[agent.Name] = ack{offset: held.GetOffset(), incarnation: held.GetIncarnation(), at: time.Now()}
	}
}
