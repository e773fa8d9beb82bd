package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/supervise"
)

const (
	targetSilence        = 900 * time.Millisecond  // without a stream event of the target, while other targets have events
	streamSilence        = 1500 * time.Millisecond // without an event of this stream, while other targets have events
	recentEventWindow    = 250 * time.Millisecond  // age up to which events of other targets count
	objectivesPerAttempt = 2                       // an idempotent attempt may take this many latency objectives
)

// watchdog cancels an attempt whose target no longer responds.
type watchdog struct {
	x         *exchange
	target    string
	cancel    context.CancelFunc
	mu        sync.Mutex   // guards timer, which may fire before newWatchdog has stored it
	timer     *time.Timer  // nil: none
	lastEvent atomic.Int64 // time of the last event, in Unix nanoseconds
	hasFired  atomic.Bool
}

func newWatchdog(x *exchange, target string, cancel context.CancelFunc) *watchdog {
	w := &watchdog{x: x, target: target, cancel: cancel}
	w.lastEvent.Store(time.Now().UnixNano())
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case x.attempts+1 >= x.route.MaxAttempts:
		// The last attempt may use all the remaining time.
	case x.route.Kind == fleet.Idempotent:
		limit := min(objectivesPerAttempt*x.route.LatencyObjective, time.Until(x.deadline)/2)
		w.timer = time.AfterFunc(limit, w.fire)
	case x.route.Kind == fleet.Stream && x.route.Resumable:
		w.timer = time.AfterFunc(targetSilence, func() { supervise.Task(x.gateway.log, "watchdog", w.checkStream) })
	}
	return w
}

func (w *watchdog) recordStreamEvent(now time.Time) { w.lastEvent.Store(now.UnixNano()) }

func (w *watchdog) fired() bool { return w.hasFired.Load() }

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) fire() {
	w.hasFired.Store(true)
	w.cancel()
}

// checkStream cancels a stream that has no events while streams of other targets
// have some. If no other target has events either, the group may have stalled as a
// whole, and the stream is not cancelled.
func (w *watchdog) checkStream() {
	now := time.Now()
	silent := now.Sub(time.Unix(0, w.lastEvent.Load()))
	if silent < targetSilence {
		w.checkAgainIn(targetSilence - silent)
		return
	}
	silentHere := !w.x.gateway.loads.activeSince(w.target, now.Add(-targetSilence)) || silent >= streamSilence
	if silentHere && w.x.gateway.loads.othersActiveSince(w.target, now.Add(-recentEventWindow)) {
		w.fire()
		return
	}
	w.checkAgainIn(recentEventWindow / 2)
}

func (w *watchdog) checkAgainIn(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(wait)
}
