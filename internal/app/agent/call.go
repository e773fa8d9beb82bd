package agent

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/wire"
)

// serveCall runs one call. The call ends early if the caller cancels it or
// goes away, at its deadline, and when the grace of leaving is over.
func (a *Agent) serveCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	ctx, cancel := a.callContext(ctx, call)
	defer cancel()
	go watchCaller(stream, cancel)

	out := &answer{stream: stream, requestID: call.GetRequestId(), load: a.load}
	if err := a.run(ctx, call, out); err != nil {
		log.WithError(err).WithField("request", call.GetRequestId()).Debug("answer not delivered")
	}
}

func (a *Agent) run(ctx context.Context, call *wire.Call, out *answer) error {
	if a.refusesNewWork() {
		return out.refused(&wire.Refused{Reason: reasonLeaving})
	}
	a.running.Add(1)
	defer a.running.Add(-1)
	switch {
	case call.GetModel() != nil:
		return a.runModel(ctx, call, out)
	case call.GetService() != nil:
		return a.runService(ctx, call, out)
	default:
		return out.refused(&wire.Refused{Reason: reasonBadCall, Detail: "the call names no work"})
	}
}

// callContext joins the session's context, the agent's own and the deadline.
func (a *Agent) callContext(session context.Context, call *wire.Call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(a.work)
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

// watchCaller cancels the call once its caller asks for it or is gone.
func watchCaller(stream *link.Stream, cancel context.CancelFunc) {
	for {
		frame := &wire.CallerFrame{}
		if err := stream.Receive(frame); err != nil || frame.GetCancel() {
			cancel()
			return
		}
	}
}
