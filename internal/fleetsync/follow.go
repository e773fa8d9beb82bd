package fleetsync

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

const (
	targetsInterval = 500 * time.Millisecond // between reads of the registry
	targetsTimeout  = 600 * time.Millisecond
	settingsWait    = 800 * time.Millisecond  // of a read that waits for new settings; it may miss one that comes as it begins
	settingsTimeout = 1200 * time.Millisecond // a silent connection is noticed after that
	readerInterval  = 60 * time.Millisecond   // between looks at what the reader has told
	retryInterval   = 250 * time.Millisecond  // after a failed read
	newestTimeout   = 1500 * time.Millisecond
	peerInterval    = 300 * time.Millisecond // between questions to peers while the store is away
	peerTimeout     = 400 * time.Millisecond
)

// Store reads keyed topics. platform.Store is one.
type Store interface {
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic string) (platform.Batch, error)
}

// Peers asks other gateways for what they have read.
type Peers interface {
	// Ask asks the next peer in turn.
	Ask(ctx context.Context, settingsNext, targetsNext int64) (*wire.FleetState, error)
	// Reader returns the gateway that reads the store for this one, or reports
	// false if this gateway is to read itself.
	Reader() (Reader, bool)
	// AskReader asks that gateway.
	AskReader(ctx context.Context, reader Reader, settingsNext, targetsNext int64) (*wire.FleetState, error)
}

// Reader is a gateway that reads the store for others of its failure domain.
type Reader struct {
	Address      string // of its control interface
	SettingsNext int64  // offset that it has read settings up to
	TargetsNext  int64
	// TargetsChanged is the offset that it had read the registry up to with the
	// newest change that is no heartbeat.
	TargetsChanged int64
	SettingsAsOf   time.Time // moment at which it knew all settings
	TargetsAsOf    time.Time
}

// Follower keeps a State up to date.
type Follower struct {
	Store Store
	Peers Peers
	State *State
	Log   *eventlog.Log

	settingsAway dependency
	targetsAway  dependency
	relieved     atomic.Bool // another gateway reads the store for this one
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followSettings(ctx) })
	group.Go(func() error { return f.followTargets(ctx) })
	group.Go(func() error { return f.askPeers(ctx) })
	group.Go(func() error { return f.followReader(ctx) })
	return group.Wait()
}

// followReader learns from the gateway that reads the store for this one, as
// long as there is one that answers.
func (f *Follower) followReader(ctx context.Context) error {
	for pause.For(ctx, readerInterval) {
		reader, found := f.Peers.Reader()
		relieved := found && f.learnFrom(ctx, reader)
		if f.relieved.Swap(relieved) != relieved {
			f.Log.State("who reads the store", eventlog.Fields{"this": !relieved, "reader": reader.Address})
		}
	}
	return nil
}

func (f *Follower) learnFrom(ctx context.Context, reader Reader) bool {
	settingsNext, targetsNext := f.State.SettingsNext(), f.State.TargetsNext()
	if reader.SettingsNext <= settingsNext && reader.TargetsChanged <= targetsNext {
		f.State.Confirm(reader)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	shared, err := f.Peers.AskReader(ctx, reader, settingsNext, targetsNext)
	if err != nil {
		f.Log.Decision("reader does not answer", eventlog.Fields{"reader": reader.Address, "error": err.Error()})
		return false
	}
	f.State.Merge(shared)
	return true
}

func (f *Follower) followSettings(ctx context.Context) error {
	fresh := false
	for ctx.Err() == nil {
		if f.relieved.Load() {
			pause.For(ctx, readerInterval)
			continue
		}
		var err error
		fresh, err = f.readSettings(ctx, fresh)
		f.settingsAway.note(f.Log, "settings in the store", err)
		if err != nil {
			pause.For(ctx, retryInterval)
		}
	}
	return nil
}

// readSettings reads once, and reports whether the next read may go on from
// where this one ended.
func (f *Follower) readSettings(ctx context.Context, fresh bool) (bool, error) {
	if !fresh {
		batch, err := f.newest(ctx, platform.TopicSettings)
		if err != nil {
			return false, err
		}
		f.State.ReplaceSettings(batch)
		return true, nil
	}
	readCtx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	batch, err := f.Store.Read(readCtx, platform.TopicSettings, f.State.SettingsNext(), settingsWait)
	if errors.Is(err, platform.ErrExpired) {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	f.State.AddSettings(batch)
	return true, nil
}

func (f *Follower) followTargets(ctx context.Context) error {
	fresh := false
	for ctx.Err() == nil {
		if f.relieved.Load() {
			pause.For(ctx, readerInterval)
			continue
		}
		var err error
		fresh, err = f.readTargets(ctx, fresh)
		f.targetsAway.note(f.Log, "registry in the store", err)
		if err != nil {
			f.State.RecordTargetsReadFailure()
			pause.For(ctx, retryInterval)
			continue
		}
		pause.For(ctx, targetsInterval)
	}
	return nil
}

func (f *Follower) readTargets(ctx context.Context, fresh bool) (bool, error) {
	if !fresh {
		batch, err := f.newest(ctx, platform.TopicTargets)
		if err != nil {
			return false, err
		}
		f.State.ReplaceTargets(batch)
		return true, nil
	}
	readCtx, cancel := context.WithTimeout(ctx, targetsTimeout)
	defer cancel()
	batch, err := f.Store.Read(readCtx, platform.TopicTargets, f.State.TargetsNext(), 0)
	if errors.Is(err, platform.ErrExpired) {
		return f.readTargets(ctx, false)
	}
	if err != nil {
		return true, err
	}
	f.State.AddTargets(batch)
	return true, nil
}

func (f *Follower) newest(ctx context.Context, topic string) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	return f.Store.Newest(ctx, topic)
}

// askPeers asks other gateways while the store does not serve this one.
func (f *Follower) askPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.relieved.Load() && (f.settingsAway.isAway() || f.targetsAway.isAway()) {
			f.askPeer(ctx)
		}
		pause.For(ctx, peerInterval)
	}
	return nil
}

func (f *Follower) askPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	shared, err := f.Peers.Ask(ctx, f.State.SettingsNext(), f.State.TargetsNext())
	if err != nil || shared == nil {
		return // the next peer is asked soon
	}
	f.State.Merge(shared)
}
