package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/adapter/link"
	standin "quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/wire"
)

// sendContinuously sends calls from several callers at once until ctx ends and
// returns the count of complete answers.
func sendContinuously(ctx context.Context, t *testing.T, address string, callers int) *atomic.Int64 {
	t.Helper()
	pool := link.NewPool(link.Config{})
	t.Cleanup(func() { _ = pool.Close() })
	var completed atomic.Int64
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	for range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				stream, err := pool.Open(ctx, address, &wire.Open{Purpose: &wire.Open_Call{Call: modelCall()}})
				if err != nil {
					continue
				}
				frame := &wire.AnswerFrame{}
				for frame.GetFinal() == nil && frame.GetFailed() == nil && frame.GetRefused() == nil {
					if stream.Receive(frame) != nil {
						break
					}
				}
				if frame.GetFinal() != nil {
					completed.Add(1)
				}
				_ = stream.Close()
			}
		})
	}
	return &completed
}

func awaitCount(t *testing.T, count *atomic.Int64, minimum int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if count.Load() >= minimum {
			return poll.Success()
		}
		return poll.Continue("%d answers of %d", count.Load(), minimum)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}

func TestColdEngineIsNeverOverloaded(t *testing.T) {
	engine := standin.New(standin.Config{
		BetweenTokensMS: 1, FirstTokenMS: 2, ColdLimit: 2, ColdRequests: 8, LoadLagMS: 20, RestartMS: 100,
	})
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	config := Config{Engine: server.URL, GraceMS: 1}
	agent, stop := runAgent(t, config)
	ctx, cancel := context.WithCancel(t.Context())
	completed := sendContinuously(ctx, t, agent.config.Listen, 20)
	awaitCount(t, completed, 200)
	assert.Assert(t, engine.Truth().MaxRunning > 2, "the limit never grew")

	for range 3 { // the engine turns cold under full load, without warning
		setFault(t, server.URL, `{"cold":true}`)
		awaitCount(t, completed, completed.Load()+100)
	}
	assert.NilError(t, stop()) // a new agent starts beside the busy engine
	next, _ := runAgent(t, config)
	completedByNext := sendContinuously(ctx, t, next.config.Listen, 20)
	awaitCount(t, completedByNext, 100)
	cancel()
	truth := engine.Truth()
	assert.Assert(t, truth.MaxRunningCold <= truth.ColdLimit, "%d requests at once on a cold engine", truth.MaxRunningCold)
	assert.Equal(t, truth.FellOver, 0)
}

func setFault(t *testing.T, url, fault string) {
	t.Helper()
	response, err := http.Post(url+"/standin/fault", "application/json", strings.NewReader(fault))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

func TestStalledEngineGetsNoNewCalls(t *testing.T) {
	engine := standin.New(standin.Config{BetweenTokensMS: 10, Warm: true})
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	agent, _ := runAgent(t, Config{Engine: server.URL, GraceMS: 1})
	long := modelCall()
	long.DeadlineMs = 60_000
	long.GetModel().Body = []byte(`{"max_tokens":100000}`)
	stream := openCall(t, agent, long)
	for frame := new(wire.AnswerFrame); frame.GetChunk() == nil; {
		assert.NilError(t, stream.Receive(frame))
	}
	refusedAs := func(reason string) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			call := modelCall()
			call.DeadlineMs = 50
			last, _ := lastFrame(t, openCall(t, agent, call))
			if last.GetRefused().GetReason() == reason {
				return poll.Success()
			}
			return poll.Continue("%v", last)
		}
	}
	setFault(t, server.URL, `{"stall":true}`)
	poll.WaitOn(t, refusedAs(reasonStalled), poll.WithDelay(20*time.Millisecond))
	setFault(t, server.URL, `{"stall":false}`)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		last, _ := lastFrame(t, openCall(t, agent, modelCall()))
		if last.GetFinal() != nil {
			return poll.Success()
		}
		return poll.Continue("%v", last)
	}, poll.WithDelay(20*time.Millisecond))
}
