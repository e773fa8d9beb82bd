package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Figures of a site after a loss of power: callers look up a few things again and again.
const (
	startCallers    = 60
	startPause      = time.Second // of a caller between two requests
	startLookups    = 8           // things that are looked up
	startOrders     = 10          // one request in so many is no lookup
	startDeadlineMs = "1500"
	startSlots      = 6
	startWork       = 30 * time.Millisecond
	startSlowWork   = 500 * time.Millisecond // of a target that has just started
	startSlowFor    = 5 * time.Second
	startRecovery   = 12 * time.Second // from when on a quarter of the requests must be served
	startJudged     = 6 * time.Second
)

// slowTarget is a target that needs long for each request while it has just started.
type slowTarget struct {
	server    *httptest.Server
	slots     chan struct{}
	slowUntil atomic.Int64 // Unix nanoseconds
}

func newSlowTarget(t *testing.T) *slowTarget {
	target := &slowTarget{slots: make(chan struct{}, startSlots)}
	target.server = httptest.NewServer(target)
	t.Cleanup(target.server.Close)
	return target
}

func (s *slowTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	work := startWork
	if time.Now().UnixNano() < s.slowUntil.Load() {
		work = startSlowWork
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Stamp", "stamp")
	io.WriteString(w, "answer") //nolint:errcheck // the gateway may have disconnected
}

// startCount counts the requests of a part of a run.
type startCount struct{ sent, served, lookups, lookupsServed int }

func (c *startCount) add(path string, served bool) {
	lookup := strings.HasPrefix(path, "/lookup/")
	c.sent++
	if lookup {
		c.lookups++
	}
	if served {
		c.served++
	}
	if served && lookup {
		c.lookupsServed++
	}
}

// callAtStart lets callers send requests until the end, repeating a lookup that failed once
// at another gateway. It returns the counts of those sent before and from the time judged.
func callAtStart(beds []*testbed, judged, end time.Time) (early, late startCount) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	send := func(method, path string) bool {
		b := beds[rand.IntN(len(beds))]
		request := b.request(b.t.Context(), method, path, "")
		request.Header.Set("Deadline-Ms", startDeadlineMs)
		sent := time.Now()
		got := b.do(request)
		served := got.err == nil && got.status == http.StatusOK
		mu.Lock()
		defer mu.Unlock()
		count := &early
		if !sent.Before(judged) {
			count = &late
		}
		count.add(path, served)
		return served
	}
	for range startCallers {
		callers.Go(func() {
			ticker := time.NewTicker(startPause)
			defer ticker.Stop()
			for <-time.After(rand.N(startPause)); time.Now().Before(end); <-ticker.C {
				if rand.IntN(startOrders) == 0 {
					send(http.MethodPost, "/order/entry")
					continue
				}
				path := fmt.Sprint("/lookup/", rand.IntN(startLookups))
				if !send(http.MethodGet, path) {
					send(http.MethodGet, path)
				}
			}
		})
	}
	callers.Wait()
	return early, late
}

// All machines have lost power: lookups that time out at targets that have just started are
// served once these are fast again.
func TestLookupsAreServedAfterAllHaveRestartedAndTargetsWereSlow(t *testing.T) {
	targets := []*slowTarget{newSlowTarget(t), newSlowTarget(t), newSlowTarget(t)}
	first := newTestbed(t)
	first.store.PutJSON(t, "keyed.op", "config", testSettings(2,
		testRoute("/lookup/", "idempotent", object{"timeoutMs": 800, "targetLatencyMs": 150}),
		testRoute("/order/", "non_idempotent", object{"timeoutMs": 800, "targetLatencyMs": 150, "maxAttempts": 1})))
	register := func(born int) {
		for i, target := range targets {
			first.store.PutJSON(t, "keyed.servers", fmt.Sprint("i-", i), object{
				"service": "app", "address": target.server.Listener.Addr().String(), "zone": "d1", "version": "v1",
				"slots": startSlots, "state": "ready", "coldRemainingMs": 0, "sequence": born, "born": born,
			})
		}
	}
	register(1)
	served := func(beds []*testbed) {
		for _, b := range beds {
			b.wait("it serves", func() bool { return b.get("/lookup/0").status == http.StatusOK })
		}
	}
	beds := startGateways(first, 3)
	served(beds)
	before, _ := callAtStart(beds, time.Now().Add(time.Hour), time.Now().Add(2*time.Second))
	assert.Assert(t, before.served*4 >= before.sent, "before: %+v", before)

	for _, b := range beds {
		b.stop()
	}
	again := make([]*testbed, len(beds))
	for i, b := range beds {
		assert.NilError(t, <-b.ended)
		g, stop, ended := startGateway(t, b.gateway.node.Name, b.store.Address(), nil)
		again[i] = &testbed{t: t, store: b.store, gateway: g, stop: stop, ended: ended}
	}
	register(2)
	for _, b := range again {
		b.waitReady()
		b.wait("the targets are known", func() bool { return len(b.gateway.state.View().Targets["app"]) == len(targets) })
	}
	back := time.Now()
	for _, target := range targets {
		target.slowUntil.Store(back.Add(startSlowFor).UnixNano())
	}
	judged := back.Add(startRecovery)
	early, late := callAtStart(again, judged, judged.Add(startJudged))
	t.Logf("before %+v, until %s %+v, later %+v", before, startRecovery, early, late)
	assert.Assert(t, early.lookups-early.lookupsServed >= 4*startLookups, "few lookups were lost: %+v", early)
	assert.Assert(t, late.served*4 >= late.sent, "%+v", late)
	assert.Assert(t, late.lookupsServed*4 >= late.lookups, "%+v", late)
}
