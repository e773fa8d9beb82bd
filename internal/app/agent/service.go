package agent

import (
	"context"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/service"
	"quetzalbend/internal/wire"
)

const chunkSize = 256 << 10 // bytes of a service's answer in one frame

// runService runs a service call and relays its answer.
func (a *Agent) runService(ctx context.Context, call *wire.Call, out *answer) error {
	work := call.GetService()
	if a.service == nil || work.GetService() != a.config.ServiceName {
		return out.refused(&wire.Refused{Reason: reasonWrongTarget, Detail: "this agent serves another service"})
	}
	if !work.GetIdempotent() && work.GetIdempotencyKey() == "" {
		return out.refused(&wire.Refused{Reason: reasonBadCall, Detail: "a call that may not be repeated needs an idempotency key"})
	}
	if !work.GetIdempotent() {
		return a.runOnce(ctx, call, out)
	}
	if err := out.admitted(); err != nil {
		return err
	}
	response, err := a.service.Do(ctx, serviceCall(work))
	if err != nil {
		return serviceFailed(ctx, out, err)
	}
	return relayService(out, response, false)
}

func serviceCall(work *wire.ServiceCall) service.Call {
	call := service.Call{
		Method: work.GetMethod(),
		Path:   work.GetPath(),
		Header: httpHeaders(work.GetHeaders()),
		Body:   work.GetBody(),
	}
	if !work.GetIdempotent() {
		call.Key = work.GetIdempotencyKey()
	}
	return call
}

func relayService(out *answer, response service.Answer, replayed bool) error {
	if err := out.head(response.Status, response.Header); err != nil {
		return err
	}
	for body := response.Body; len(body) > 0; {
		size := min(len(body), chunkSize)
		if err := out.chunk(body[:size], 0); err != nil {
			return err
		}
		body = body[size:]
	}
	return out.final(replayed)
}

func serviceFailed(ctx context.Context, out *answer, err error) error {
	if errors.Is(err, service.ErrNotSent) {
		return out.refused(&wire.Refused{Reason: reasonUnreachable, Detail: err.Error()})
	}
	failure := &wire.Failed{Ran: wire.Ran_RAN_UNKNOWN, Reason: reasonCut, Detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason = reasonDeadline
	case ctx.Err() != nil:
		failure.Reason = reasonCancelled
	}
	return out.failed(failure)
}
