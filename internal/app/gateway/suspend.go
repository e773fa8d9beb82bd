package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
)

const (
	suspendCheckInterval = 50 * time.Millisecond
	suspendThreshold     = 300 * time.Millisecond // a check that is late by more than this means that the process was suspended
	postSuspendPeriod    = time.Second            // time after a suspension in which requests are checked for disconnected callers
	disconnectWait       = 10 * time.Millisecond  // time for net/http to notice that a caller has disconnected
)

// suspension detects that the process did not run for a while, for instance
// because its VM was frozen. The callers of requests that were read afterwards may
// have given up and sent them again elsewhere.
type suspension struct {
	ended     atomic.Int64 // end of the latest suspension in Unix nanoseconds; 0: none yet
	lastCheck atomic.Int64 // time of the last check made by watch, in Unix nanoseconds
}

// watch detects gaps between its checks. It compares wall clock times as well,
// since the monotonic clock may stand still while a VM is suspended.
func (s *suspension) watch(ctx context.Context, log *eventlog.Log) error {
	last := time.Now()
	for pause.For(ctx, suspendCheckInterval) {
		now := time.Now()
		s.lastCheck.Store(now.UnixNano())
		gap := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
		if gap > suspendCheckInterval+suspendThreshold {
			s.ended.Store(now.UnixNano())
			log.State("process was suspended", eventlog.Fields{"ms": gap.Milliseconds()})
		}
		last = now
	}
	return nil
}

// recent reports whether a suspension has just ended or may have ended without
// having been detected yet.
func (s *suspension) recent(now time.Time) bool {
	return since(&s.ended, now) < postSuspendPeriod || since(&s.lastCheck, now) > suspendCheckInterval+suspendThreshold
}

func since(at *atomic.Int64, now time.Time) time.Duration {
	return now.Sub(time.Unix(0, at.Load()))
}
