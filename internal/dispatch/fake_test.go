package dispatch

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/wire"
)

var errNotSent = errors.New("not sent")

// agent simulates one agent: it returns the messages that answer an Open and the
// error with which the stream ends. With a nil error the stream stays open without
// further messages.
type agent func(open *wire.Open) ([]proto.Message, error)

// fakeLinks connects to simulated agents by address and records what they receive.
type fakeLinks struct {
	mu     sync.Mutex
	agents map[string]agent
	calls  []*wire.Call
	asked  int
	sent   []proto.Message // after the Open
}

func (f *fakeLinks) Open(_ context.Context, addr string, open *wire.Open) (Stream, error) {
	respond, ok := f.agents[addr]
	if !ok {
		return nil, errNotSent
	}
	f.mu.Lock()
	if call := open.GetCall(); call != nil {
		f.calls = append(f.calls, proto.Clone(call).(*wire.Call))
	} else {
		f.asked++
	}
	f.mu.Unlock()
	messages, end := respond(open)
	return &fakeStream{links: f, messages: messages, end: end, wake: make(chan struct{}, 8)}, nil
}

func (f *fakeLinks) NotSent(err error) bool { return errors.Is(err, errNotSent) }

type fakeStream struct {
	links    *fakeLinks
	messages []proto.Message
	end      error

	mu       sync.Mutex
	deadline time.Time
	wake     chan struct{}
}

func (s *fakeStream) Send(m proto.Message) error {
	s.links.mu.Lock()
	defer s.links.mu.Unlock()
	s.links.sent = append(s.links.sent, m)
	return nil
}

type timeoutError struct{}

func (timeoutError) Error() string { return "timeout" }
func (timeoutError) Timeout() bool { return true }

func (s *fakeStream) Receive(m proto.Message) error {
	if len(s.messages) > 0 {
		proto.Reset(m)
		proto.Merge(m, s.messages[0])
		s.messages = s.messages[1:]
		return nil
	}
	if s.end != nil {
		return s.end
	}
	for {
		s.mu.Lock()
		left := time.Until(s.deadline)
		s.mu.Unlock()
		if left <= 0 {
			return timeoutError{}
		}
		select {
		case <-s.wake:
		case <-time.After(left):
		}
	}
}

