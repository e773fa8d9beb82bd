package openloop

import (
	"context"
	"sync"
	"time"
)

// Schedule is a number of requests at a fixed rate.
type Schedule struct {
	Rate  float64 // requests a second
	Count int
}

// Due returns when request number n is due.
func (s Schedule) Due(start time.Time, n int) time.Time {
	return start.Add(time.Duration(float64(n) / s.Rate * float64(time.Second)))
}

// Duration returns the time from the first request to one interval after the
// last one.
func (s Schedule) Duration() time.Duration {
	return time.Duration(float64(s.Count) / s.Rate * float64(time.Second))
}

// Run calls send for each request when it is due, each in its own goroutine, and
// waits for all of them. send must measure latency from due. Run sends no more
// requests once ctx ends.
func Run(ctx context.Context, schedule Schedule, send func(n int, due time.Time)) {
	var running sync.WaitGroup
	defer running.Wait()
	start := time.Now()
	for n := range schedule.Count {
		due := schedule.Due(start, n)
		if !SleepUntil(ctx, due) {
			return
		}
		running.Go(func() { send(n, due) })
	}
}

// SleepUntil waits until due and returns true, or false if ctx ends first.
func SleepUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
