package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/wire"
)

// queryOutcome determines the outcome of a call that may not be repeated and whose
// connection broke. It queries the agents of the service, starting with the one that
// received the call, until one knows the outcome or the deadline passes. If it
// returns neither an answer nor a failure, no agent knows of a run: the call may
// then be sent to another agent under the same key, as if the caller had repeated
// it.
func (r *run) queryOutcome(ctx context.Context) (*Answer, *Failure) {
	r.d.cfg.Counter.Count(OutcomesAsked)
	others := without(r.table.ForKey(r.req.name(), r.routingKey()), r.last)
	order := append([]*routing.Member{r.last}, others...)
	if r.silent {
		order = others
	}
	start := r.d.cfg.Now()
	for {
		outcome, agent := r.queryAgents(ctx, order)
		if outcome != nil && r.isFinal(outcome, start) {
			return r.resolve(outcome, agent)
		}
		if !pause.For(ctx, r.d.cfg.QueryInterval) {
			return nil, &Failure{Code: CodeOutcomeUnknown, Ran: wire.Ran_RAN_UNKNOWN, TargetName: r.last.Target.Name, Cause: ctx.Err()}
		}
		order = append(slices.Clone(others), r.last)
	}
}

// isFinal reports whether an outcome will not change. An unknown one may change
// until UnknownTimeout has passed: the other agents may not have read yet what the
// agent wrote about the call.
func (r *run) isFinal(outcome *wire.Outcome, start time.Time) bool {
	switch {
	case outcome.GetRunning():
		return false
	case outcome.GetRan() == wire.Ran_RAN_UNKNOWN && outcome.GetHead() == nil:
		return r.d.cfg.Now().Sub(start) >= r.d.cfg.UnknownTimeout
	}
	return true
}

func without(members []*routing.Member, excluded *routing.Member) []*routing.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *routing.Member) bool {
		return m.Target.Name == excluded.Target.Name
	})
}

// resolve converts a final outcome to an answer or a failure, or to neither if no
// agent knows of a run.
func (r *run) resolve(outcome *wire.Outcome, agent *routing.Member) (*Answer, *Failure) {
	if head := outcome.GetHead(); head != nil {
		status := int(head.GetStatus())
		if status == 0 {
			status = http.StatusOK
		}
		return &Answer{
			Status:   status,
			Headers:  head.GetHeaders(),
			Body:     outcome.GetBody(),
			Unframed: head.GetUnframed(),
			Replayed: true,
			Target:   agent.Target.Name,
			Attempts: r.attempts,
		}, nil
	}
	switch outcome.GetRan() {
	case wire.Ran_RAN_YES:
		return nil, &Failure{Code: CodeAnswerLost, Ran: wire.Ran_RAN_YES, TargetName: agent.Target.Name}
	case wire.Ran_RAN_NO:
		return nil, &Failure{Code: CodeUnreachable, Ran: wire.Ran_RAN_NO, TargetName: agent.Target.Name}
	case wire.Ran_RAN_UNKNOWN:
	}
	return nil, nil
}

// queryAgents queries the agents in order and returns the first outcome and the agent
// that gave it.
func (r *run) queryAgents(ctx context.Context, order []*routing.Member) (*wire.Outcome, *routing.Member) {
	for _, member := range order {
		outcome, err := r.queryAgent(ctx, member)
		if err == nil {
			return outcome, member
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, nil
}

func (r *run) queryAgent(ctx context.Context, member *routing.Member) (*wire.Outcome, error) {
	stream, err := r.d.cfg.Links.Open(ctx, member.Target.Agent, &wire.Open{Purpose: &wire.Open_Ask{Ask: &wire.AskOutcome{
		Service:        r.req.Service.Service,
		IdempotencyKey: r.req.Service.IdempotencyKey,
		Account:        r.req.Account,
		RequestId:      r.req.ID,
	}}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(r.d.cfg.Now().Add(r.d.cfg.FirstFrameTimeout))
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	outcome := &wire.Outcome{}
	if err := stream.Receive(outcome); err != nil {
		return nil, err
	}
	return outcome, nil
}
