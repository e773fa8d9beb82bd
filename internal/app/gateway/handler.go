package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/fleetsync"
	"quetzalbend/platform"
)

const (
	defaultDeadline = 30 * time.Second     // of a request without a deadline header
	deadlineMargin  = 5 * time.Millisecond // by which the gateway answers before the caller's deadline
)

// exchange is the state of one caller's request in the gateway.
type exchange struct {
	gateway     *Gateway
	writer      http.ResponseWriter
	request     *http.Request
	caller      platform.Caller
	arrived     time.Time
	deadline    time.Time
	route       *fleet.Route
	account     *fleet.Account
	service     string
	body        []byte
	memory      *memory.Reservation // for the body
	fingerprint string              // identifies the request in the table of failures attributed to it, see package strike
	parts       []string            // what may crash targets: the shared parts of the prompt, and the request as a whole

	tried         map[string]bool   // targets to which an attempt was made
	attempts      int               // number of times that the request was sent to a target
	dials         int               // number of failed connections to targets
	mayHaveRun    bool              // a target may have run the request
	faultyTarget  string            // target that a rejection named as the faulty one
	usableTargets int               // number of usable targets of the service
	noTarget      bool              // no target may be sent the request now
	fallback      *bufferedResponse // error or empty answer of a target, sent if no attempt succeeds
	doubted       bool              // an answer was doubtful

	answer         *memory.Reservation // for the answer of the running attempt
	fallbackMemory *memory.Reservation

	stream streamPosition
	// endsWithConnection is set if only the end of the caller's connection ends the answer
	// that has begun.
	endsWithConnection bool
	noMemory           bool // there is no memory for an answer, so that the request was not sent
	answered           bool // a target has begun to write an answer and went on
	barred             poison.Decision
	run                *poison.Run // the running attempt
	resumed            bool        // the running attempt goes on with a stream
}

// ServeHTTP handles one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		gateway: g, writer: w, request: r,
		caller:  platform.DecodeCaller(r.Header),
		arrived: time.Now(),
		tried:   make(map[string]bool),
		memory:  g.memory.Reserve(),
		answer:  g.memory.Reserve(), fallbackMemory: g.memory.Reserve(),
	}
	defer x.releaseMemory()
	x.stream.last = x.caller.LastEvent
	view := g.state.View()
	if view == nil {
		x.refuse("settings_unknown", shortRetryAfter)
		return
	}
	if !x.readBodyInTime(view) || !x.admit(view) {
		return
	}
	x.serve()
}

// admit determines the request's route, account and service. If the request is
// not allowed, it answers the caller and returns false.
func (x *exchange) admit(view *fleetsync.View) bool {
	x.route = view.Settings.Match(hostName(x.request.Host), x.request.URL.EscapedPath())
	if x.route == nil {
		x.respond(http.StatusNotFound, "no_route")
		return false
	}
	account, known := view.Settings.Authorize(x.route, x.caller.Key)
	if !known {
		x.respond(http.StatusUnauthorized, "unknown_key")
		return false
	}
	x.setDeadline()
	if !x.endsBeforeStop() {
		x.refuse(stoppingRefusal, 0)
		return false
	}
	x.account = account
	x.service = x.route.Service(rand.Float64())
	x.fingerprint = strike.Fingerprint(account.Name+" "+x.request.Method+" "+x.request.URL.RequestURI(), x.body)
	x.parts = append(slices.Clone(x.caller.SharedParts), poison.RequestPart(x.fingerprint))
	x.gateway.requests.Inc(1)
	return true
}

func (x *exchange) setDeadline() {
	x.deadline = x.arrived.Add(x.maxWait(x.route) - deadlineMargin)
}

// maxWait returns how long the request may take on a route; nil: it has none.
func (x *exchange) maxWait(route *fleet.Route) time.Duration {
	wait := x.caller.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	if route != nil && route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return wait
}

func hostName(hostPort string) string {
	host, _, err := net.SplitHostPort(hostPort)
	if err != nil {
		return hostPort // has no port
	}
	return host
}

