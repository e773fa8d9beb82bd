package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/body"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

const (
	maxAnswerBytes     = 4 << 20  // of an answer that is not streamed
	maxAnswerHeadBytes = 16 << 10 // of a target's answer
)

// outcome is how an attempt ended.
type outcome int

const (
	delivered outcome = iota // the caller has the whole answer
	notSent                  // no connection to the target was made
	refused                  // like notSent, since nothing listens at the target's address
	notRun                   // the target did not run the request and will not
	failed                   // the target answered with an error of its own
	unknown                  // the request was sent, but its answer is missing or incomplete
	cut                      // like unknown, but events of this attempt were already relayed
	timedOut                 // like unknown, but the watchdog or the deadline ended the attempt
	noMemory                 // like unknown or cut, but this gateway had no memory for the answer
)

var outcomeNames = [...]string{"delivered", "not_sent", "refused", "not_run", "failed", "unknown", "cut", "timed_out", "no_memory"}

func (o outcome) String() string { return outcomeNames[o] }

// lost reports whether the request was sent and has neither an answer nor an error of
// the target.
func (o outcome) lost() bool { return o == unknown || o == cut || o == timedOut }

// bufferedResponse is the complete answer of a target.
type bufferedResponse struct {
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
	x.usableTargets = len(targets)
	now := time.Now()
	gates := x.gateway.gates(now)
	target, found := x.gateway.loads.choose(service, targets, x.tried, gates, now)
	if found && now.Before(target.ColdUntil) {
		x.logSentCold(target, gates.admission, now)
	}
	return target, found
}

// logSentCold logs that a cold target is sent the request, and among how many gateways its
// limit is divided.
func (x *exchange) logSentCold(target registry.Usable, limits admissionLimits, now time.Time) {
	x.gateway.log.Decision("sent to a cold target", eventlog.Fields{
		"request": x.caller.RequestID, "target": target.ID, "born": target.Born,
		"cold_ms": target.ColdUntil.Sub(now).Milliseconds(), "gateways": limits.members.Count(),
	})
}

// recordAttempt records how an attempt ended and reports whether the request is
// complete.
func (x *exchange) recordAttempt(o outcome, target registry.Usable) bool {
	x.tried[target.ID] = true
	now := time.Now()
	if o != delivered {
		x.logAttempt(o, target.ID, now)
	}
	x.recordCrashSigns(o, target, now)
	switch o {
	case delivered:
		x.attempts++
		x.recordAnswered()
		x.gateway.strikes.ClearStrikes(x.fingerprint, now)
		return true
	case notSent, refused:
		x.dials++
		x.gateway.loads.markSuspect(target.ID, now)
	case notRun:
		x.attempts++
	case unknown, cut:
		x.attempts++
		x.mayHaveRun = true
		x.gateway.loads.markSuspect(target.ID, now)
		if x.request.Context().Err() == nil {
			x.gateway.strikes.Strike(x.fingerprint, strike.ConnectionLost, now)
		}
	case failed, timedOut, noMemory:
		x.attempts++
		x.mayHaveRun = true
		x.gateway.loads.markSuspect(target.ID, now)
	}
	return false
}

// logAttempt logs how an attempt ended that did not deliver an answer. If it was lost,
// the line names the parts of the prompt.
func (x *exchange) logAttempt(o outcome, target string, now time.Time) {
	fields := eventlog.Fields{
		"request": x.caller.RequestID, "target": target, "outcome": o.String(), "blamed": x.faultyTarget,
		"ms": now.Sub(x.arrived).Milliseconds(), "last_event": x.stream.last,
	}
	if o.lost() {
		fields["shared_parts"] = x.caller.SharedParts
	}
	x.gateway.log.Decision("attempt ended", fields)
}

// attempt sends the request to one target and relays its answer. It panics if the caller
// leaves in the middle of a stream.
func (x *exchange) attempt(ctx context.Context, target registry.Usable) outcome {
	defer x.gateway.loads.release(target.ID)
	x.answer.SetSource(x.gateway.loads.answers(target.ID))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := newWatchdog(x, target.ID, cancel)
	defer watch.stop()

	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := x.gateway.transport.RoundTrip(x.targetRequest(ctx, target))
	if err != nil {
		x.gateway.rests.unanswered(target)
		switch {
		case !connected.Load() && refusedConnection(err):
			return refused
		case !connected.Load():
			return notSent
		case x.outOfTime(watch):
			return timedOut
		}
		return unknown
	}
	defer response.Body.Close() //nolint:errcheck // only the result of reading matters
	return x.receive(response, target, watch)
}

// outOfTime reports whether an attempt was ended for its time, and not by its target.
func (x *exchange) outOfTime(watch *watchdog) bool {
	return watch.fired() || !time.Now().Before(x.deadline)
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
		Header: platform.TargetHeaders(x.request.Header, platform.ForwardedHeaders{
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

// receive classifies a target's answer and relays it to the caller, unless it is
// a failure after which another attempt may follow.
func (x *exchange) receive(response *http.Response, target registry.Usable, watch *watchdog) outcome {
	decoded := platform.DecodeAnswer(response.StatusCode, response.Header)
	if decoded.Leaving {
		x.gateway.state.RecordLeaving(target.ID, target.Born)
	}
	if !x.isAnswered(decoded) {
		return unknown
	}
	x.gateway.limits.observe(target, decoded)
	x.gateway.rests.observe(target, decoded, time.Now())
	switch {
	case decoded.NotRun:
		x.faultyTarget = decoded.Faulty
		return notRun
	case response.StatusCode < http.StatusMultipleChoices && !decoded.Signed:
		return unknown
	case response.StatusCode == http.StatusOK && platform.IsStream(response.Header):
		return x.relay(response, target.ID, watch)
	case x.stream.started:
		return failed
	}
	content, err := x.readAnswer(response)
	if err != nil {
		x.gateway.log.Decision("answer broken", eventlog.Fields{"request": x.caller.RequestID, "target": target.ID, "error": err.Error()})
		return x.brokenOutcome(err, watch)
	}
	buffered := &bufferedResponse{response.StatusCode, response.Header, content}
	if response.StatusCode >= http.StatusInternalServerError && x.route.Repeatable() {
		x.keepFallback(buffered)
		return failed
	}
	x.deliver(buffered)
	return delivered
}

// brokenOutcome returns the outcome of an attempt whose answer could not be read whole.
func (x *exchange) brokenOutcome(err error, watch *watchdog) outcome {
	switch {
	case errors.Is(err, body.ErrNoMemory):
		return noMemory
	case x.outOfTime(watch):
		return timedOut
	}
	return unknown
}

// isAnswered reports whether an answer belongs to the request. Targets repeat its id. A
// rejection without it may be that of an earlier request, while the target runs this one.
func (x *exchange) isAnswered(answer platform.TargetAnswer) bool {
	if answer.RequestID == "" {
		return !answer.NotRun || x.caller.RequestID == ""
	}
	return answer.RequestID == x.caller.RequestID
}

// deliver sends a complete answer to the caller.
func (x *exchange) deliver(response *bufferedResponse) {
	header := x.writer.Header()
	platform.CallerHeaders(header, response.header)
	x.writer.WriteHeader(response.status)
	if _, err := x.writer.Write(response.body); err != nil {
		x.logOutcome("answer_not_delivered", response.status)
		return
	}
	x.observeLatency()
	x.logOutcome("answered", response.status)
}
