//go:build scenarios

package scenarios

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/platform"
	"quetzalbend/platform/platformtest"
)

var (
	soakSeeds = flag.Int("soak-seeds", 0, "further seeds of the soak, beside those that are kept")
	soakFirst = flag.Uint64("soak-first", uint64(time.Now().UnixNano()), "first of these seeds")
)

// keptSeeds are always run. A comment gives the fault that a seed has found.
var keptSeeds = []uint64{
	1,   // a gateway whose UDP port was taken answered 503 for good
	107, // the same fault
	2,
}

// Sizes and times of a run.
const (
	soakGateways  = 4
	soakTargets   = 4
	soakCallers   = 12
	soakFaults    = 14
	soakCrashes   = 3                       // of targets
	soakNotices   = 2                       // returns of the store from a copy, and targets that ask for rest
	soakRest      = "0.6"                   // seconds of rest
	soakDowntime  = 500 * time.Millisecond  // of a crashed target
	soakFaultTime = 5 * time.Second         // in which all faults begin and end
	soakMaxFault  = 2 * time.Second         // longest duration of a fault
	soakRecovery  = 4 * time.Second         // from the last fault until every gateway must serve
	soakGrace     = 2 * time.Second         // grace period of a gateway that is told to stop
	soakDeadline  = 2 * time.Second         // deadline of a request
	soakSlack     = 1500 * time.Millisecond // by which an answer may exceed the deadline
	soakPause     = 25 * time.Millisecond   // of a caller between two requests
	soakEvents    = 8
	soakEventGap  = 20 * time.Millisecond
)

// TestSoak runs gateway processes, injects random faults and compares what
// callers got with what targets ran.
func TestSoak(t *testing.T) {
	seeds := keptSeeds
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoak(t, seed)
			s.run()
		})
	}
}

// soak is the run of one seed.
type soak struct {
	*gatewayFleet
	seed        uint64
	random      *rand.Rand
	targets     []*platformtest.Target
	targetLinks []*soakLink // by target

	mu       sync.Mutex
	outcomes []outcome
}

// outcome is a request and what its caller got.
type outcome struct {
	id, path      string
	gateway       *gatewayProcess
	started       time.Time
	took          time.Duration
	status        int
	body          string
	err           error
	processFaulty bool // the gateway's process had a fault during the request
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		gatewayFleet: newGatewayFleet(t, fmt.Sprint("soak-", seed)),
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 0)),
	}
	s.putSettings(1)
	for i := range soakTargets {
		target := platformtest.NewTarget(t, fmt.Sprint("i-", i))
		target.Events, target.EventGap = soakEvents, soakEventGap
		target.CrashOn("", soakDowntime, nil)
		s.targets = append(s.targets, target)
		s.targetLinks = append(s.targetLinks, newSoakLink(t, target.Address()))
		s.putTarget(i, "ready")
	}
	for i := range soakGateways {
		s.addGateway(i)
	}
	for _, g := range s.gateways {
		s.waitServed(g, "/read/")
	}
	return s
}

func (s *soak) putTarget(i int, state string) {
	s.store.PutJSON(s.t, platform.TopicTargets, s.targets[i].ID, map[string]any{
		"service": "app", "address": s.targetLinks[i].listenAddress(), "zone": fmt.Sprint("d", i%2+1), "version": "v1", "slots": 100,
		"state": state, "coldRemainingMs": 0, "sequence": time.Now().UnixNano(), "born": 1,
	})
}

// putSettings writes a version of the settings. Only that version has the route
// /v<version>/.
func (s *soak) putSettings(version int) {
	route := func(prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "host": "app.example", "pathPrefix": prefix, "kind": kind,
			"timeoutMs": 5000, "targetLatencyMs": 400, "priority": 1, "service": "app", "maxAttempts": attempts,
			"streamResume": kind == "streaming", "gapAimMs": 120,
		}
	}
	s.store.PutJSON(s.t, platform.TopicSettings, platform.KeySettings, map[string]any{
		"version": version,
		"routes": []any{
			route("/once/", "non_idempotent", 1), route("/once-twice/", "non_idempotent", 2),
			route("/read/", "idempotent", 2), route("/stream/", "streaming", 2),
			route(versionPath(version), "idempotent", 2),
		},
		"services": []any{map[string]any{"name": "app", "maxConnections": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "account-1", "apiKeys": []string{"key-1"}, "priority": 1}},
	})
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

func (s *soak) addGateway(i int) {
	s.add(fmt.Sprint("d", i%2+1), map[string]string{
		"contractParams.graceS": fmt.Sprint(soakGrace.Seconds()), "contractParams.retrySlack": "1000",
	})
}

