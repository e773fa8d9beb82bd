package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// readBody reads a request's body within the bounds of size and time.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure) {
	limit := h.bounds.BodyBytes
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, refuse(CodeBodyTooLarge, "")
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(h.bounds.BodyTimeout))
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return nil, bodyFailure(err)
	}
	// The server watches for the caller going away with the same deadline.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func readAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
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
