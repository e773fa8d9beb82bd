package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

// The bounds that the deployments set for a target that names a limit.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitGrace  = 3 * time.Second // after the limit was first named
)

// mostInAWindow returns the largest number of requests that reached a target within
// limitWindow, from a time on.
func mostInAWindow(target *platformtest.Target, since time.Time) int {
	var times []time.Time
	most, first := 0, 0
	for _, arrival := range target.Arrivals() {
		if arrival.At.Before(since) {
			continue
		}
		times = append(times, arrival.At)
		for arrival.At.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, len(times)-first)
	}
	return most
}

// limitLoad sends requests to each gateway at a pace, for a time.
func limitLoad(gateways []*testbed, path string, pace, length time.Duration) {
	var callers sync.WaitGroup
	for _, b := range gateways {
		callers.Go(func() {
			ticker := time.NewTicker(pace)
			defer ticker.Stop()
			for started := time.Now(); time.Since(started) < length; <-ticker.C {
				b.get(path)
			}
		})
	}
	callers.Wait()
}

// One target in need among others that are not, at several gateways.
func TestTargetThatNamesALimitGetsNoMoreFromAllGatewaysTogether(t *testing.T) {
	const limit = 2.0
	needy, other := platformtest.NewTarget(t, "i-1"), platformtest.NewTarget(t, "i-2")
	beds := startGateways(newTestbed(t, needy, other), 3)
	needy.SetLimit(limit)
	started := time.Now()
	const length = 10 * time.Second
	limitLoad(beds, "/read/", 50*time.Millisecond, length)
	most := mostInAWindow(needy, started.Add(limitGrace))
	allowed := int(limitFactor*limit*limitWindow.Seconds() + limitSlack)
	assert.Assert(t, most <= allowed, "%d requests within %s, allowed %d", most, limitWindow, allowed)
	late := 0
	for _, arrival := range needy.Arrivals() {
		if arrival.At.After(started.Add(limitGrace)) {
			late++
		}
	}
	took := limit * (length - limitGrace).Seconds()
	assert.Assert(t, float64(late) >= took/2, "%d requests where the target takes %.0f", late, took)
	assert.Equal(t, beds[0].get("/read/").status, http.StatusOK)

	needy.SetLimit(0)
	before := arrived(needy)
	limitLoad(beds, "/read/", 20*time.Millisecond, limitWindow)
	assert.Assert(t, arrived(needy)-before > 100, "only %d requests after the limit has ended", arrived(needy)-before)
}
