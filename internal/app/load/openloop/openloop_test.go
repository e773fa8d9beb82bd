package openloop

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSlowAnswersDoNotDelayLaterRequests(t *testing.T) {
	release := make(chan struct{})
	var sent atomic.Int64
	Run(context.Background(), Schedule{Rate: 1000, Count: 20}, func(n int, _ time.Time) {
		if sent.Add(1) == 20 {
			close(release)
		}
		<-release
	})
	assert.Equal(t, sent.Load(), int64(20))
}

func TestScheduleKeepsTheRate(t *testing.T) {
	s := Schedule{Rate: 4, Count: 8}
	start := time.Unix(100, 0)
	assert.Equal(t, s.Due(start, 6).Sub(start), 1500*time.Millisecond)
	assert.Equal(t, s.Duration(), 2*time.Second)
}

func TestRunStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var sent atomic.Int64
	Run(ctx, Schedule{Rate: 1000, Count: 1 << 30}, func(n int, _ time.Time) {
		sent.Add(1)
		cancel()
	})
	assert.Assert(t, sent.Load() >= 1)
}