func (s *fakeStream) SetDeadline(t time.Time) error {
	s.mu.Lock()
	s.deadline = t
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

func (s *fakeStream) Close() error { return nil }

type nopCounter struct{}

func (nopCounter) Count(Event) {}

func (nopCounter) CountFailedAttempt(string) {}

// collector is a StreamWriter that stores what is written.
type collector struct{ text string }

func (c *collector) Write(data []byte) error {
	c.text += string(data)
	return nil
}

// fixture is a dispatcher with fake agents at the addresses a0, a1, and so on, for
// the targets t0, t1, and so on.
type fixture struct {
	links      *fakeLinks
	strikes    *strike.Table
	dispatcher *Dispatcher
	table      *routing.Table
}

func newFixture(t *testing.T, agents ...agent) *fixture {
	t.Helper()
	name := catalog.TeamName{Team: "team", Name: "thing"}
	cat := &catalog.Catalog{
		ModelTargets:   map[catalog.TeamName][]*catalog.Target{},
		ServiceTargets: map[catalog.TeamName][]*catalog.Target{},
	}
	f := &fixture{links: &fakeLinks{agents: map[string]agent{}}, strikes: strike.NewTable("entry")}
	for i, respond := range agents {
		addr := fmt.Sprintf("a%d", i)
		target := &catalog.Target{Name: fmt.Sprintf("t%d", i)}
		target.Target = schema.Target{Agent: addr, FailureDomain: "d", ColdLimit: 100}
		cat.ModelTargets[name] = append(cat.ModelTargets[name], target)
		cat.ServiceTargets[name] = append(cat.ServiceTargets[name], target)
		if respond != nil {
			f.links.agents[addr] = respond
		}
	}
	f.table = routing.NewTable(routing.Config{Entry: "e", FailureDomain: "d", NearSubset: 8, FarSubset: 8}, cat, routing.NewStates())
	f.dispatcher = New(Config{
		Entry:             "e",
		Links:             f.links,
		Strategy:          routing.LeastOutstanding{},
		Strikes:           f.strikes,
		Counter:           nopCounter{},
		FirstFrameTimeout: time.Second,
		StallTimeout:      time.Second,
		AvoidPeriod:       time.Second,
		AnswerBytes:       1 << 20,
		QueryInterval:     time.Millisecond,
		Random:            func() uint64 { return 0 },
	})
	return f
}

// do runs one request within a minute.
func (f *fixture) do(req *Request) (*Answer, string, *Failure) {
	return f.doWithin(req, time.Minute)
}

func (f *fixture) doWithin(req *Request, timeout time.Duration) (*Answer, string, *Failure) {
	req.Deadline = time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	out := &collector{}
	answer, err := f.dispatcher.Do(ctx, f.table, req, out)
	failure, _ := AsFailure(err)
	return answer, out.text, failure
}

func modelRequest(stream bool) *Request {
	return &Request{ID: "id", Team: "team", Fingerprint: "print", Model: &wire.ModelCall{Model: "thing", Stream: stream}}
}

// serviceRequest returns a call that may not be repeated.
func serviceRequest() *Request {
	call := &wire.ServiceCall{Service: "thing", IdempotencyKey: "key"}
	return &Request{ID: "id", Team: "team", Fingerprint: "print", Service: call}
}

// frames wraps the bodies of one attempt in frames with sequence numbers.
func frames(bodies ...proto.Message) []proto.Message {
	var numbered []proto.Message
	for i, body := range bodies {
		frame := &wire.AnswerFrame{RequestId: "id", Sequence: int64(i)}
		switch body := body.(type) {
		case *wire.Admitted:
			frame.Body = &wire.AnswerFrame_Admitted{Admitted: body}
		case *wire.Refused:
			frame.Body = &wire.AnswerFrame_Refused{Refused: body}
		case *wire.Head:
			frame.Body = &wire.AnswerFrame_Head{Head: body}
		case *wire.Chunk:
			frame.Body = &wire.AnswerFrame_Chunk{Chunk: body}
		case *wire.Final:
			frame.Body = &wire.AnswerFrame_Final{Final: body}
		case *wire.Failed:
			frame.Body = &wire.AnswerFrame_Failed{Failed: body}
		}
		numbered = append(numbered, frame)
	}
	return numbered
}

// answersWith answers every Open with the same messages and then ends the stream.
func answersWith(bodies ...proto.Message) agent {
	return func(*wire.Open) ([]proto.Message, error) { return frames(bodies...), io.EOF }
}

// answersWhole answers a call with the text from the resume position on, one byte
// per token.
func answersWhole(text string) agent {
	return func(open *wire.Open) ([]proto.Message, error) {
		from := open.GetCall().GetModel().GetResumePosition()
		return frames(tokenBodies(text, from, int64(len(text)))...), io.EOF
	}
}

// tokenBodies returns the frame bodies for the tokens between two positions,
// including a Final if they reach the end of the text.
func tokenBodies(text string, from, to int64) []proto.Message {
	bodies := []proto.Message{&wire.Admitted{}, &wire.Head{Status: 200}}
	for i := from; i < to; i++ {
		bodies = append(bodies, &wire.Chunk{Data: []byte{text[i]}, Position: i + 1})
	}
	if to == int64(len(text)) {
		bodies = append(bodies, &wire.Final{Frames: to - from, Bytes: to - from, Tokens: to - from})
	}
	return bodies
}

var refuses = answersWith(&wire.Refused{Reason: reasonBusy, RetryAfterMs: 1500})
