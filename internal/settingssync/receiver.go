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

// Receiver keeps the settings that entries feed to one agent. Its offset never
// decreases, whichever entry an update comes from.
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

// Changed returns a channel that closes at the next new snapshot. Call Changed
// before Snapshot, so that no change is missed.
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
		if err := stream.Send(r.acknowledgement()); err != nil {
			return
		}
		update, err := receiveParts(stream)
		if err != nil {
			return
		}
		if err := r.apply(update); err != nil {
			return // the entry opens a new stream and starts from the next acknowledgement
		}
	}
}

// receiveParts receives all parts of one update and joins their entries.
func receiveParts(stream *link.Stream) (*wire.SettingsUpdate, error) {
	update := &wire.SettingsUpdate{}
	if err := stream.Receive(update); err != nil {
		return nil, err
	}
	for more := update.GetMore(); more; {
		part := &wire.SettingsUpdate{}
		if err := stream.Receive(part); err != nil {
			return nil, err
		}
		update.Entries = append(update.Entries, part.GetEntries()...)
		more = part.GetMore()
	}
	return update, nil
}

// acknowledgement returns a message that reports to an entry which settings this
// agent has.
func (r *Receiver) acknowledgement() *wire.SettingsAck {
	r.mu.Lock()
	defer r.mu.Unlock()
	ack := &wire.SettingsAck{Offset: emptyOffset, Node: r.name, Incarnation: r.incarnation}
	if r.state != nil {
		ack.Offset = r.state.Offset()
		ack.SubtreesHash = r.subtrees
	}
	return ack
}

// apply applies an update. It has no effect if the update leads to a lower
// offset, or to the same offset with the same subtrees.
func (r *Receiver) apply(update *wire.SettingsUpdate) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	complete := update.GetFromOffset() == settings.NoOffset && update.GetComplete()
	hash := r.subtrees
	if complete {
		hash = subtreesHash(update.GetSubtrees())
	}
	if r.state != nil && update.GetToOffset() <= r.state.Offset() &&
		(update.GetToOffset() < r.state.Offset() || hash == r.subtrees) {
		return nil
	}
	delta := settings.Delta{
		From: update.GetFromOffset(), To: update.GetToOffset(), Entries: entriesFromWire(update.GetEntries()),
	}
	next, err := r.advance(delta, complete)
	if err != nil {
		return errors.Wrapf(err, "apply settings update from %s", update.GetSender())
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

// advance returns the state after a delta.
func (r *Receiver) advance(delta settings.Delta, complete bool) (*settings.State, error) {
	if complete {
		return settings.FromDelta(delta)
	}
	if r.state == nil {
		return nil, errors.New("partial update before a complete one")
	}
	return r.state.Advance(delta)
}