// run injects the faults while callers send requests. Afterwards every gateway
// must serve all paths again, and must use the changed settings and targets.
func (s *soak) run() {
	ctx, cancel := context.WithCancel(s.t.Context())
	var callers, faults sync.WaitGroup
	for i := range soakCallers {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		callers.Go(func() { s.call(ctx, i, random) })
	}
	for range soakFaults {
		f := s.drawFault()
		faults.Go(func() { f.inject() })
	}
	// Drawn apart, so that the other faults of a seed stay what they were.
	crashes := rand.New(rand.NewPCG(s.seed, 1))
	for range soakCrashes {
		f := s.drawCrash(crashes)
		faults.Go(func() { f.inject() })
	}
	notices := rand.New(rand.NewPCG(s.seed, 2))
	for range soakNotices {
		for _, f := range []fault{s.drawRestore(notices), s.drawRest(notices)} {
			faults.Go(func() { f.inject() })
		}
	}
	faults.Wait()
	s.putSettings(100)
	s.putTarget(0, "draining")
	time.Sleep(soakRecovery)
	drained := len(s.targets[0].Arrivals())
	for _, g := range s.gateways {
		for _, path := range []string{"/once/", "/read/", "/stream/", versionPath(100)} {
			s.waitServed(g, path)
		}
	}
	cancel()
	callers.Wait()
	assert.Check(s.t, len(s.targets[0].Arrivals()) == drained, "a draining target got requests")
	s.check()
}

// waitServed waits until a gateway serves a path. The first request should
// succeed, unless a target still has queued misbehavior.
func (s *soak) waitServed(g *gatewayProcess, path string) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		got := s.send(s.t.Context(), g, path, fmt.Sprintf("check-%s-%s-%d", g.name, path, time.Now().UnixNano()), http.DefaultClient)
		if got.err == nil && got.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("%s answers %s with %d, %v", g.name, path, got.status, got.err)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
}

var soakPaths = []string{"/once/", "/once-twice/", "/read/", "/stream/"}

// call sends requests one after the other. Half of the callers reuse their
// connections.
func (s *soak) call(ctx context.Context, caller int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: caller%2 == 0, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		g := s.gateways[random.IntN(len(s.gateways))]
		path := soakPaths[random.IntN(len(soakPaths))]
		got := s.send(context.WithoutCancel(ctx), g, path, fmt.Sprintf("%d-%d-%d", s.seed, caller, n), client)
		s.mu.Lock()
		s.outcomes = append(s.outcomes, got)
		s.mu.Unlock()
		time.Sleep(soakPause)
	}
}

func (s *soak) send(ctx context.Context, g *gatewayProcess, path, id string, client *http.Client) outcome {
	got := outcome{id: id, path: path, gateway: g, started: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, 2*soakDeadline+soakSlack)
	defer cancel()
	// Without GetBody the client cannot send the request a second time by itself.
	body := io.NopCloser(strings.NewReader(id))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+path, body)
	if err != nil {
		got.err = err
		return got
	}
	request.Host = "app.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Credential", "key-1")
	request.Header.Set("Deadline-Ms", fmt.Sprint(soakDeadline.Milliseconds()))
	answer, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		got.status, got.body = answer.StatusCode, string(data)
	}
	got.err, got.took = err, time.Since(got.started)
	got.processFaulty = g.hadFaultSince(got.started)
	return got
}

// check compares what callers got with what targets ran, and checks that more
// than half of the requests were served.
func (s *soak) check() {
	ran := make(map[string]int)
	for _, target := range s.targets {
		for _, arrival := range target.Arrivals() {
			if arrival.Ran {
				ran[arrival.Header.Get("Attempt-Id")]++
			}
		}
	}
	served := 0
	for _, o := range s.outcomes {
		s.checkOutcome(o, ran[o.id])
		if o.status == http.StatusOK && o.err == nil {
			served++
		}
	}
	s.t.Logf("%d requests, %d served", len(s.outcomes), served)
	assert.Check(s.t, served*2 > len(s.outcomes), "%d of %d requests served", served, len(s.outcomes))
}

func (s *soak) checkOutcome(o outcome, ran int) {
	if strings.HasPrefix(o.path, "/once") {
		assert.Check(s.t, ran <= 1, "%s %s ran %d times", o.path, o.id, ran)
		assert.Check(s.t, o.status != http.StatusServiceUnavailable || ran == 0, "%s %s was refused, but ran", o.path, o.id)
	}
	if o.err == nil && o.status == http.StatusOK {
		complete := strings.HasPrefix(o.body, "answer of i-")
		if o.path == "/stream/" {
			complete = o.body == allEvents()
		}
		assert.Check(s.t, complete, "%s %s has the answer %q", o.path, o.id, o.body)
	}
	if !o.processFaulty {
		assert.Check(s.t, o.took <= soakDeadline+soakSlack, "%s %s at %s took %s: %d, %v", o.path, o.id, o.gateway.name, o.took, o.status, o.err)
		assert.Check(s.t, o.status != 0 || o.err == nil, "%s %s at %s: %v", o.path, o.id, o.gateway.name, o.err)
	}
}

// allEvents returns the body of a complete streaming answer.
func allEvents() string {
	var events strings.Builder
	for id := 1; id <= soakEvents; id++ {
		fmt.Fprintf(&events, "id: %d\ndata: event %d\n\n", id, id)
	}
	return events.String()
}
