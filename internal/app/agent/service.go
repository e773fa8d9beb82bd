package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/service"
	"quetzalbend/internal/body"
	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/metrics"
	"quetzalbend/internal/wire"
)

// runService runs a service call and relays its answer.
func (a *Agent) runService(ctx context.Context, call *wire.Call, out *answerWriter) error {
	work := call.GetService()
	if work.GetService() != a.config.ServiceName {
		return a.refuse(call, out, &wire.Refused{Reason: reasonWrongTarget, Detail: "the target is of another service"})
	}
	if !work.GetIdempotent() && work.GetIdempotencyKey() == "" {
		return a.refuse(call, out, &wire.Refused{Reason: reasonBadCall, Detail: "a call that may not be repeated needs an idempotency key"})
	}
	if !work.GetIdempotent() {
		// The repeat of an earlier call needs no slot on the target.
		if result, settled := a.claims.Await(ctx, claimRequest(call)); settled {
			return a.relayResult(call, out, result)
		}
	}
	t, err := a.enter(ctx, call, out)
	if t == nil {
		return err
	}
	end := admission.Finished
	defer func() { a.gate.release(t, end) }()
	if !a.reserveAnswer(out.holding) {
		end = admission.Unused
		return a.refuseForMemory(call, out)
	}
	began := time.Now()
	defer func() { a.registry.Observe(metrics.Latency, metricsKey(call), time.Since(began)) }()
	if !work.GetIdempotent() {
		end, err = a.runOnce(ctx, call, out)
		return err
	}
	end, err = a.runIdempotent(ctx, call, out)
	return err
}

func (a *Agent) runIdempotent(ctx context.Context, call *wire.Call, out *answerWriter) (admission.End, error) {
	if err := out.admitted(); err != nil {
		return admission.Unused, err
	}
	response, err := a.service.Do(ctx, serviceCall(call.GetService(), out.holding))
	if errors.Is(err, service.ErrNotSent) {
		return admission.NotSent, a.refuse(call, out, &wire.Refused{Reason: reasonUnreachable, Detail: err.Error()})
	}
	if err != nil && ctx.Err() != nil {
		return admission.Cancelled, out.failed(&wire.Failed{Reason: endReason(ctx), Detail: err.Error()})
	}
	if errors.Is(err, body.ErrNoMemory) {
		return admission.Cancelled, out.failed(&wire.Failed{Reason: reasonNoMemory, Detail: err.Error()})
	}
	if err != nil {
		return admission.Broken, out.failed(&wire.Failed{Reason: reasonCut, Detail: err.Error()})
	}
	return admission.Finished, relayService(out, response, false)
}

func serviceCall(work *wire.ServiceCall, held *holding) service.Call {
	call := service.Call{
		Method: work.GetMethod(),
		Path:   work.GetPath(),
		Header: httpHeaders(work.GetHeaders()),
		Body:   work.GetBody(),
		Memory: held.answer,
	}
	if !work.GetIdempotent() {
		call.Key = work.GetIdempotencyKey()
	}
	return call
}

func relayService(out *answerWriter, response service.Answer, replayed bool) error {
	if err := out.head(response.Status, response.Header, response.Unframed); err != nil {
		return err
	}
	if err := out.chunks(response.Body, 0); err != nil {
		return err
	}
	return out.final(replayed)
}
