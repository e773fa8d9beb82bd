package callerhttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// sseDone is the event that ends a complete stream.
var sseDone = []byte("data: [DONE]\n\n")

// sseWriter forwards a stream of server-sent events to the caller. It writes the
// event that ends the stream only when the answer is known to be complete.
type sseWriter struct {
	x             *exchange
	handler       *handler
	control       *http.ResponseController
	started       bool
	pieces        int64     // pieces forwarded; an engine sends one for each token
	firstAt       time.Time // when the first piece was written
	lastAt        time.Time // when the latest piece was written
	deadlineSetAt time.Time // when the write deadline was last set
}

func newSSEWriter(x *exchange, h *handler) *sseWriter {
	return &sseWriter{x: x, handler: h, control: http.NewResponseController(x.w)}
}

// Write forwards one piece, which holds complete events.
func (s *sseWriter) Write(data []byte) error {
	data = bytes.TrimSuffix(data, sseDone)
	if len(data) == 0 {
		return nil
	}
	s.recordPiece()
	return s.send(data)
}

// recordPiece records the time of a piece, and writes the header before the first.
func (s *sseWriter) recordPiece() {
	now := time.Now()
	s.pieces++
	if !s.started {
		s.started = true
		s.firstAt = now
		s.handler.closeWhileLeaving(s.x.w)
		header := s.x.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		s.x.w.WriteHeader(http.StatusOK)
	} else {
		s.handler.recorder.BetweenTokens(s.x.account.Team, s.x.class, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// send writes data and flushes it. It renews the write deadline only after a
// quarter of the timeout has passed.
func (s *sseWriter) send(data []byte) error {
	limit := s.handler.bounds.WriteTimeout
	if now := time.Now(); now.Sub(s.deadlineSetAt) > limit/4 {
		s.deadlineSetAt = now
		_ = s.control.SetWriteDeadline(now.Add(limit))
	}
	if _, err := s.x.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

// finish ends a complete stream.
func (s *sseWriter) finish() {
	if !s.started {
		s.recordPiece()
	}
	if err := s.send(sseDone); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = s.control.SetWriteDeadline(time.Time{})
}

// fail ends an incomplete stream. It tries to write an error event and then aborts
// the response, so that the body does not end properly.
func (s *sseWriter) fail(problem Problem) {
	event, err := json.Marshal(struct {
		Error Problem `json:"error"`
	}{problem})
	if err == nil {
		_ = s.send(append(append([]byte("event: error\ndata: "), event...), "\n\n"...))
	}
	panic(http.ErrAbortHandler)
}
