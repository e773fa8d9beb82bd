package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/platform/platformtest"
)

// The race detector reports a timer that is used before it is stored. The test itself waits
// for the end only, since other timers would order the two.
func TestWatchdogOfASilentStreamChecksAgain(t *testing.T) {
	b := newTestbed(t, platformtest.NewTarget(t, "i-1"))
	now := time.Now()
	b.gateway.loads.recordEvent("i-1", now.Add(targetSilence/2)) // passes the first check
	for _, other := range []string{"i-2", "i-3"} {
		b.gateway.loads.recordEvent(other, now.Add(time.Minute))
	}
	x := &exchange{gateway: b.gateway, deadline: now.Add(time.Minute), route: &fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: 2}}
	left := make(chan struct{})
	watch := newWatchdog(x, "i-1", func() { close(left) })
	<-left
	watch.stop()
	assert.Assert(t, time.Since(now) >= targetSilence+recentEventWindow/2)
}
