package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
)

const (
	suspendTick   = 50 * time.Millisecond
	suspendNotice = 300 * time.Millisecond // later than due: the process did not run
	suspendWary   = time.Second            // after a suspension, for which callers are looked at first
	callerCheck   = 10 * time.Millisecond  // until net/http has noticed a caller that left
)

// suspension notices that the process has not run for a while, as when its VM
// was frozen. Requests that were read only then may have been given up by their
// callers, who have sent them again elsewhere.
type suspension struct {
	ended  atomic.Int64 // in Unix nanoseconds; 0: none yet
	looked atomic.Int64 // when watch last looked, likewise
}

// watch looks for gaps in time, by the time of day as well, since the steady
// clock may stand still while a VM is suspended.
func (s *suspension) watch(ctx context.Context, log *eventlog.Log) error {
	last := time.Now()
	for pause.For(ctx, suspendTick) {
		now := time.Now()
		s.looked.Store(now.UnixNano())
		gap := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
		if gap > suspendTick+suspendNotice {
			s.ended.Store(now.UnixNano())
			log.State("process was suspended", eventlog.Fields{"ms": gap.Milliseconds()})
		}
		last = now
	}
	return nil
}

// lately reports whether a suspension has just ended, or may not have been
// noticed yet.
func (s *suspension) lately(now time.Time) bool {
	return since(&s.ended, now) < suspendWary || since(&s.looked, now) > suspendTick+suspendNotice
}

func since(at *atomic.Int64, now time.Time) time.Duration {
	return now.Sub(time.Unix(0, at.Load()))
}
