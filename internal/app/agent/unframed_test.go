package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/adapter/rawanswer"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/wire"
)

// receiveHead reads an answer to its end and returns its head and whether it was replayed.
func receiveHead(t *testing.T, stream *link.Stream) (head *wire.Head, replayed bool) {
	t.Helper()
	for {
		frame := &wire.AnswerFrame{}
		assert.NilError(t, stream.Receive(frame))
		if frame.GetHead() != nil {
			head = frame.GetHead()
		}
		if final := frame.GetFinal(); final != nil {
			return head, final.GetReplayed()
		}
		assert.Assert(t, frame.GetFailed() == nil && frame.GetRefused() == nil, "%v", frame)
	}
}

// An entry must learn of an answer that may be cut, also where it is replayed.
func TestAnswerThatEndsWithItsConnectionIsMarked(t *testing.T) {
	for name, unframed := range map[string]bool{"\r\n": true, "Content-Length: 4\r\n\r\n": false} {
		log := httptest.NewServer(platform.New(platform.Config{}).Handler())
		t.Cleanup(log.Close)
		target := rawanswer.NewServer(t, func(*http.Request) rawanswer.Answer {
			return rawanswer.Answer{Bytes: "HTTP/1.1 200 OK\r\n" + name + "half"}
		})
		agent, _ := runAgent(t, Config{Service: "http://" + target.Address, ServiceName: "certs", Team: "t", Platform: log.URL})
		idempotent := newServiceCall("r1", "")
		idempotent.GetService().Idempotent = true
		for i, call := range []*wire.Call{idempotent, newServiceCall("r2", "k"), newServiceCall("r3", "k")} {
			head, replayed := receiveHead(t, openCall(t, agent, call))
			assert.Equal(t, head.GetUnframed(), unframed, "call %d", i)
			assert.Equal(t, replayed, i == 2)
		}
		pool := link.NewPool(link.Config{})
		t.Cleanup(func() { _ = pool.Close() })
		stream, err := pool.Open(t.Context(), agent.config.Listen, &wire.Open{Purpose: &wire.Open_Ask{Ask: &wire.AskOutcome{
			Service: "certs", IdempotencyKey: "k", Account: "a", RequestId: "r4",
		}}})
		assert.NilError(t, err)
		outcome := &wire.Outcome{}
		assert.NilError(t, stream.Receive(outcome))
		assert.Equal(t, outcome.GetHead().GetUnframed(), unframed)
	}
}
