package callerhttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// sseDone is the event that ends a whole stream.
var sseDone = []byte("data: [DONE]\n\n")

// sseWriter passes a stream of server-sent events on to the caller. The event
// that ends the stream is written only once the answer is known to be whole.
type sseWriter struct {
	x       *exchange
	handler *handler
	control *http.ResponseController
	started bool
	pieces  int64     // passed on; an engine sends one for each token
	first   time.Time // when the first piece was written
	last    time.Time // when the latest one was
	bounded time.Time // when the write deadline was last set
}

func newSSEWriter(x *exchange, h *handler) *sseWriter {
	return &sseWriter{x: x, handler: h, control: http.NewResponseController(x.w)}
}

// Write passes on one piece, which holds whole events.
func (s *sseWriter) Write(data []byte) error {
	data = bytes.TrimSuffix(data, sseDone)
	if len(data) == 0 {
		return nil
	}
	s.measure()
	return s.send(data)
}

func (s *sseWriter) measure() {
	now := time.Now()
	s.pieces++
	if !s.started {
		s.started = true
		s.first = now
		header := s.x.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		s.x.w.WriteHeader(http.StatusOK)
	} else {
		s.handler.recorder.BetweenTokens(s.x.account.Team, s.x.class, now.Sub(s.last))
	}
	s.last = now
}

func (s *sseWriter) send(data []byte) error {
	limit := s.handler.bounds.WriteTimeout
	if now := time.Now(); now.Sub(s.bounded) > limit/4 {
		s.bounded = now
		_ = s.control.SetWriteDeadline(now.Add(limit))
	}
	if _, err := s.x.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

// finish ends a whole stream.
func (s *sseWriter) finish() {
	if !s.started {
		s.measure()
	}
	if err := s.send(sseDone); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = s.control.SetWriteDeadline(time.Time{})
}

// fail ends a stream that is not whole: with an error event, if the caller
// still takes it, and an aborted body.
func (s *sseWriter) fail(problem Problem) {
	event, err := json.Marshal(struct {
		Error Problem `json:"error"`
	}{problem})
	if err == nil {
		_ = s.send(append(append([]byte("event: error\ndata: "), event...), "\n\n"...))
	}
	panic(http.ErrAbortHandler)
}
