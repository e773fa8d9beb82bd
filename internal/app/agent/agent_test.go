package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/wire"
)

const wholeStream = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n" +
	`data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// fakeEngine serves an engine that answers completions with the handler answer and
// always reports that it is idle and warm. It returns the base URL.
func fakeEngine(t testing.TB, answer http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", answer)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"incarnation":"e1"}`)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// runAgent starts an agent and returns it with a function that shuts it down and
// waits until it has ended.
func runAgent(t *testing.T, config Config) (*Agent, func() error) {
	t.Helper()
	config.Name = "t1"
	config.FailureDomain = "a"
	config.Listen = freeAddress(t)
	config.HTTPListen = freeAddress(t)
	assert.Assert(t, !check.Failed(Check(&config)))
	agent, err := New(config)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(ctx) }()
	stop := func() error {
		cancel()
		err := <-ended
		ended <- err
		return err
	}
	t.Cleanup(func() { _ = stop() })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + config.HTTPListen + "/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return poll.Continue("status %d", response.StatusCode)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	return agent, stop
}

func openCall(t *testing.T, agent *Agent, call *wire.Call) *link.Stream {
	t.Helper()
	pool := link.NewPool(link.Config{})
	t.Cleanup(func() { _ = pool.Close() })
	open := &wire.Open{Purpose: &wire.Open_Call{Call: call}}
	stream, err := pool.Open(context.Background(), agent.config.Listen, open)
	assert.NilError(t, err)
	return stream
}

// lastFrame reads an answer to its end and returns the last frame.
func lastFrame(t *testing.T, stream *link.Stream) (*wire.AnswerFrame, string) {
	t.Helper()
	body := ""
	for sequence := int64(0); ; sequence++ {
		frame := &wire.AnswerFrame{}
		assert.NilError(t, stream.Receive(frame))
		assert.Equal(t, frame.GetSequence(), sequence)
		body += string(frame.GetChunk().GetData())
		if frame.GetFinal() != nil || frame.GetFailed() != nil || frame.GetRefused() != nil {
			return frame, body
		}
	}
}

func modelCall() *wire.Call {
	model := &wire.ModelCall{Model: "m", Body: []byte(`{}`), Stream: true}
	return &wire.Call{RequestId: "r1", DeadlineMs: 10_000, Work: &wire.Call_Model{Model: model}}
}

func TestModelCallIsRelayedWhole(t *testing.T) {
	url := fakeEngine(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, wholeStream+"data: [DONE]\n\n") })
	agent, _ := runAgent(t, Config{Engine: url})
	last, body := lastFrame(t, openCall(t, agent, modelCall()))
	assert.Equal(t, body, wholeStream)
	assert.Equal(t, last.GetFinal().GetTokens(), int64(1))
	assert.Equal(t, last.GetFinal().GetBytes(), int64(len(wholeStream)))
}

func TestCancelledCallIsCancelledAtEngine(t *testing.T) {
	cancelled := make(chan struct{})
	url := fakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	agent, _ := runAgent(t, Config{Engine: url})
	stream := openCall(t, agent, modelCall())
	for frame := new(wire.AnswerFrame); frame.GetHead() == nil; {
		assert.NilError(t, stream.Receive(frame))
	}
	assert.NilError(t, stream.Send(&wire.CallerFrame{Cancel: true}))
	<-cancelled
}

func TestShutdownCancelsStreamsAfterGraceTime(t *testing.T) {
	url := fakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `data: {"choices":[{"delta":{"content":"a"}}]}`+"\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	agent, stop := runAgent(t, Config{Engine: url, GraceMS: 50})
	stream := openCall(t, agent, modelCall())
	assert.NilError(t, stream.Receive(&wire.AnswerFrame{}))
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	var position int64
	for {
		frame := &wire.AnswerFrame{}
		assert.NilError(t, stream.Receive(frame))
		if frame.GetChunk() != nil {
			position = frame.GetChunk().GetPosition()
		}
		if failed := frame.GetFailed(); failed != nil {
			assert.Equal(t, failed.GetReason(), reasonLeaving)
			break
		}
	}
	assert.Equal(t, position, int64(1))
	assert.NilError(t, <-ended)
}
