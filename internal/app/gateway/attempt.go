package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/unframed"
	"quetzalbend/internal/body"
	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

const (
	maxAnswerBytes     = 4 << 20  // of an answer that is not streamed
	maxAnswerHeadBytes = 16 << 10 // of a target's answer
	maxStatus          = 599
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
	expired                  // not sent, since its lent admission had expired
	doubtful                 // the answer may be cut, see isEmptyUnframed
	noMemory                 // like unknown or cut, but this gateway had no memory for the answer
)

var outcomeNames = [...]string{
	"delivered", "not_sent", "refused", "not_run", "failed", "unknown", "cut", "timed_out", "expired", "doubtful", "no_memory",
}

func (o outcome) String() string { return outcomeNames[o] }

// lost reports whether the request was sent and has neither an answer nor an error of
// the target.
func (o outcome) lost() bool { return o == unknown || o == cut || o == timedOut }

// endOf returns what the outcome of an attempt tells about its target.
func (x *exchange) endOf(o outcome) poison.End {
	switch {
	case o.lost() && x.gateway.drain.Over(), o == noMemory:
		return poison.Unknown // this process has given the attempt up
	case o == timedOut, o.lost() && x.request.Context().Err() != nil:
		return poison.Lost
	case o == unknown, o == cut, o == doubtful:
		return poison.CutOff
	}
	return poison.Whole
}

// bufferedResponse is the complete answer of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	framed bool // its end was marked
}

func (x *exchange) chooseTarget() (*sending, bool) {
	view := x.gateway.state.View()
	service := view.Settings.Services[x.service]
	if service == nil {
		return nil, false
	}
	targets := view.Targets[x.service]
	x.usableTargets = len(targets)
	now := time.Now()
	gates := x.gateway.gates(now)
	target, found := x.gateway.loads.choose(service, targets, x.tried, gates, now)
	if !found {
		return nil, false
	}
	if now.Before(target.ColdUntil) {
		x.logSentCold(target, gates.admission, now)
	}
	return x.gateway.newSending(target), true
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
	x.endRun(x.endOf(o), now)
	if o.lost() && x.gateway.drain.Over() { // it tells nothing of the target
		x.attempts++
		x.mayHaveRun = true
		return false
	}
	switch o {
	case delivered:
		x.attempts++
		x.recordComplete(now)
		x.gateway.strikes.ClearStrikes(x.fingerprint, now)
		return true
	case expired:
		x.dials++
	case notSent, refused:
		x.dials++
		x.gateway.loads.markSuspect(target.ID, now)
		if o == refused {
			x.gateway.poison.ended(target, now)
		}
	case notRun:
		x.attempts++
	case doubtful:
		x.attempts++
		x.mayHaveRun = true
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
func (x *exchange) attempt(ctx context.Context, sent *sending) outcome {
	target := sent.target
	defer x.gateway.loads.release(target.ID)
	defer sent.end()
	x.answer.SetSource(x.gateway.loads.answers(target.ID))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := newWatchdog(x, target.ID, cancel)
	defer watch.stop()

	response, err := x.gateway.transport.RoundTrip(x.targetRequest(sent.trace(ctx), target))
	if err != nil {
		x.gateway.rests.unanswered(target)
		switch {
		case !sent.connected.Load() && refusedConnection(err):
			return refused
		case !sent.connected.Load():
			return notSent
		case sent.expired.Load():
			return expired
		case x.outOfTime(watch):
			return timedOut
		}
		return unknown
	}
	defer response.Body.Close() //nolint:errcheck // only the result of reading matters
	x.run.Sign(time.Now())
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
	url.Opaque = sentPath(x.request)
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

// sentPath returns the path as the caller sent it, since net/url would encode some of its
// characters. It returns "" if the caller sent a whole URL, or a path that looks like one.
func sentPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return ""
	}
	return path
}

// receive classifies a target's answer and relays it to the caller, unless it is
// a failure after which another attempt may follow.
func (x *exchange) receive(response *http.Response, target registry.Usable, watch *watchdog) outcome {
	decoded := platform.DecodeAnswer(response.StatusCode, response.Header)
	if decoded.Leaving {
		x.gateway.state.RecordLeaving(target.ID, target.Born)
	}
	if !x.isAnswered(response.StatusCode, decoded) {
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
	return x.complete(&bufferedResponse{response.StatusCode, response.Header, content, unframed.IsFramed(response)})
}

// complete relays a complete answer to the caller, unless another attempt may give a better
// one.
func (x *exchange) complete(response *bufferedResponse) outcome {
	switch {
	case response.status >= http.StatusInternalServerError && x.route.Repeatable():
		x.keepFallback(response)
		return failed
	case response.isEmptyUnframed() && x.route.Repeatable() && !x.doubted:
		x.doubted = true
		x.keepFallback(response)
		return doubtful
	}
	x.deliver(response)
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
func (x *exchange) isAnswered(status int, answer platform.TargetAnswer) bool {
	if status < http.StatusOK || status > maxStatus {
		return false
	}
	if answer.RequestID == "" {
		return !answer.NotRun || x.caller.RequestID == ""
	}
	return answer.RequestID == x.caller.RequestID
}

// deliver sends a complete answer to the caller.
func (x *exchange) deliver(response *bufferedResponse) {
	x.startAnswer(response.status, response.header, response.framed, len(response.body))
	_, err := x.writer.Write(response.body)
	if err == nil {
		err = x.finishAnswer()
	}
	if err != nil {
		x.logOutcome("answer_not_delivered", response.status)
		return
	}
	x.observeLatency()
	x.logOutcome("answered", response.status)
}
