package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

// Figures of a site with many gateways, whose targets bear 14 x 1.5 + 5 requests in a second
// while they are cold.
const (
	againGateways = 34
	againTargets  = 4
	againPerS     = 14
	againBound    = 26
	againPace     = time.Second / 3 // of a gateway's callers: 102 requests a second at all
	againDowntime = 2 * time.Second
	againCold     = 3 * time.Second
	againLoad     = 8 * time.Second
)

// A target crashes and comes back cold while the gateways go on sending.
func TestTargetThatComesBackColdGetsNoMoreThanItsBoundFrom34Gateways(t *testing.T) {
	first := newTestbed(t)
	first.store.PutJSON(t, "keyed.op", "config", coldSettings(2, againPerS))
	targets := make([]*platformtest.Target, againTargets)
	for i := range targets {
		targets[i] = platformtest.NewTarget(t, fmt.Sprint("i-", i))
		first.store.PutJSON(t, "keyed.servers", targets[i].ID, targetRecord(targets[i], object{"slots": 100}))
	}
	crashing, back := targets[0], make(chan time.Time, 1)
	crashing.CrashOn("", againDowntime, func(int) {
		back <- time.Now()
		first.store.PutJSON(t, "keyed.servers", crashing.ID,
			targetRecord(crashing, object{"slots": 100, "coldRemainingMs": againCold.Milliseconds(), "born": 2, "sequence": 2}))
	})
	beds := startGateways(first, againGateways)
	for _, b := range beds {
		b.wait("the targets are known", func() bool { return len(b.gateway.state.View().Targets["app"]) == againTargets })
	}
	var served, sent atomic.Int64
	var callers sync.WaitGroup
	for _, b := range beds {
		callers.Go(func() {
			<-time.After(rand.N(againPace))
			ticker := time.NewTicker(againPace)
			defer ticker.Stop()
			for started := time.Now(); time.Since(started) < againLoad; <-ticker.C {
				sent.Add(1)
				if b.post("/once/", "pay").status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	first.wait("the target is in use", func() bool { return arrived(crashing) > againBound })
	crashing.Crash()
	first.store.Put("keyed.servers", crashing.ID, nil)
	returned := <-back
	callers.Wait()
	var cold []platformtest.Arrival
	for _, arrival := range crashing.Arrivals() {
		if since := arrival.At.Sub(returned); since >= 0 && since < againCold {
			cold = append(cold, arrival)
		}
	}
	most := mostOfASecond(cold)
	t.Logf("%d of %d served; the cold target got %d, at most %d in a second", served.Load(), sent.Load(), len(cold), most)
	assert.Assert(t, most <= againBound, "%d requests in a second, allowed %d", most, againBound)
	assert.Assert(t, len(cold) > 0)
}
