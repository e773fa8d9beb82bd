package callerhttp

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"time"
)

// initialBody is the memory taken for a body before any of it has come.
const initialBody = 8 << 10

// readBody reads a request's body within the bounds of size and time.
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
	body := bytes.NewBuffer(make([]byte, 0, min(length+bytes.MinRead, initialBody)))
	if _, err := body.ReadFrom(http.MaxBytesReader(x.w, x.r.Body, h.bounds.BodyBytes)); err != nil {
		return nil, bodyFailure(err)
	}
	// The server watches for the caller going away with the same deadline.
	_ = control.SetReadDeadline(time.Time{})
	return body.Bytes(), nil
}

// reserve counts a body in, if the bound of all bodies allows it. The exchange
// counts it out when it ends.
func (h *handler) reserve(x *exchange, length int64) bool {
	if h.bodies.Add(length) > h.bounds.BodiesBytes {
		h.bodies.Add(-length)
		return false
	}
	x.reserved = length
	return true
}

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
