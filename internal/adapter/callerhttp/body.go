package callerhttp

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"time"
)

// initialBodyBytes is the most memory allocated for a body before any of it has
// arrived.
const initialBodyBytes = 8 << 10

// readBody reads the body of a request within the bounds on size and time. For a
// body of unknown length it reserves Bounds.BodyBytes.
func (h *handler) readBody(x *exchange) ([]byte, *failure) {
	length := x.r.ContentLength
	if length > h.bounds.BodyBytes {
		x.w.Header().Set("Connection", "close")
		return nil, refuse(CodeBodyTooLarge, "")
	}
	if length == 0 {
		return nil, nil
	}
	if length < 0 {
		length = h.bounds.BodyBytes
	}
	if !h.reserve(x, length) {
		failed := refuse(CodeBusy, "")
		failed.retryAfter = time.Second
		return nil, failed
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(h.bounds.BodyTimeout))
	defer context.AfterFunc(h.drain.Context(), func() { _ = control.SetReadDeadline(time.Now()) })()
	body := bytes.NewBuffer(make([]byte, 0, min(length+bytes.MinRead, initialBodyBytes)))
	if _, err := body.ReadFrom(http.MaxBytesReader(x.w, x.r.Body, h.bounds.BodyBytes)); err != nil {
		return nil, bodyFailure(err)
	}
	// Clear the deadline: it would also apply to the server's background read, which
	// detects that the caller has disconnected.
	_ = control.SetReadDeadline(time.Time{})
	return body.Bytes(), nil
}

// reserve adds the length of a body to the bytes held, if Bounds.BodiesBytes allows
// it. The bytes are released when the exchange ends.
func (h *handler) reserve(x *exchange, length int64) bool {
	if h.heldBodyBytes.Add(length) > h.bounds.BodiesBytes {
		h.heldBodyBytes.Add(-length)
		return false
	}
	x.reserved = length
	return true
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
