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

// agent plays one agent: it returns the messages that answer an Open, and the
// error with which the stream ends; nil keeps the stream open without a word.
type agent func(open *wire.Open) ([]proto.Message, error)

// fakeLinks plays the agents by address and records what they got.
type fakeLinks struct {
	mu     sync.Mutex
	agents map[string]agent
	calls  []*wire.Call
	asked  int
	sent   []proto.Message // after the Open
}

func (f *fakeLinks) Open(_ context.Context, addr string, open *wire.Open) (Stream, error) {
	play, ok := f.agents[addr]
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
	messages, end := play(open)
	return &fakeStream{links: f, messages: messages, end: end, woken: make(chan struct{}, 8)}, nil
}

func (f *fakeLinks) NotSent(err error) bool { return errors.Is(err, errNotSent) }

type fakeStream struct {
	links    *fakeLinks
	messages []proto.Message
	end      error

	mu       sync.Mutex
	deadline time.Time
	woken    chan struct{}
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
		case <-s.woken:
		case <-time.After(left):
		}
	}
}

func (s *fakeStream) SetDeadline(t time.Time) error {
	s.mu.Lock()
	s.deadline = t
	s.mu.Unlock()
	select {
	case s.woken <- struct{}{}:
	default:
	}
	return nil
}

func (s *fakeStream) Close() error { return nil }

type noCounter struct{}

func (noCounter) Count(Event) {}

func (noCounter) CountFailedAttempt(string) {}

// collect is a StreamWriter that keeps what it gets.
type collect struct{ text string }

func (c *collect) Write(data []byte) error {
	c.text += string(data)
	return nil
}

// fixture is a dispatcher over fake agents at addresses a0, a1, and so on,
// each with a target t0, t1, and so on.
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
	for i, play := range agents {
		addr := fmt.Sprintf("a%d", i)
		target := &catalog.Target{Name: fmt.Sprintf("t%d", i)}
		target.Target = schema.Target{Agent: addr, FailureDomain: "d", ColdLimit: 100}
		cat.ModelTargets[name] = append(cat.ModelTargets[name], target)
		cat.ServiceTargets[name] = append(cat.ServiceTargets[name], target)
		if play != nil {
			f.links.agents[addr] = play
		}
	}
	f.table = routing.NewTable(routing.Config{Entry: "e", FailureDomain: "d", NearSubset: 8, FarSubset: 8}, cat, routing.NewStates())
	f.dispatcher = New(Config{
		Entry:       "e",
		Links:       f.links,
		Strategy:    routing.LeastOutstanding{},
		Strikes:     f.strikes,
		Counter:     noCounter{},
		FirstFrame:  time.Second,
		Stall:       time.Second,
		Avoid:       time.Second,
		AnswerBytes: 1 << 20,
		AskInterval: time.Millisecond,
		Random:      func() uint64 { return 0 },
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
	out := &collect{}
	answer, err := f.dispatcher.Do(ctx, f.table, req, out)
	failure, _ := AsFailure(err)
	return answer, out.text, failure
}

func modelRequest(stream bool) *Request {
	return &Request{ID: "id", Team: "team", Fingerprint: "print", Model: &wire.ModelCall{Model: "thing", Stream: stream}}
}

func confirmRequest() *Request {
	call := &wire.ServiceCall{Service: "thing", IdempotencyKey: "key"}
	return &Request{ID: "id", Team: "team", Fingerprint: "print", Service: call}
}

// frames numbers the bodies of one attempt's frames.
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

// answers always gives the same messages, and then ends the stream.
func answers(bodies ...proto.Message) agent {
	return func(*wire.Open) ([]proto.Message, error) { return frames(bodies...), io.EOF }
}

// whole answers a call with the text from the resume position on, one byte a token.
func whole(text string) agent {
	return func(open *wire.Open) ([]proto.Message, error) {
		from := open.GetCall().GetModel().GetResumePosition()
		return frames(generation(text, from, int64(len(text)))...), io.EOF
	}
}

// generation returns the frames of the tokens between two positions, with a
// Final if they reach the end.
func generation(text string, from, to int64) []proto.Message {
	bodies := []proto.Message{&wire.Admitted{}, &wire.Head{Status: 200}}
	for i := from; i < to; i++ {
		bodies = append(bodies, &wire.Chunk{Data: []byte{text[i]}, Position: i + 1})
	}
	if to == int64(len(text)) {
		bodies = append(bodies, &wire.Final{Frames: to - from, Bytes: to - from, Tokens: to - from})
	}
	return bodies
}

var refuses = answers(&wire.Refused{Reason: reasonBusy, RetryAfterMs: 1500})
