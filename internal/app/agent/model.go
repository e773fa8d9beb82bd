package agent

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/engine"
	"quetzalbend/internal/wire"
)

// runModel runs a model call on the engine and relays its answer.
func (a *Agent) runModel(ctx context.Context, call *wire.Call, out *answer) error {
	model := call.GetModel()
	if a.engine == nil || model == nil {
		return out.refused(&wire.Refused{Reason: reasonWrongTarget, Detail: "no engine behind this agent"})
	}
	if err := out.admitted(); err != nil {
		return err
	}
	completion := engine.Completion{
		RequestID:  call.GetRequestId(),
		Body:       model.GetBody(),
		Model:      model.GetModel(),
		Version:    model.GetVersion(),
		Adapter:    model.GetAdapter(),
		Priority:   call.GetPriority(),
		ResumeFrom: model.GetResumePosition(),
		Stream:     model.GetStream(),
	}
	out.position = completion.ResumeFrom
	response, err := a.engine.Complete(ctx, completion)
	if err != nil {
		return a.modelFailed(ctx, out, err)
	}
	defer response.Close()
	if refusedByTarget(response.Status) {
		return out.refused(&wire.Refused{Reason: reasonTargetRefused, Detail: http.StatusText(response.Status)})
	}
	if err := out.head(response.Status, response.Header); err != nil {
		return err
	}
	return a.relay(ctx, response, out)
}

// refusedByTarget reports whether a status says that nothing ran.
func refusedByTarget(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (a *Agent) relay(ctx context.Context, response *engine.Answer, out *answer) error {
	for {
		piece, err := response.Next()
		if errors.Is(err, io.EOF) {
			return out.final(false)
		}
		if err != nil {
			return a.modelFailed(ctx, out, err)
		}
		if err := out.chunk(piece.Data, piece.Position); err != nil {
			return err
		}
	}
}

// modelFailed ends an answer after the engine failed it.
func (a *Agent) modelFailed(ctx context.Context, out *answer, err error) error {
	if errors.Is(err, engine.ErrNotSent) && ctx.Err() == nil {
		return out.refused(&wire.Refused{Reason: reasonUnreachable, Detail: err.Error()})
	}
	failure := &wire.Failed{Ran: wire.Ran_RAN_YES, Reason: reasonCut, Detail: err.Error()}
	switch {
	case errors.Is(context.Cause(ctx), errLeaving):
		failure.Reason = reasonLeaving
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason = reasonDeadline
	case ctx.Err() != nil:
		failure.Reason = reasonCancelled
	case errors.Is(err, engine.ErrMalformed):
		failure.Reason = reasonMalformed
	case a.engineDied():
		failure.Reason = reasonTargetDied
		failure.TargetDied = true
	}
	return out.failed(failure)
}

// engineDied asks the engine whether it is still there after it broke an answer.
func (a *Agent) engineDied() bool {
	_, err := a.engine.Load(context.Background())
	return errors.Is(err, engine.ErrNotSent)
}
