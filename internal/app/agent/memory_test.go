package agent

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/wire"
)

const floodDeadlineMS = 1500

// stalling returns a handler that sends a beginning of an answer and then nothing more
// until its caller closes. Calls to /small are answered at once.
func stalling(header http.Header, content []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // until then the server does not notice that its caller closes
		if r.URL.Path == "/small" {
			_, _ = w.Write([]byte("small"))
			return
		}
		for name, values := range header {
			w.Header()[name] = values
		}
		_, _ = w.Write(content)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// floodBed is an agent whose target stalls, and which lets all calls through at once.
func floodBed(t *testing.T, calls int, config Config) *Agent {
	t.Helper()
	agent, _ := runAgent(t, config)
	agent.gate.updateAndStart(func(c *admission.Controller, _ time.Time) {
		c.Configure(admission.Config{ColdLimit: 2 * calls, MaxLimit: 2 * calls})
	})
	return agent
}

func floodService(t *testing.T, handler http.Handler, memoryBytes int64) Config {
	log := httptest.NewServer(platform.New(platform.Config{}).Handler())
	t.Cleanup(log.Close)
	target := httptest.NewServer(handler)
	t.Cleanup(target.Close)
	return Config{Service: target.URL, ServiceName: "certs", Team: "t", Platform: log.URL, MemoryBytes: memoryBytes}
}

// startFlood makes calls at once and returns the number of those that have ended.
func startFlood(t *testing.T, agent *Agent, calls int, newCall func(id string) *wire.Call) *atomic.Int64 {
	t.Helper()
	pool := link.NewPool(link.Config{})
	t.Cleanup(func() { _ = pool.Close() })
	var ended atomic.Int64
	for i := range calls {
		call := newCall(fmt.Sprint("flood-", i))
		call.DeadlineMs = floodDeadlineMS
		go func() {
			defer ended.Add(1)
			stream, err := pool.Open(t.Context(), agent.config.Listen, &wire.Open{Purpose: &wire.Open_Call{Call: call}})
			if err != nil {
				return
			}
			defer func() { _ = stream.Close() }()
			for frame := new(wire.AnswerFrame); frame.GetFinal() == nil && frame.GetFailed() == nil && frame.GetRefused() == nil; {
				if stream.Receive(frame) != nil {
					return
				}
			}
		}()
	}
	return &ended
}

// peakHeap waits until all calls have ended and returns the most that the process has held
// meanwhile, without garbage.
func peakHeap(t *testing.T, calls int, ended *atomic.Int64) uint64 {
	t.Helper()
	var peak uint64
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var now runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapAlloc)
		if ended.Load() < int64(calls) {
			return poll.Continue("%d calls of %d have ended", ended.Load(), calls)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(20*time.Second))
	return peak
}

func TestAnswersWithoutEndStayWithinTheMemoryOfTheAgent(t *testing.T) {
	const calls, memoryBytes = 100, 256 << 20
	whole := bytes.Repeat([]byte("x"), 8<<20-64<<10)
	long := http.Header{"Content-Length": {fmt.Sprint(1 << 30)}}
	event := append([]byte("data: "), bytes.Repeat([]byte("x"), 1<<20-64<<10)...)
	serviceCalls := func(idempotent bool) func(string) *wire.Call {
		return func(id string) *wire.Call {
			call := newServiceCall(id, id)
			call.GetService().Idempotent = idempotent
			return call
		}
	}
	modelCalls := func(stream bool) func(string) *wire.Call {
		return func(id string) *wire.Call {
			call := modelCall()
			call.RequestId, call.GetModel().Stream = id, stream
			return call
		}
	}
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		engine  bool
		newCall func(id string) *wire.Call
		calls   int
		memory  int64
	}{
		"service without framing":         {stalling(nil, whole), false, serviceCalls(true), calls, memoryBytes},
		"service with a length of 1 GiB":  {stalling(long, whole), false, serviceCalls(true), calls, memoryBytes},
		"service that may not run again":  {stalling(nil, whole), false, serviceCalls(false), calls, memoryBytes},
		"engine without framing":          {stalling(nil, whole), true, modelCalls(false), calls, memoryBytes},
		"engine within an event":          {stalling(nil, event), true, modelCalls(true), 2 * calls, memoryBytes / 2},
		"engine with a length, no stream": {stalling(long, whole), true, modelCalls(false), calls, memoryBytes},
	} {
		t.Run(name, func(t *testing.T) {
			config := Config{MemoryBytes: test.memory}
			if test.engine {
				config.Engine = fakeEngine(t, test.handler)
			} else {
				config = floodService(t, test.handler, test.memory)
			}
			agent := floodBed(t, test.calls, config)
			ended := startFlood(t, agent, test.calls, test.newCall)
			peak := peakHeap(t, test.calls, ended)
			assert.Assert(t, peak < uint64(test.memory), "%d MiB are held, the agent has %d", peak>>20, test.memory>>20)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if agent.memory.Used() == 0 {
					return poll.Success()
				}
				return poll.Continue("%d bytes are still reserved", agent.memory.Used())
			}, poll.WithDelay(10*time.Millisecond))
		})
	}
}

func TestCallBeyondTheMemoryOfTheAgentIsRefusedAndNotRun(t *testing.T) {
	var ran atomic.Int64
	target := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	agent, _ := runAgent(t, floodService(t, target, minMemoryBytes))
	for _, size := range []int{minMemoryBytes / 4, 1000} {
		call := newServiceCall("r1", "")
		call.GetService().Idempotent, call.GetService().Body = true, make([]byte, size)
		last, _ := lastFrame(t, openCall(t, agent, call))
		large := size > 1000
		assert.Equal(t, last.GetRefused().GetReason() == reasonBusy, large, "%v", last)
		assert.Equal(t, ran.Load() == 0, large)
	}
}

func TestAgentServesSmallCallsWhileAnswersWithoutEndFillItsMemory(t *testing.T) {
	const calls, memoryBytes = 100, 64 << 20
	config := floodService(t, stalling(nil, bytes.Repeat([]byte("x"), 8<<20-64<<10)), memoryBytes)
	agent := floodBed(t, calls, config)
	ended := startFlood(t, agent, calls, func(id string) *wire.Call {
		call := newServiceCall(id, "")
		call.GetService().Idempotent = true
		return call
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if agent.memory.Used() > memoryBytes/4 {
			return poll.Success()
		}
		return poll.Continue("%d bytes are reserved", agent.memory.Used())
	}, poll.WithDelay(time.Millisecond))
	served := 0
	for ; ended.Load() < calls; served++ {
		call := newServiceCall("small", "")
		call.GetService().Idempotent, call.GetService().Path = true, "/small"
		last, body := lastFrame(t, openCall(t, agent, call))
		assert.Assert(t, last.GetFinal() != nil, "%v", last)
		assert.Equal(t, body, "small")
	}
	assert.Assert(t, served > 0)
}

func TestMemoryOfTheAgentIsChecked(t *testing.T) {
	config := Config{MemoryBytes: 1}
	assert.Assert(t, strings.Contains(fmt.Sprint(Check(&config)), "memory_bytes"))
	config = Config{}
	problems := Check(&config)
	assert.Assert(t, check.Failed(problems) && !strings.Contains(fmt.Sprint(problems), "memory_bytes"))
	assert.Equal(t, config.MemoryBytes, int64(1<<30))
}
