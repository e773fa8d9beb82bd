package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/app/load/caller"
	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/pause"
)

const tokens = 20

// maxEngineDeaths is the number of engines that one request may kill.
const maxEngineDeaths = 2

func startFleet(t *testing.T, cfg Config) *Fleet {
	t.Helper()
	log.SetLevel(log.FatalLevel)
	cfg.Domains = []string{"a", "b"}
	cfg.Entries, cfg.MaxLimit, cfg.Queue, cfg.Admission = 1, 64, 64, true
	cfg.Engine = engine.Config{Warm: true, FirstTokenMS: 5, BetweenTokensMS: 5, ColdLimit: 64, RestartMS: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f, err := Start(ctx, cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	return f
}

func (e *Engine) fault(t *testing.T, faults string) {
	t.Helper()
	response, err := http.Post(e.url+"/standin/fault", "application/json", strings.NewReader(faults))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

func (f *Fleet) draft(n int) caller.Request {
	return caller.Request{
		Kind: caller.ChatStream, Workload: Drafts, Content: fmt.Sprint("draft ", n), Tokens: tokens, Timeout: 20 * time.Second,
	}
}

// drafts sends streamed drafts at the same time, calls meanwhile and returns the
// drafts' outcomes.
func (f *Fleet) drafts(count int, meanwhile func()) []caller.Outcome {
	outcomes := make([]caller.Outcome, count)
	var sent sync.WaitGroup
	for n := range count {
		sent.Go(func() { outcomes[n] = f.entries[0].client.Send(context.Background(), f.draft(n)) })
	}
	meanwhile()
	sent.Wait()
	return outcomes
}

func assertComplete(t *testing.T, outcomes []caller.Outcome) {
	t.Helper()
	for n, outcome := range outcomes {
		assert.Assert(t, outcome.Complete, "draft %d: %v", n, outcome.Err)
		assert.Equal(t, outcome.Text, engine.Text(fmt.Sprint("draft ", n), tokens), "draft %d", n)
	}
}

func (f *Fleet) running() int {
	sum := 0
	for _, e := range f.Engines {
		truth := e.Truth()
		sum += truth.Requests - truth.Finished - truth.Cancelled
	}
	return sum
}

// eventually waits until the condition holds, and fails the test after a timeout.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for !holds() {
		if !pause.For(ctx, time.Millisecond) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

func TestStreamsThatBreakAreResumedElsewhere(t *testing.T) {
	f := startFleet(t, Config{Engines: 2})
	for _, e := range f.Engines {
		e.fault(t, `{"break_after":7}`)
	}
	assertComplete(t, f.drafts(20, func() {}))
}

func TestKilledDomainLosesNoStream(t *testing.T) {
	f := startFleet(t, Config{Engines: 2})
	outcomes := f.drafts(30, func() {
		eventually(t, "drafts run", func() bool { return f.running() >= 20 })
		assert.NilError(t, f.InjectFault("b", Killed))
	})
	assertComplete(t, outcomes)
}

func TestDomainThatIsOutReceivesNoNewRequests(t *testing.T) {
	f := startFleet(t, Config{Engines: 1})
	assertComplete(t, f.drafts(4, func() {}))
	_, err := f.SetDomain(context.Background(), "a", schema.Out)
	assert.NilError(t, err)
	assert.NilError(t, f.settings.awaitInForce(context.Background()))
	before := f.Engines[0].Truth().Requests
	assertComplete(t, f.drafts(10, func() {}))
	assert.Equal(t, f.Engines[0].Truth().Requests, before)
	assert.Equal(t, f.Engines[0].Domain, "a")
}

func TestRequestThatKillsEnginesKillsFewAndFailsNoOthers(t *testing.T) {
	f := startFleet(t, Config{Engines: 3})
	for _, e := range f.Engines {
		e.fault(t, `{"die_on":"poison"}`)
	}
	poison := f.draft(0)
	poison.Content = "poison"
	others := f.drafts(30, func() {
		for range 5 {
			outcome := f.entries[0].client.Send(context.Background(), poison)
			assert.Assert(t, !outcome.Complete)
		}
	})
	died := 0
	for _, e := range f.Engines {
		died += e.Truth().Died
	}
	assert.Assert(t, died <= maxEngineDeaths, "%d engines died", died)
	assertComplete(t, others)
	outcome := f.entries[0].client.Send(context.Background(), poison)
	assert.Equal(t, outcome.Code, "request_kills_targets")
	assert.Equal(t, outcome.Ran, caller.RanNo)
}

func TestCallerDisconnectCancelsAtTheEngine(t *testing.T) {
	f := startFleet(t, Config{Engines: 1})
	for _, e := range f.Engines {
		e.fault(t, `{"stall":true}`)
	}
	cancelled := func() int { return f.Engines[0].Truth().Cancelled + f.Engines[1].Truth().Cancelled }

	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.entries[0].client.Send(ctx, f.draft(0))
		close(done)
	}()
	eventually(t, "the draft runs", func() bool { return f.running() == 1 })
	disconnect()
	<-done
	eventually(t, "the engine cancels", func() bool { return cancelled() == 1 && f.running() == 0 })
}

func TestConfirmationsRunAtMostOnceWhileADomainDies(t *testing.T) {
	f := startFleet(t, Config{Engines: 1, Services: 2})
	const keys = 60
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answered := make([]bool, keys)
	var sent sync.WaitGroup
	for n := range keys {
		request := caller.Request{Kind: caller.Confirm, Service: ServiceName, Path: "/confirm", Key: fmt.Sprint("key-", n), Timeout: 5 * time.Second}
		sent.Go(func() {
			outcome, _ := caller.SendWithRetries(ctx, []*caller.Client{f.entries[0].client}, request)
			answered[n] = outcome.Complete
		})
		sent.Go(func() { // the caller sends the same key a second time
			_, _ = caller.SendWithRetries(ctx, []*caller.Client{f.entries[1].client, f.entries[0].client}, request)
		})
		if n == keys/2 {
			assert.NilError(t, f.InjectFault("b", Killed))
		}
	}
	sent.Wait()
	runs := make(map[string]int)
	for _, s := range f.Services {
		for key, count := range s.Truth().Runs {
			runs[key] += count
		}
	}
	complete := 0
	for n := range keys {
		if answered[n] {
			complete++
		}
		key := fmt.Sprint("key-", n)
		assert.Assert(t, runs[key] <= 1, "%s ran %d times", key, runs[key])
		assert.Assert(t, !answered[n] || runs[key] == 1, "%s was answered and did not run", key)
	}
	assert.Assert(t, complete >= keys/2, "%d answered", complete)
}
