package settingssync

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/wire"
)

// Receiver keeps the settings that entries feed to one agent. The offset only
// grows, whichever entry an update comes from.
type Receiver struct {
	name        string
	incarnation string
	snapshot    atomic.Pointer[settings.Snapshot]
	ready       chan struct{}

	mu       sync.Mutex
	state    *settings.State // nil before the first update
	subtrees string          // hash of the subtrees that the state covers
	changed  chan struct{}
}

// NewReceiver returns a receiver without settings.
func NewReceiver(name, incarnation string) *Receiver {
	return &Receiver{
		name: name, incarnation: incarnation,
		ready: make(chan struct{}), changed: make(chan struct{}),
	}
}

// Snapshot returns the newest settings, nil before the first update.
func (r *Receiver) Snapshot() *settings.Snapshot { return r.snapshot.Load() }

// Ready is closed once there are settings.
func (r *Receiver) Ready() <-chan struct{} { return r.ready }

// Changed returns a channel that closes at the next new snapshot. Take the
// channel first and the snapshot after it, so that no change is missed.
func (r *Receiver) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Handle serves a stream that an entry opened with a SettingsUpdate, until the
// stream ends.
func (r *Receiver) Handle(ctx context.Context, open *wire.Open, stream *link.Stream) {
	if open.GetSettings() == nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	for {
		if err := stream.Send(r.held()); err != nil {
			return
		}
		update, err := receiveParts(stream)
		if err != nil {
			return
		}
		if err := r.take(update); err != nil {
			return // the entry starts again from what is held
		}
	}
}

// receiveParts collects one update.
func receiveParts(stream *link.Stream) (*wire.SettingsUpdate, error) {
	whole := &wire.SettingsUpdate{}
	if err := stream.Receive(whole); err != nil {
		return nil, err
	}
	for more := whole.GetMore(); more; {
		part := &wire.SettingsUpdate{}
		if err := stream.Receive(part); err != nil {
			return nil, err
		}
		whole.Entries = append(whole.Entries, part.GetEntries()...)
		more = part.GetMore()
	}
	return whole, nil
}

// held tells an entry what this agent holds.
func (r *Receiver) held() *wire.SettingsAck {
	r.mu.Lock()
	defer r.mu.Unlock()
	ack := &wire.SettingsAck{Offset: emptyOffset, Node: r.name, Incarnation: r.incarnation}
	if r.state != nil {
		ack.Offset = r.state.Offset()
		ack.SubtreesHash = r.subtrees
	}
	return ack
}

// take moves the settings forward. An update to an offset that is not above
// that held has no effect, unless it brings other subtrees at the same offset.
func (r *Receiver) take(update *wire.SettingsUpdate) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	full := update.GetFromOffset() == settings.NoOffset && update.GetComplete()
	hash := r.subtrees
	if full {
		hash = subtreesHash(update.GetSubtrees())
	}
	if r.state != nil && update.GetToOffset() <= r.state.Offset() &&
		(update.GetToOffset() < r.state.Offset() || hash == r.subtrees) {
		return nil
	}
	delta := settings.Delta{
		From: update.GetFromOffset(), To: update.GetToOffset(), Entries: entriesFromWire(update.GetEntries()),
	}
	next, err := r.advance(delta, full)
	if err != nil {
		return errors.Wrapf(err, "update from %s", update.GetSender())
	}
	if r.state == nil {
		defer close(r.ready)
	}
	r.state, r.subtrees = next, hash
	r.snapshot.Store(next.Snapshot())
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// advance returns the state that a delta leads to.
func (r *Receiver) advance(delta settings.Delta, full bool) (*settings.State, error) {
	if full {
		return settings.FromDelta(delta)
	}
	if r.state == nil {
		return nil, errors.New("no settings to start from")
	}
	return r.state.Advance(delta)
}
