package fleetsync

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/supervise"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

const (
	targetsInterval = 500 * time.Millisecond // between reads of the registry
	targetsTimeout  = 600 * time.Millisecond
	settingsWait    = 800 * time.Millisecond  // time that a read waits for new settings; it may miss a change that arrives as it begins
	settingsTimeout = 1200 * time.Millisecond // after which a read without an answer fails
	readerInterval  = 60 * time.Millisecond   // between checks of how far the reader has read
	retryInterval   = 250 * time.Millisecond  // after a failed read
	newestTimeout   = 1500 * time.Millisecond
	peerInterval    = 300 * time.Millisecond // between requests to peers while the store is unavailable
	peerTimeout     = 400 * time.Millisecond
)

// Store reads keyed topics. platform.Store implements it.
type Store interface {
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic string) (platform.Batch, error)
}

// Peers fetches from other gateways what they have read.
type Peers interface {
	// FetchFromPeer fetches from the next peer (round robin) what is newer than the
	// given places.
	FetchFromPeer(ctx context.Context, settings, targets platform.Position) (*wire.FleetState, error)
	// Reader returns the gateway that reads the store for this one, or reports
	// false if this gateway must read the store itself.
	Reader() (Reader, bool)
	// FetchFromReader fetches from that gateway what is newer than the given places.
	FetchFromReader(ctx context.Context, reader Reader, settings, targets platform.Position) (*wire.FleetState, error)
}

// Reader is a gateway that reads the store for others of its failure domain.
type Reader struct {
	Address    string            // of its control interface
	SettingsAt platform.Position // up to which it has read the settings
	TargetsAt  platform.Position // up to which it has read the registry
	// TargetsChanged is the offset, in the era of TargetsAt, up to which it had read the
	// registry at the last change of a target other than a heartbeat.
	TargetsChanged int64
	SettingsAsOf   time.Time // when it last knew all settings
	TargetsAsOf    time.Time // when it last knew the whole registry
}

// offersMore reports whether the gateway has read changes after the given places.
func (r Reader) offersMore(settings, targets platform.Position) bool {
	changed := platform.Position{Era: r.TargetsAt.Era, Next: r.TargetsChanged}
	return settings.Before(r.SettingsAt) || targets.Before(changed) || targets.Era < r.TargetsAt.Era
}

// Follower keeps a State up to date.
type Follower struct {
	Store Store
	Peers Peers
	State *State
	Log   *eventlog.Log

	settingsDependency dependency
	targetsDependency  dependency
	delegated          atomic.Bool // whether another gateway reads the store for this one
}

// Run keeps the state up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for name, loop := range map[string]func(context.Context) error{
		"settings": f.followSettings, "registry": f.followTargets, "state of peers": f.followPeers, "state of the reader": f.followReader,
	} {
		group.Go(func() error { return supervise.Loop(ctx, f.Log, name, loop, nil) })
	}
	return group.Wait()
}

// followReader copies the state of the gateway that reads the store for this one, as
// long as there is such a gateway and it answers.
func (f *Follower) followReader(ctx context.Context) error {
	for pause.For(ctx, readerInterval) {
		f.State.Expire()
		reader, found := f.Peers.Reader()
		delegated := found && f.syncFrom(ctx, reader)
		if f.delegated.Swap(delegated) != delegated {
			f.Log.State("reader of the store changed", eventlog.Fields{"this": !delegated, "reader": reader.Address})
		}
	}
	return nil
}

// syncFrom brings the state up to that of the reader, and reports whether that
// succeeded.
func (f *Follower) syncFrom(ctx context.Context, reader Reader) bool {
	settings, targets := f.State.SettingsAt(), f.State.TargetsAt()
	if !reader.offersMore(settings, targets) {
		f.State.RecordReaderProgress(reader)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	shared, err := f.Peers.FetchFromReader(ctx, reader, settings, targets)
	if err != nil {
		f.Log.Decision("reader did not answer", eventlog.Fields{"reader": reader.Address, "error": err.Error()})
		return false
	}
	f.State.Merge(shared)
	return true
}

func (f *Follower) followSettings(ctx context.Context) error {
	incremental := false
	for ctx.Err() == nil {
		if f.delegated.Load() {
			pause.For(ctx, readerInterval)
			continue
		}
		var err error
		incremental, err = f.readSettings(ctx, incremental)
		f.settingsDependency.record(f.Log, "settings in the store", err)
		if err != nil {
			f.State.RecordSettingsReadFailure()
			pause.For(ctx, retryInterval)
		}
	}
	return nil
}

// readSettings reads the settings once: the records that follow those read before if
// incremental is set, otherwise the newest record of every key. It reports whether
// the next read can be incremental.
func (f *Follower) readSettings(ctx context.Context, incremental bool) (bool, error) {
	if !incremental {
		batch, err := f.newest(ctx, platform.TopicSettings)
		if err != nil {
			return false, err
		}
		f.State.ReplaceSettings(batch)
		return true, nil
	}
	readCtx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	batch, err := f.Store.Read(readCtx, platform.TopicSettings, f.State.SettingsAt().Next, settingsWait)
	if errors.Is(err, platform.ErrExpired) {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	return f.State.AddSettings(batch), nil
}

func (f *Follower) followTargets(ctx context.Context) error {
	incremental := false
	for ctx.Err() == nil {
		if f.delegated.Load() {
			pause.For(ctx, readerInterval)
			continue
		}
		var err error
		incremental, err = f.readTargets(ctx, incremental)
		f.targetsDependency.record(f.Log, "registry in the store", err)
		if err != nil {
			f.State.RecordTargetsReadFailure()
			pause.For(ctx, retryInterval)
			continue
		}
		pause.For(ctx, targetsInterval)
	}
	return nil
}

// readTargets reads the registry once. Its parameter and results are like those of
// readSettings.
func (f *Follower) readTargets(ctx context.Context, incremental bool) (bool, error) {
	if !incremental {
		batch, err := f.newest(ctx, platform.TopicTargets)
		if err != nil {
			return false, err
		}
		f.State.ReplaceTargets(batch)
		return true, nil
	}
	readCtx, cancel := context.WithTimeout(ctx, targetsTimeout)
	defer cancel()
	batch, err := f.Store.Read(readCtx, platform.TopicTargets, f.State.TargetsAt().Next, 0)
	if errors.Is(err, platform.ErrExpired) {
		return f.readTargets(ctx, false)
	}
	if err != nil {
		return true, err
	}
	if !f.State.AddTargets(batch) {
		return f.readTargets(ctx, false)
	}
	return true, nil
}

func (f *Follower) newest(ctx context.Context, topic string) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	return f.Store.Newest(ctx, topic)
}

// followPeers merges the state of other gateways while this one cannot read the store
// and no other gateway reads it for this one.
func (f *Follower) followPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.delegated.Load() && (f.settingsDependency.isUnavailable() || f.targetsDependency.isUnavailable()) {
			f.mergeFromPeer(ctx)
		}
		pause.For(ctx, peerInterval)
	}
	return nil
}

func (f *Follower) mergeFromPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	shared, err := f.Peers.FetchFromPeer(ctx, f.State.SettingsAt(), f.State.TargetsAt())
	if err != nil || shared == nil {
		return // the next peer is tried after peerInterval
	}
	f.State.Merge(shared)
}
