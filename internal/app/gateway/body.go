package gateway

import (
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"quetzalbend/internal/body"
	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/eventlog"
)

const (
	defaultMaxBody  = 4 << 20 // bytes
	noMemoryRefusal = "memory"
	// aheadBytes of each answer are reserved before its request is sent, so that no small
	// answer is lost for want of memory.
	aheadBytes = 16 << 10
)

// readBody reads the whole body. If that fails, it ends the request and returns
// false.
func (x *exchange) readBody(limits fleet.Limits) bool {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	from := http.MaxBytesReader(x.writer, x.request.Body, limit)
	whole, err := body.Read(from, min(x.request.ContentLength, limit+1), limit, x.memory)
	if errors.Is(err, body.ErrNoMemory) {
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
	x.body = whole
	return true
}

// reserveAnswer reserves memory for the answer of an attempt and reports whether there is
// any. What the attempt before has read is given back.
func (x *exchange) reserveAnswer() bool {
	x.answer.Release()
	reserved, allowed := x.gateway.memory.ReserveAnswer(maxAnswerHeadBytes+eventBuffer, aheadBytes)
	x.answer = reserved
	return allowed
}

// readAnswer reads the body of a target's answer that is not streamed.
func (x *exchange) readAnswer(response *http.Response) ([]byte, error) {
	from := http.MaxBytesReader(nil, response.Body, maxAnswerBytes)
	return body.Read(from, min(response.ContentLength, maxAnswerBytes+1), maxAnswerBytes, x.answer)
}

// keepFallback keeps an answer for the case that no attempt succeeds. An error does not
// replace a success.
func (x *exchange) keepFallback(answer *bufferedResponse) {
	if x.fallback != nil && x.fallback.isEmptyUnframed() {
		return
	}
	x.fallback = answer
	x.fallbackMemory, x.answer = x.answer, x.fallbackMemory
}

func (x *exchange) releaseMemory() {
	x.memory.Release()
	x.answer.Release()
	x.fallbackMemory.Release()
}
