package agent

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/metrics"
	"quetzalbend/internal/wire"
)

// serveCall runs one call. The call ends early if the caller cancels it or
// disconnects, at its deadline, and when the grace time of a leaving target is
// over.
func (a *Agent) serveCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	ctx, cancel := a.callContext(ctx, call)
	defer cancel()
	go watchCaller(stream, cancel)

	out := &answerWriter{stream: stream, requestID: call.GetRequestId(), load: a.load, holding: a.newHolding()}
	defer out.holding.release()
	a.outcomes.begin(call.GetRequestId())
	defer func() { a.outcomes.end(call.GetRequestId(), out.notRun) }()
	if err := a.run(ctx, call, out); err != nil {
		log.WithError(err).WithField("request", call.GetRequestId()).Debug("answer not delivered")
	}
}

func (a *Agent) run(ctx context.Context, call *wire.Call, out *answerWriter) error {
	if call.GetIncarnation() != "" && call.GetIncarnation() != a.incarnation {
		return a.refuse(call, out, &wire.Refused{Reason: reasonWrongTarget, Detail: "the agent has restarted"})
	}
	if a.refusesNewWork() {
		return a.refuse(call, out, &wire.Refused{Reason: reasonLeaving})
	}
	if !out.holding.reserveCall(call) {
		return a.refuseForMemory(call, out)
	}
	switch {
	case call.GetModel() != nil && a.engine != nil:
		return a.runModel(ctx, call, out)
	case call.GetService() != nil && a.service != nil:
		return a.runService(ctx, call, out)
	default:
		return a.refuse(call, out, &wire.Refused{Reason: reasonWrongTarget, Detail: "the target does not do such work"})
	}
}

// refuse tells the entry that the call did not run and will not.
func (a *Agent) refuse(call *wire.Call, out *answerWriter, refusal *wire.Refused) error {
	a.registry.Refused(refusal.GetReason(), metricsKey(call))
	return out.refused(refusal)
}

// enter waits until the gate lets a call through. It returns a nil ticket if the
// call was refused. If the wait exceeds noticeDelay, it sends the frame Admitted,
// which then only tells the entry that the agent has the call.
func (a *Agent) enter(ctx context.Context, call *wire.Call, out *answerWriter) (*ticket, error) {
	began := time.Now()
	var noticeErr error
	t, refusal := a.gate.enter(ctx, a.admissionRequest(ctx, call), func() { noticeErr = out.admitted() })
	a.registry.Observe(metrics.QueueTime, metricsKey(call), time.Since(began))
	if refusal != nil {
		return nil, a.refuse(call, out, refusal)
	}
	return t, noticeErr
}

// urgencyPerClass is the distance in urgency between two classes. A call's
// priority orders calls within a class.
const urgencyPerClass = 1 << 16

func (a *Agent) admissionRequest(ctx context.Context, call *wire.Call) admission.Request {
	request := admission.Request{
		Urgency: int(min(max(call.GetPriority(), 0), urgencyPerClass-1)),
		Team:    call.GetTeam(),
		Account: call.GetAccount(),
		Share:   1,
		Suspect: call.GetSuspect(),
	}
	switch schema.Class(call.GetClass()) {
	case schema.Certificate:
		request.Urgency += 2 * urgencyPerClass
	case schema.Interactive:
		request.Urgency += urgencyPerClass
	case schema.Batch:
	}
	if view := a.catalog(); view != nil && view.Teams[call.GetTeam()].Share > 0 {
		request.Share = view.Teams[call.GetTeam()].Share
	}
	request.Deadline, _ = ctx.Deadline()
	return request
}

func metricsKey(call *wire.Call) metrics.Key {
	return metrics.Key{Team: call.GetTeam(), Class: schema.Class(call.GetClass())}
}

// callContext returns a context that ends with the session, with the agent's
// work or at the call's deadline.
func (a *Agent) callContext(session context.Context, call *wire.Call) (context.Context, context.CancelFunc) {
	parent := a.work
	if call.GetModel() != nil {
		parent = a.streams.context()
	}
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(session, cancel)
	end := func() {
		stop()
		cancel()
	}
	if call.GetDeadlineMs() <= 0 {
		return ctx, end
	}
	timed, cancelTimer := context.WithTimeout(ctx, time.Duration(call.GetDeadlineMs())*time.Millisecond)
	return timed, func() {
		cancelTimer()
		end()
	}
}

// watchCaller cancels the call when its caller asks for that or disconnects.
func watchCaller(stream *link.Stream, cancel context.CancelFunc) {
	for {
		frame := &wire.CallerFrame{}
		if err := stream.Receive(frame); err != nil || frame.GetCancel() {
			cancel()
			return
		}
	}
}