// context returns the context of the request's attempts. A request that may not
// be repeated continues when its caller disconnects: cancelling it would leave its
// outcome unknown.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.request.Context()
	if !x.route.Repeatable() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	stop := context.AfterFunc(x.gateway.drain.Context(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// serve makes attempts until one succeeds or no further attempt is allowed.
func (x *exchange) serve() {
	ctx, cancel := x.context()
	defer cancel()
	x.gateway.countRequest(x.service)
	if wait, allowed := x.gateway.allowStruck(x.fingerprint, time.Now()); !allowed {
		x.refuse("kills_targets", wait)
		return
	}
	x.detectDisconnect()
	if !x.gateway.callers.Take() {
		x.refuse("no_descriptors", shortRetryAfter)
		return
	}
	defer x.gateway.callers.Give()
	for x.allowAttempt() {
		if x.request.Context().Err() != nil {
			x.logOutcome("caller_left", 0)
			return
		}
		if !x.tryTarget(ctx) {
			return
		}
	}
	x.giveUp()
}

// soundPeriod is the time after an answer to a request in which strikes do not bar another
// copy of it: many copies may run at targets that are lost together.
const soundPeriod = 10 * time.Second

// allowStruck reports whether a request may be sent for all that was lost with it. A
// refused one is tried at times, by one gateway in turn, as it may be sound. If it may
// not be sent, allowStruck returns the time until a trial is possible. Requests that crash
// targets are barred by the poisonGuard, whatever allowStruck says.
func (g *Gateway) allowStruck(fingerprint string, now time.Time) (time.Duration, bool) {
	if g.strikes.VerdictFor(fingerprint, now) != strike.Refused {
		return 0, true
	}
	if g.poison.table.AnsweredSince(poison.RequestPart(fingerprint), now.Add(-soundPeriod)) {
		return 0, true
	}
	if !g.poison.tries(now.UnixNano() / int64(strike.TrialInterval)) {
		return strike.TrialInterval, false
	}
	allowed, wait := g.strikes.Try(fingerprint, now)
	return wait, allowed
}

// tryTarget makes one attempt, if the parts of the prompt allow it and a target is found.
// It reports false once the request is complete.
func (x *exchange) tryTarget(ctx context.Context) bool {
	decision := x.gateway.poison.admit(x.parts, time.Now())
	if !decision.MaySend() {
		x.barred = decision
		return true
	}
	trialEnd := poison.Whole
	if decision.Trial {
		defer func() { x.gateway.poison.endTrial(x.parts, trialEnd) }()
	}
	if !x.reserveAnswer() {
		x.noMemory = true
		return true
	}
	sent, found := x.chooseTarget()
	if !found {
		sent, found = x.borrow(ctx)
	}
	if !found {
		x.noTarget = true
		return true
	}
	x.beginRun(sent.target, decision.Blamed)
	trialEnd = poison.Lost
	defer func() { x.endRun(poison.Lost, time.Now()) }() // if the caller leaves in the middle of a stream
	outcome := x.attempt(ctx, sent)
	trialEnd = x.endOf(outcome)
	return !x.recordAttempt(outcome, sent.target)
}

// detectDisconnect waits up to disconnectWait, if the request may have been pending
// while the process was suspended, so that net/http notices a disconnected caller.
func (x *exchange) detectDisconnect() {
	if !x.gateway.suspension.recent(time.Now()) {
		return
	}
	select {
	case <-x.request.Context().Done():
	case <-time.After(disconnectWait):
	}
}

const maxDials = 4 // failed connections to targets after which the request is refused

// allowAttempt reports whether another attempt is allowed. A retry is taken from
// the gateway's share of the retry budget.
func (x *exchange) allowAttempt() bool {
	switch {
	case x.attempts >= x.route.MaxAttempts, x.dials >= maxDials, !time.Now().Before(x.deadline):
		return false
	case x.mayHaveRun && !x.route.Repeatable():
		return false
	case x.stream.anonymous:
		return false
	case x.faultyTarget != "", x.noTarget, x.noMemory, !x.barred.MaySend():
		return false
	case x.endedByStop():
		return false
	}
	return x.attempts == 0 || x.gateway.takeRetry(x.service)
}

// giveUp ends a request for which no attempt succeeded.
func (x *exchange) giveUp() {
	switch {
	case x.stream.started:
		x.logOutcome("stream_broken", http.StatusOK)
		panic(http.ErrAbortHandler)
	case x.fallback != nil:
		x.deliver(x.fallback)
	case !x.mayHaveRun:
		x.refuseNotRun()
	case x.gateway.drain.Over():
		x.respond(http.StatusGatewayTimeout, "stopped")
	case time.Now().Before(x.deadline):
		x.respond(http.StatusBadGateway, "outcome_unknown")
	default:
		x.respond(http.StatusGatewayTimeout, "deadline")
	}
}

// refuseNotRun refuses a request that no target has run.
func (x *exchange) refuseNotRun() {
	if !x.endsBeforeStop() {
		x.refuse(stoppingRefusal, 0)
		return
	}
	targets := x.gateway.state.View().Targets[x.service]
	remaining, resting := x.gateway.rests.allResting(targets, time.Now())
	if resting && x.barred.MaySend() {
		x.refuse("targets_resting", spread(remaining))
		return
	}
	x.refuse(x.refusalReason(), x.retryAfter())
}

func (x *exchange) refusalReason() string {
	switch {
	case x.barred.Verdict == poison.Refused && poison.IsRequest(x.barred.Part):
		return "kills_targets"
	case x.barred.Verdict == poison.Refused:
		return "part_kills_targets"
	case !x.barred.MaySend():
		return "part_may_kill_targets"
	case x.noMemory:
		return noMemoryRefusal
	case x.faultyTarget != "":
		return "group_broken"
	case x.attempts > 0:
		return "targets_full"
	case x.dials > 0:
		return "targets_unreachable"
	case x.usableTargets > 0:
		return admissionLimit
	}
	return "no_target"
}

// admissionLimit is the reason of a refusal where no target may be sent a request now.
const admissionLimit = "admission_limit"

const (
	shortRetryAfter = 300 * time.Millisecond
	maxStartSpread  = 300 * time.Millisecond // over which callers are spread that come back once this gateway has its shares
	// retryAfterDivisor bounds Retry-After: callers wait at most the time left
	// until their deadline, divided by it.
	retryAfterDivisor = 3
)

// retryAfter returns the time after which the caller should retry. Streams are
// refused while their group is broken or has no free slot, which lasts for
// seconds. Since a caller retries only once, the time for a stream is the longest
// that retryAfterDivisor allows.
func (x *exchange) retryAfter() time.Duration {
	if !x.barred.MaySend() {
		return x.barred.RetryAfter
	}
	longest := max(time.Until(x.deadline)/retryAfterDivisor, 0)
	starting := x.gateway.peers.startWait(time.Now())
	switch {
	case starting > 0 && x.refusalReason() == admissionLimit:
		return min(starting+rand.N(maxStartSpread), longest)
	case x.route.Kind == fleet.Stream:
		return longest
	case x.refusalReason() == admissionLimit:
		return min(x.admissionWait(), longest)
	}
	return min(shortRetryAfter, longest)
}

// admissionWait returns when a request may be sent to one of the service's targets.
func (x *exchange) admissionWait() time.Duration {
	view, now := x.gateway.state.View(), time.Now()
	service := view.Settings.Services[x.service]
	if service == nil {
		return shortRetryAfter
	}
	wait := x.gateway.loads.admissionWait(service, view.Targets[x.service], x.gateway.gates(now).admission, now)
	return max(wait, shortRetryAfter)
}

// refuse answers that the request has not run and will not.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	platform.SetRetryAfter(x.writer.Header(), retryAfter)
	x.respond(http.StatusServiceUnavailable, reason)
}

// respond sends an error answer of the gateway itself: a status and a reason.
func (x *exchange) respond(status int, reason string) {
	x.logOutcome(reason, status)
	x.gateway.countRefusal(reason)
	x.closeWhileStopping()
	header := x.writer.Header()
	header.Set("Content-Type", "text/plain")
	x.writer.WriteHeader(status)
	if _, err := io.WriteString(x.writer, reason+"\n"); err != nil {
		x.gateway.log.Decision("answer not delivered", eventlog.Fields{"request": x.caller.RequestID, "error": err.Error()})
	}
}

func (x *exchange) logOutcome(outcome string, status int) {
	fields := eventlog.Fields{
		"request": x.caller.RequestID, "outcome": outcome, "status": status,
		"attempts": x.attempts, "dials": x.dials, "ms": time.Since(x.arrived).Milliseconds(),
	}
	if view := x.gateway.state.View(); view != nil {
		fields["settings"] = view.Settings.Version
	}
	if x.route != nil {
		fields["route"] = x.route.Name
	}
	if x.stream.started {
		fields["last_event"] = x.stream.last
	}
	x.gateway.log.Decision("request ended", fields)
}
