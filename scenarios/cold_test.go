//go:build scenarios

package scenarios

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/platform"
	"quetzalbend/platform/platformtest"
)

var (
	coldSeeds = flag.Int("cold-seeds", 0, "further seeds of the tests of cold targets")
	coldFirst = flag.Uint64("cold-first", uint64(time.Now().UnixNano()), "first of these seeds")
	coldKnown = flag.Bool("cold-announced", false, "the records of the targets say that they are cold")
)

// Sizes of mffa-entries-grown, and times of a run.
const (
	coldGateways = 34
	coldSeedList = 3 // gateways that the settings files name
	coldTargets  = 3
	coldPerS     = 14.0
	coldOver     = 1.5
	coldSlack    = 5.0
	coldBound    = int(coldPerS*coldOver + coldSlack) // requests of all gateways to a target in a second
	coldRun      = 3500 * time.Millisecond
	coldDeadline = 1500 * time.Millisecond
	coldRemains  = 10 * time.Minute // longer than any run
)

// TestColdTargetsBoundHoldsOverManyProcesses lets callers press at all gateways at the same
// moments and counts, at targets that are cold all the time, the requests that were sent and
// arrived within the same second. The time of sending is the kernel's, see sendTimes; the
// time of arrival is that in the target's handler.
func TestColdTargetsBoundHoldsOverManyProcesses(t *testing.T) {
	seeds := []uint64{1} // has found start shares that were used more than once
	for i := range *coldSeeds {
		seeds = append(seeds, *coldFirst+uint64(i))
	}
	for _, seed := range seeds {
		for _, c := range coldCases {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				f := newColdFleet(t, strings.ReplaceAll(fmt.Sprintf("%s %d", c.name, seed), " ", "-"), seed)
				f.run(c.faults(f))
			})
		}
	}
}

// coldFleet is a fleet before a few targets that are cold from their start to the end of
// the test.
type coldFleet struct {
	*gatewayFleet
	random   *rand.Rand
	client   *http.Client
	requests atomic.Int64
	served   atomic.Int64

	mu      sync.Mutex
	targets []*coldTarget
}

// coldTarget is a cold target and its link, which notes when requests were sent.
type coldTarget struct {
	*platformtest.Target
	link  *soakLink
	times *sendTimes
}

func newColdFleet(t *testing.T, name string, seed uint64) *coldFleet {
	f := &coldFleet{
		gatewayFleet: newGatewayFleet(t, "cold-"+name),
		random:       rand.New(rand.NewPCG(seed, 0)),
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}},
	}
	t.Cleanup(f.client.CloseIdleConnections)
	f.store.PutJSON(t, platform.TopicSettings, platform.KeySettings, coldSettings())
	for range coldTargets {
		f.addTarget()
	}
	for range coldGateways {
		f.addGateway()
	}
	for _, g := range f.all() {
		f.waitAnswer(g)
	}
	return f
}

func coldSettings() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r", "host": "app.example", "pathPrefix": "/submit/", "kind": "non_idempotent",
			"timeoutMs": coldDeadline.Milliseconds(), "targetLatencyMs": 200, "priority": 1, "service": "app", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{
			"name": "app", "maxConnections": 460, "coldStartS": coldRemains.Seconds(), "coldPerS": coldPerS,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "account-1", "apiKeys": []string{"key-1"}}},
	}
}

func (f *coldFleet) addGateway() {
	gateways := f.all()
	var seeds []string
	for _, g := range gateways[:min(len(gateways), coldSeedList)] {
		seeds = append(seeds, g.control)
	}
	f.add(fmt.Sprint("d", len(gateways)%3+1), map[string]string{
		"seeds": strings.Join(seeds, ","), "contractParams.coldOver": fmt.Sprint(coldOver), "contractParams.coldSlack": fmt.Sprint(coldSlack),
	})
}

