package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

// outcome is how an attempt ended.
type outcome int

const (
	delivered outcome = iota // the caller has the whole answer
	notSent                  // the target never saw the request
	notRun                   // the target did not run the request and will not
	failed                   // the target answered with a failure of its own
	unknown                  // the request was sent, and its answer is missing or not whole
	cut                      // as unknown, after this attempt's part of the stream had begun
	timedOut                 // as unknown, given up by this gateway
)

var outcomeNames = [...]string{"delivered", "not_sent", "not_run", "failed", "unknown", "cut", "timed_out"}

func (o outcome) String() string { return outcomeNames[o] }

// bufferedAnswer is a whole answer of a target.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (x *exchange) chooseTarget() (registry.Usable, bool) {
	view := x.gateway.state.View()
	service := view.Settings.Services[x.service]
	if service == nil {
		return registry.Usable{}, false
	}
	targets := view.Targets[x.service]
	x.known = len(targets)
	return x.gateway.loads.choose(service, targets, x.tried, x.gateway.admissionLimits(), time.Now())
}

// settle notes how an attempt ended and reports whether the request is done.
func (x *exchange) settle(o outcome, target string) bool {
	x.tried[target] = true
	now := time.Now()
	if o != delivered {
		x.gateway.log.Decision("attempt ended", eventlog.Fields{
			"request": x.caller.RequestID, "target": target, "outcome": o.String(), "blamed": x.blamed,
			"ms": now.Sub(x.arrived).Milliseconds(), "last_event": x.stream.last,
		})
	}
	switch o {
	case delivered:
		x.attempts++
		return true
	case notSent:
		x.dials++
		x.gateway.loads.suspect(target, now)
	case notRun:
		x.attempts++
	case unknown, cut:
		x.attempts++
		x.mayRun = true
		x.gateway.loads.suspect(target, now)
		if x.request.Context().Err() == nil {
			x.gateway.strikes.Strike(x.struck, strike.ConnectionLost, now)
		}
	case failed, timedOut:
		x.attempts++
		x.mayRun = true
		x.gateway.loads.suspect(target, now)
	}
	return false
}

// attempt sends the request to one target and relays its answer.
func (x *exchange) attempt(ctx context.Context, target registry.Usable) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := newWatchdog(x, target.ID, cancel)
	defer watch.stop()

	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	answer, err := x.gateway.transport.RoundTrip(x.targetRequest(ctx, target))
	if err != nil {
		switch {
		case !connected.Load():
			return notSent
		case watch.fired():
			return timedOut
		}
		return unknown
	}
	defer answer.Body.Close() //nolint:errcheck // what was read of it counts
	return x.receive(answer, target.ID, watch)
}

func (x *exchange) targetRequest(ctx context.Context, target registry.Usable) *http.Request {
	priority := x.route.Priority
	if x.account.Priority >= 0 {
		priority = x.account.Priority
	}
	url := *x.request.URL
	url.Scheme = "http"
	url.Host = target.Address
	request := &http.Request{
		Method: x.request.Method,
		URL:    &url,
		Host:   x.request.Host,
		Header: platform.TargetHeaders(x.request.Header, platform.Forward{
			TargetID:  target.ID,
			Account:   x.account.Name,
			Remaining: time.Until(x.deadline),
			Priority:  priority,
			LastEvent: x.stream.last,
		}),
	}
	if len(x.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(x.body))
		request.ContentLength = int64(len(x.body))
	}
	return request.WithContext(ctx)
}

// receive judges a target's answer and passes it on.
func (x *exchange) receive(answer *http.Response, target string, watch *watchdog) outcome {
	said := platform.DecodeAnswer(answer.StatusCode, answer.Header)
	switch {
	case said.RequestID != "" && said.RequestID != x.caller.RequestID:
		return unknown // an answer to another request
	case said.NotRun:
		x.blamed = said.Faulty
		return notRun
	case answer.StatusCode < http.StatusMultipleChoices && !said.Signed:
		return unknown
	case answer.StatusCode == http.StatusOK && platform.IsStream(answer.Header):
		return x.relay(answer, target, watch)
	case x.stream.started:
		return failed
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		if watch.fired() {
			return timedOut
		}
		return unknown
	}
	buffered := &bufferedAnswer{answer.StatusCode, answer.Header, body}
	if answer.StatusCode >= http.StatusInternalServerError && x.route.Repeatable() {
		x.fallback = buffered
		return failed
	}
	x.deliver(buffered)
	return delivered
}

// deliver passes a whole answer on to the caller.
func (x *exchange) deliver(answer *bufferedAnswer) {
	header := x.writer.Header()
	platform.CallerHeaders(header, answer.header)
	x.writer.WriteHeader(answer.status)
	if _, err := x.writer.Write(answer.body); err != nil {
		x.logOutcome("answer_not_delivered", answer.status)
		return
	}
	x.answered()
	x.logOutcome("answered", answer.status)
}
