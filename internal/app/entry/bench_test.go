package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/wire"
)

const benchTokens = 16

// BenchmarkStream measures one streamed request of 16 tokens from caller to
// agent, with caller, entry and agent in one process.
func BenchmarkStream(b *testing.B) {
	e := benchEntry(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	benchRequests(b, e, client, []byte(`{"model":"draft","stream":true,"messages":[{"role":"user","content":"hi"}]}`))
}

func benchRequests(b *testing.B, e *Entry, client *http.Client, body []byte) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, err := http.NewRequest(http.MethodPost, "http://"+e.CallersAddr()+"/v1/chat/completions", bytes.NewReader(body))
			if err != nil {
				b.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer secret")
			resp, err := client.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				b.Fatal(resp.StatusCode, err)
			}
			_ = resp.Body.Close()
		}
	})
}

func benchEntry(b *testing.B) *Entry {
	s := &testSystem{t: b, offset: -1, platform: servePlatform(b, platform.Config{})}
	s.connect()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	s.agent = listener.Addr().String()
	agent := link.NewServer(link.Config{}, agentWith(benchTokens))
	go func() { _ = agent.Serve(listener) }()
	s.putDefaults()
	e, _, _ := s.start("e0", nil)
	for get("http://"+e.OperatorsAddr()+"/readyz") != http.StatusOK {
		<-time.After(time.Millisecond)
	}
	return e
}

// agentWith returns the handler of an agent that answers each call at once with
// count tokens.
func agentWith(count int) link.Handler {
	return func(_ context.Context, open *wire.Open, stream *link.Stream) {
		call := open.GetCall()
		if call == nil {
			return
		}
		load := &wire.Load{Limit: 1000}
		frames := []*wire.AnswerFrame{
			{Body: &wire.AnswerFrame_Admitted{Admitted: &wire.Admitted{}}, Load: load},
			{Body: &wire.AnswerFrame_Head{Head: &wire.Head{Status: 200}}},
		}
		size := 0
		for i := range count {
			data := fmt.Appendf(nil, "data: {\"id\":\"%s\",\"choices\":[{\"delta\":{\"content\":\" w%d\"}}]}\n\n", call.GetRequestId(), i)
			size += len(data)
			frames = append(frames, &wire.AnswerFrame{Body: &wire.AnswerFrame_Chunk{Chunk: &wire.Chunk{Data: data, Position: int64(i + 1)}}})
		}
		final := &wire.Final{Frames: int64(count), Bytes: int64(size), Tokens: int64(count)}
		frames = append(frames, &wire.AnswerFrame{Body: &wire.AnswerFrame_Final{Final: final}, Load: load})
		for i, frame := range frames {
			frame.RequestId, frame.Sequence = call.GetRequestId(), int64(i)
			if stream.Send(frame) != nil {
				return
			}
		}
	}
}

// BenchmarkWhole measures one request that is not streamed and whose answer is one
// JSON object.
func BenchmarkWhole(b *testing.B) {
	e := benchEntry(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	benchRequests(b, e, client, []byte(`{"model":"draft","messages":[{"role":"user","content":"hi"}]}`))
}
