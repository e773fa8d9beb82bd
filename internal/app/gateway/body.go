package gateway

import (
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/eventlog"
)

const (
	defaultMaxBody   = 4 << 20 // bytes
	firstBodyBytes   = 4 << 10 // of the buffer for a body without a length
	heapOfMemory     = 0.7     // part of the memory from which the heap is collected more often
	noMemoryRefusal  = "memory"
	bodyGrowthFactor = 2
)

// errNoMemory reports that all requests together hold as much as they may.
var errNoMemory = errors.New("no memory for the body")

// readBody reads the whole body. If that fails, it ends the request and returns
// false.
func (x *exchange) readBody(limits fleet.Limits) bool {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	from := http.MaxBytesReader(x.writer, x.request.Body, limit)
	body, err := readWithin(from, min(x.request.ContentLength, limit+1), x.memory)
	if errors.Is(err, errNoMemory) {
		// The rest is read before the answer, since closing the connection on it would
		// reset it.
		x.memory.Release()
		if _, err = io.Copy(io.Discard, from); err == nil {
			x.refuse(noMemoryRefusal, shortRetryAfter)
			return false
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.respond(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded): // see readBodyBeforeStop
		x.refuse(stoppingRefusal, 0)
		return false
	case err != nil:
		x.gateway.log.Decision("request not read", eventlog.Fields{"request": x.caller.RequestID, "error": err.Error()})
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// readWithin reads all that follows into a buffer for which it reserves the memory. length
// is the number of bytes, negative if it is not known.
func readWithin(from io.Reader, length int64, reserved *memory.Reservation) ([]byte, error) {
	size := length
	if length < 0 {
		size = firstBodyBytes
	}
	if !reserved.TryGrow(size) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			more, err := nextByte(from)
			if err != nil || more == nil {
				return body, err
			}
			if !reserved.TryGrow(int64(bodyGrowthFactor*cap(body) + firstBodyBytes)) {
				return nil, errNoMemory
			}
			body = append(append(make([]byte, 0, bodyGrowthFactor*cap(body)+firstBodyBytes), body...), more...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextByte returns the next byte, nil at the end.
func nextByte(from io.Reader) ([]byte, error) {
	next := make([]byte, 1)
	_, err := io.ReadFull(from, next)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	return next, err
}
