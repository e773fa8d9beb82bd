package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/body"
	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/fleetsync"
)

const (
	defaultMaxBody  = 4 << 20 // bytes
	maxBodyTimeout  = 10 * time.Minute
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
	case errors.Is(err, os.ErrDeadlineExceeded) && x.gateway.drain.Over(): // see readBodyInTime
		x.refuse(stoppingRefusal, 0)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.writer.Header().Set("Connection", "close")
		x.respond(http.StatusRequestTimeout, "body_timeout")
		return false
	case err != nil:
		x.gateway.log.Decision("request not read", eventlog.Fields{"request": x.caller.RequestID, "error": err.Error()})
		panic(http.ErrAbortHandler)
	}
	x.body = whole
	return true
}

// readBodyInTime is like readBody. A body that has not ended at the request's deadline, or when
// the drain is over, is given up.
func (x *exchange) readBodyInTime(view *fleetsync.View) bool {
	if x.request.ContentLength == 0 {
		return x.readBody(view.Settings.Limits)
	}
	control := http.NewResponseController(x.writer)
	giveUp := func(at time.Time) {
		if err := control.SetReadDeadline(at); err != nil {
			x.gateway.log.Problem("deadline of a body not set", err, eventlog.Fields{"request": x.caller.RequestID})
		}
	}
	giveUp(x.arrived.Add(x.bodyTimeout(view.Settings)))
	stop := context.AfterFunc(x.gateway.drain.Context(), func() { giveUp(time.Now()) })
	defer stop()
	return x.readBody(view.Settings.Limits)
}

// bodyTimeout returns how long a body may take: as long as the request may.
func (x *exchange) bodyTimeout(settings *fleet.Settings) time.Duration {
	route := settings.Match(hostName(x.request.Host), x.request.URL.EscapedPath())
	return min(x.maxWait(route), maxBodyTimeout)
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