func (f *coldFleet) addTarget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	target := &coldTarget{Target: platformtest.NewTarget(f.t, fmt.Sprint("i-", len(f.targets))), times: newSendTimes()}
	target.link = newColdLink(f.t, target.Address(), target.times)
	f.targets = append(f.targets, target)
	remains := time.Duration(0)
	if *coldKnown {
		remains = coldRemains
	}
	f.store.PutJSON(f.t, platform.TopicTargets, target.ID, map[string]any{
		"service": "app", "address": target.link.listenAddress(), "zone": "d1", "version": "v1", "slots": 100,
		"state": "ready", "coldRemainingMs": remains.Milliseconds(), "sequence": 1, "born": time.Now().UnixNano(),
	})
}

func (f *coldFleet) waitAnswer(g *gatewayProcess) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if f.send(g) {
			return poll.Success()
		}
		return poll.Continue("%s does not answer", g.name)
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(20*time.Millisecond))
}

// send sends a request to a gateway and reports whether an answer came.
func (f *coldFleet) send(g *gatewayProcess) bool {
	id := fmt.Sprintf("%s.%d", g.name, f.requests.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 2*coldDeadline)
	defer cancel()
	// Without GetBody the client cannot send the request a second time by itself.
	body := io.NopCloser(strings.NewReader(id))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+"/submit/", body)
	if err != nil {
		return false
	}
	request.Host = "app.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Credential", "key-1")
	request.Header.Set("Deadline-Ms", fmt.Sprint(coldDeadline.Milliseconds()))
	answer, err := f.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err == nil && answer.StatusCode == http.StatusOK {
		f.served.Add(1)
	}
	return true
}

// run lets callers press while faults are injected, and checks what the targets got.
func (f *coldFleet) run(faults []fault) {
	ctx, cancel := context.WithTimeout(f.t.Context(), coldRun)
	defer cancel()
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	var running sync.WaitGroup
	running.Go(func() { f.press(ctx, random, &running) })
	for _, fault := range faults {
		running.Go(fault.inject)
	}
	running.Wait()
	f.check()
}

// press sends requests to all gateways at the same moments until ctx ends: one or a few to
// each, at times many.
func (f *coldFleet) press(ctx context.Context, random *rand.Rand, running *sync.WaitGroup) {
	for ctx.Err() == nil {
		count := 1 + random.IntN(3)
		if random.IntN(6) == 0 {
			count = 30
		}
		for _, g := range f.all() {
			for range count {
				running.Go(func() { f.send(g) })
			}
		}
		select {
		case <-time.After(time.Duration(50+random.IntN(200)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// coldArrival is a request that reached a cold target.
type coldArrival struct {
	id            string
	sent, arrived time.Time
}

// arrivals returns what a target got, by time of arrival.
func (f *coldFleet) arrivals(target *coldTarget) []coldArrival {
	var list []coldArrival
	for _, a := range target.Arrivals() {
		id := a.Header.Get("Attempt-Id")
		sent, found := target.times.of(id)
		assert.Assert(f.t, found, "%s: time of sending to %s is not known", id, target.ID)
		list = append(list, coldArrival{id, sent, a.At})
	}
	slices.SortFunc(list, func(a, b coldArrival) int { return a.arrived.Compare(b.arrived) })
	return list
}

// mostInASecond returns the largest set of requests that were sent and arrived within the
// same second.
func mostInASecond(arrivals []coldArrival) []coldArrival {
	var most []coldArrival
	for i, last := range arrivals {
		var within []coldArrival
		for _, a := range arrivals[:i+1] {
			if last.arrived.Sub(a.sent) < time.Second {
				within = append(within, a)
			}
		}
		if len(within) > len(most) {
			most = within
		}
	}
	return most
}

func (f *coldFleet) check() {
	assert.Check(f.t, f.served.Load() > 0, "no request was served")
	for _, target := range f.targets {
		arrivals := f.arrivals(target)
		most := mostInASecond(arrivals)
		f.t.Logf("%s: %d requests, at most %d in a second", target.ID, len(arrivals), len(most))
		if !assert.Check(f.t, len(most) <= coldBound, "%s got %d requests in a second, allowed %d", target.ID, len(most), coldBound) {
			for _, a := range most {
				f.t.Logf("%s sent %s, arrived %s", a.id, a.sent.Format(time.StampMicro), a.arrived.Format(time.StampMicro))
			}
		}
	}
	f.t.Logf("%d requests, %d served", f.requests.Load(), f.served.Load())
}
