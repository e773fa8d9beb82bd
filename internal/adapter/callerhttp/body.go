package callerhttp

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"quetzalbend/internal/body"
)

// aheadBytes of each answer are reserved before its request is sent.
const aheadBytes = 16 << 10

// boundBody sets the time in which the body of a request must come, also if it is not read: the
// server waits for the rest of it before the next request.
func (h *handler) boundBody(x *exchange) {
	if x.r.ContentLength != 0 {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(h.bounds.BodyTimeout))
	}
}

// readBody reads the body of a request within the bounds on size and time, and reserves
// memory for it and for the copy of it that is sent.
func (h *handler) readBody(x *exchange) ([]byte, *failure) {
	length := x.r.ContentLength
	if length > h.bounds.BodyBytes {
		x.w.Header().Set("Connection", "close")
		return nil, refuse(CodeBodyTooLarge, "")
	}
	if length == 0 {
		return nil, nil
	}
	control := http.NewResponseController(x.w)
	defer context.AfterFunc(h.drain.Context(), func() { _ = control.SetReadDeadline(time.Now()) })()
	from := http.MaxBytesReader(x.w, x.r.Body, h.bounds.BodyBytes)
	whole, err := body.Read(from, length, h.bounds.BodyBytes, x.memory)
	if err == nil && !x.memory.TryGrow(int64(len(whole))) {
		err = body.ErrNoMemory
	}
	if errors.Is(err, body.ErrNoMemory) {
		return nil, busy()
	}
	if err != nil {
		return nil, bodyFailure(err)
	}
	// Clear the deadline: it would also apply to the server's background read, which
	// detects that the caller has disconnected.
	_ = control.SetReadDeadline(time.Time{})
	return whole, nil
}

// reserveAnswer reserves memory for the beginning of the answer, and reports whether there
// is any.
func (h *handler) reserveAnswer(x *exchange) bool {
	reserved, allowed := h.memory.ReserveAnswer(0, aheadBytes)
	x.answer = reserved
	return allowed
}

// busy returns the failure of a request for which there is no memory.
func busy() *failure {
	failed := refuse(CodeBusy, "")
	failed.retryAfter = time.Second
	return failed
}

// bodyFailure returns the failure for an error while reading a body.
func bodyFailure(err error) *failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(CodeBodyTooLarge, "")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(CodeBodyTimeout, "")
	}
	return refuse(CodeBadRequest, "the body was cut off")
}
