package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/wire"
)

// floodBytes is the size of an answer after which the agent of a flood stalls.
const floodBytes = 15 << 20

// useStallingAgent puts an agent in place of the system's own that begins answers without
// an end. Of a stream it sends one token, and then events without one. A request that says
// "small" is answered. At the end of the test it waits until all its calls have ended.
func (s *testSystem) useStallingAgent() {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	s.agent = listener.Addr().String()
	piece := bytes.Repeat([]byte("x"), 256<<10)
	var running sync.WaitGroup
	s.t.Cleanup(running.Wait)
	agent := link.NewServer(link.Config{}, func(_ context.Context, open *wire.Open, stream *link.Stream) {
		if call := open.GetCall(); call != nil {
			running.Add(1)
			defer running.Done()
			serveFlood(call, stream, piece)
		}
	})
	go func() { _ = agent.Serve(listener) }()
	s.t.Cleanup(func() {
		stopped, cancel := context.WithCancel(context.Background())
		cancel()
		_ = agent.Shutdown(stopped)
	})
}

func serveFlood(call *wire.Call, stream *link.Stream, piece []byte) {
	sequence := int64(0)
	send := func(frame *wire.AnswerFrame) bool {
		frame.RequestId, frame.Sequence = call.GetRequestId(), sequence
		sequence++
		return stream.Send(frame) == nil
	}
	send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Admitted{Admitted: &wire.Admitted{}}})
	send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Head{Head: &wire.Head{Status: 200}}})
	send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Chunk{Chunk: &wire.Chunk{Data: []byte("a"), Position: 1}}})
	if bytes.Contains(call.GetModel().GetBody(), []byte("small")) {
		send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Final{Final: &wire.Final{Frames: 1, Bytes: 1, Tokens: 1}}})
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = stream.Receive(&wire.CallerFrame{}) // ends when the entry cancels or closes
		_ = stream.Close()
	}()
	for sent := 0; sent < floodBytes; sent += len(piece) {
		if !send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Chunk{Chunk: &wire.Chunk{Data: piece, Position: 1}}}) {
			return
		}
	}
	<-ended
}

func floodRequest(t *testing.T, e *Entry, text string, stream bool) *http.Request {
	t.Helper()
	body := fmt.Sprintf(`{"model":"draft","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, text)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.CallersAddr()+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("X-Request-Timeout-Ms", "2500")
	return request
}

func startFlood(t *testing.T, e *Entry, calls int, stream bool) *atomic.Int64 {
	t.Helper()
	var ended atomic.Int64
	for i := range calls {
		request := floodRequest(t, e, fmt.Sprint("flood ", i), stream)
		go func() {
			defer ended.Add(1)
			response, err := http.DefaultTransport.RoundTrip(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}()
	}
	return &ended
}

func TestAnswersWithoutEndStayWithinTheMemoryOfTheEntry(t *testing.T) {
	const calls, memoryBytes = 30, 256 << 20
	for name, stream := range map[string]bool{"answer": false, "events after the last token": true} {
		t.Run(name, func(t *testing.T) {
			s := newTestSystem(t)
			s.useStallingAgent()
			s.putDefaults()
			e, _, _ := s.start("e0", func(c *Config) { c.MemoryBytes = memoryBytes })
			waitReady(t, e)
			memory.LimitHeap(memoryBytes)
			t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
			debug.FreeOSMemory()
			ended := startFlood(t, e, calls, stream)
			var peak uint64
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				peak = max(peak, now.Sys-now.HeapReleased)
				if ended.Load() < calls {
					return poll.Continue("%d calls of %d have ended", ended.Load(), calls)
				}
				return poll.Success()
			}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(30*time.Second))
			assert.Assert(t, peak < memoryBytes, "%d MiB are held, the entry has %d", peak>>20, memoryBytes>>20)
			eventually(t, "the memory is free again", func() bool { return e.memory.Used() == 0 })
		})
	}
}

func TestEntryServesOthersWhileAnswersWithoutEndFillItsMemory(t *testing.T) {
	const calls, memoryBytes = 60, 64 << 20
	s := newTestSystem(t)
	s.useStallingAgent()
	s.putDefaults()
	e, _, _ := s.start("e0", func(c *Config) { c.MemoryBytes = memoryBytes })
	waitReady(t, e)
	ended := startFlood(t, e, calls, false)
	eventually(t, "the memory is used", func() bool { return e.memory.Used() > memoryBytes/4 })
	served := 0
	for ; ended.Load() < calls; served++ {
		response, err := http.DefaultTransport.RoundTrip(floodRequest(t, e, "small", false))
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, "%s", body)
	}
	assert.Assert(t, served > 0)
}

func TestMemoryOfTheEntryIsChecked(t *testing.T) {
	config := Config{MemoryBytes: 1}
	assert.Assert(t, strings.Contains(fmt.Sprint(Check(&config)), "memory_bytes"))
	config = Config{}
	assert.Assert(t, !strings.Contains(fmt.Sprint(Check(&config)), "memory_bytes"))
	assert.Equal(t, config.MemoryBytes, int64(1<<30))
}
