package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"quetzalbend/internal/core/fleet"
)

const (
	silentTarget  = 900 * time.Millisecond  // without any event while other targets have some
	silentStream  = 1500 * time.Millisecond // without an event of this stream
	recentEvents  = 250 * time.Millisecond  // events of other targets that count
	objectiveTrys = 2                       // objectives that one attempt at a lookup may take
)

// watchdog gives up an attempt whose target has gone silent.
type watchdog struct {
	x      *exchange
	target string
	cancel context.CancelFunc
	timer  *time.Timer
	last   atomic.Int64 // time of the last event, in Unix nanoseconds
	gaveUp atomic.Bool
}

func newWatchdog(x *exchange, target string, cancel context.CancelFunc) *watchdog {
	w := &watchdog{x: x, target: target, cancel: cancel}
	w.last.Store(time.Now().UnixNano())
	switch {
	case x.attempts+1 >= x.route.MaxAttempts:
		// The last attempt may take all the time that is left.
	case x.route.Kind == fleet.Idempotent:
		limit := min(objectiveTrys*x.route.Objective, time.Until(x.deadline)/2)
		w.timer = time.AfterFunc(limit, w.giveUp)
	case x.route.Kind == fleet.Stream && x.route.Resumable:
		w.timer = time.AfterFunc(silentTarget, w.checkStream)
	}
	return w
}

func (w *watchdog) event(now time.Time) { w.last.Store(now.UnixNano()) }

func (w *watchdog) fired() bool { return w.gaveUp.Load() }

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) giveUp() {
	w.gaveUp.Store(true)
	w.cancel()
}

// checkStream gives up a stream that is silent while those of other targets go
// on: a group that stalls as a whole is silent everywhere.
func (w *watchdog) checkStream() {
	now := time.Now()
	silent := now.Sub(time.Unix(0, w.last.Load()))
	if silent < silentTarget {
		w.timer.Reset(silentTarget - silent)
		return
	}
	alone := !w.x.gateway.loads.progressedSince(w.target, now.Add(-silentTarget)) || silent >= silentStream
	if alone && w.x.gateway.loads.othersProgressed(w.target, now.Add(-recentEvents)) {
		w.giveUp()
		return
	}
	w.timer.Reset(recentEvents / 2)
}
