package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/engine"
	"quetzalbend/internal/body"
	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/metrics"
	"quetzalbend/internal/wire"
)

// generation is one model call while it runs on the engine.
type generation struct {
	agent     *Agent
	call      *wire.Call
	out       *answerWriter
	ticket    *ticket
	end       admission.End
	started   time.Time
	lastToken time.Time // zero before the first token
	// incarnation of the engine that runs the call, empty if unknown
	incarnation string
}

// runModel runs a model call on the engine and relays its answer.
func (a *Agent) runModel(ctx context.Context, call *wire.Call, out *answerWriter) error {
	t, err := a.enter(ctx, call, out)
	if t == nil {
		return err
	}
	g := &generation{agent: a, call: call, out: out, ticket: t, end: admission.Cancelled, started: time.Now()}
	defer func() { a.gate.release(t, g.end) }()
	if err != nil {
		g.end = admission.Unused
		return err
	}
	if !a.reserveAnswer(out.holding) {
		g.end = admission.Unused
		return a.refuseForMemory(call, out)
	}
	return g.run(ctx)
}

func (g *generation) run(ctx context.Context) error {
	if err := g.out.admitted(); err != nil {
		g.end = admission.Unused
		return err
	}
	g.out.position = g.call.GetModel().GetResumePosition()
	g.incarnation = g.agent.gate.incarnation()
	completion := completionOf(g.call)
	completion.Memory = g.out.holding.answer
	completion.Sent = func() {
		g.agent.gate.updateState(func(c *admission.Controller, now time.Time) { c.Sent(now, g.ticket.request.ID) })
	}
	response, err := g.agent.engine.Complete(ctx, completion)
	if err != nil {
		return g.failed(ctx, err)
	}
	defer response.Close()
	if refusedByTarget(response.Status) {
		g.end = admission.NotSent
		return g.refuse(&wire.Refused{Reason: reasonTargetRefused, Detail: http.StatusText(response.Status)})
	}
	if named := response.Header.Get(engine.IncarnationHeader); named != "" {
		g.incarnation = named
	}
	g.agent.gate.confirm(g.ticket, g.incarnation)
	if err := g.out.head(response.Status, response.Header, response.Unframed); err != nil {
		return err
	}
	return g.relay(ctx, response)
}

func completionOf(call *wire.Call) engine.Completion {
	model := call.GetModel()
	return engine.Completion{
		RequestID:  call.GetRequestId(),
		Body:       model.GetBody(),
		Model:      model.GetModel(),
		Version:    model.GetVersion(),
		Adapter:    model.GetAdapter(),
		Priority:   call.GetPriority(),
		ResumeFrom: model.GetResumePosition(),
		Stream:     model.GetStream(),
	}
}

// refusedByTarget reports whether an HTTP status means that the target refused
// the call without running it.
func refusedByTarget(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (g *generation) refuse(refusal *wire.Refused) error {
	return g.agent.refuse(g.call, g.out, refusal)
}

func (g *generation) relay(ctx context.Context, response *engine.Answer) error {
	for {
		piece, err := response.Next()
		if errors.Is(err, io.EOF) {
			response.Close()
			g.end = admission.Finished
			g.agent.registry.Observe(metrics.Latency, metricsKey(g.call), time.Since(g.started))
			return g.out.final(false)
		}
		if err != nil {
			return g.failed(ctx, err)
		}
		if piece.Position > g.out.position {
			g.recordToken()
		}
		if err := g.send(piece); err != nil {
			return err
		}
		if !g.lastToken.IsZero() {
			g.agent.gate.updateState(func(c *admission.Controller, now time.Time) { c.AwaitingToken(now, g.ticket.request.ID) })
		}
	}
}

// send relays a piece of the answer. An event of a stream is one frame.
func (g *generation) send(piece engine.Piece) error {
	if g.call.GetModel().GetStream() {
		return g.out.chunk(piece.Data, piece.Position)
	}
	return g.out.chunks(piece.Data, piece.Position)
}

// recordToken records how long the engine took to produce a token of a stream.
func (g *generation) recordToken() {
	if !g.call.GetModel().GetStream() {
		return
	}
	now := time.Now()
	timing, elapsed := metrics.BetweenTokens, now.Sub(g.lastToken)
	if g.lastToken.IsZero() {
		timing, elapsed = metrics.FirstToken, now.Sub(g.started)
	}
	g.lastToken = now
	g.agent.registry.Observe(timing, metricsKey(g.call), elapsed)
	g.agent.gate.updateState(func(c *admission.Controller, now time.Time) {
		if timing == metrics.FirstToken {
			c.FirstToken(now, g.ticket.request.ID, elapsed)
			return
		}
		c.BetweenTokens(now, g.ticket.request.ID, elapsed)
	})
}

// failed ends the answer after an error from the engine.
func (g *generation) failed(ctx context.Context, err error) error {
	if errors.Is(err, engine.ErrBadRequest) {
		g.end = admission.Unused
		return g.refuse(&wire.Refused{Reason: reasonBadCall, Detail: err.Error()})
	}
	if errors.Is(err, engine.ErrNotSent) && ctx.Err() == nil {
		g.end = admission.NotSent
		return g.refuse(&wire.Refused{Reason: reasonUnreachable, Detail: err.Error()})
	}
	failure := &wire.Failed{Ran: wire.Ran_RAN_YES, Reason: reasonCut, Detail: err.Error()}
	if ctx.Err() != nil {
		failure.Reason = endReason(ctx)
		return g.out.failed(failure)
	}
	if errors.Is(err, body.ErrNoMemory) {
		failure.Reason = reasonNoMemory
		return g.out.failed(failure)
	}
	g.end = admission.Broken
	switch {
	case errors.Is(err, engine.ErrMalformed):
		failure.Reason = reasonMalformed
	case g.engineDied():
		failure.Reason = reasonTargetDied
		failure.TargetDied = true
	}
	return g.out.failed(failure)
}

// engineDied reports whether the engine that cut off an answer cannot be reached
// or has restarted as another incarnation than the one that ran the call.
func (g *generation) engineDied() bool {
	load, err := g.agent.engine.Load(context.Background())
	if err != nil {
		return errors.Is(err, engine.ErrNotSent)
	}
	return g.incarnation != "" && load.Incarnation != g.incarnation
}
