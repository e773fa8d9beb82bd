package dispatch

import (
	"context"
	"errors"
	"time"

	"quetzalbend/internal/core/retry"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/wire"
)

// run is one request on its way, over all its attempts.
type run struct {
	d     *Dispatcher
	table *routing.Table
	req   *Request
	out   StreamWriter

	position int64 // tokens of a streamed answer that the caller has
	started  bool  // the caller has a part of the answer
	ran      wire.Ran
	attempts int
	breaks   int
	silent   bool // the last target did not respond
	rounds   int  // waits after all targets were tried
	tried    []string
	last     *routing.Member
	refusal  *Failure // the last one of an agent
}

// step makes one attempt. Of its results one is set: the answer, an action
// other than GiveUp, or the failure.
func (r *run) step(ctx context.Context) (*Answer, retry.Action, *Failure) {
	now := r.d.cfg.Now()
	verdict := r.d.cfg.Strikes.Judge(r.req.Fingerprint, now)
	if verdict == strike.Refused {
		return nil, retry.GiveUp, r.failure(CodeCrashesTargets, nil)
	}
	member := r.pickOrWait(ctx, now)
	if member == nil {
		return nil, retry.GiveUp, r.noTarget(ctx)
	}
	r.attempts++
	r.last = member
	r.tried = append(r.tried, member.Target.Name)
	result := r.attempt(ctx, member, verdict == strike.Suspect)
	if result.answer != nil {
		if verdict == strike.Suspect {
			r.d.cfg.Strikes.Exonerate(r.req.Fingerprint, r.d.cfg.Now())
		}
		return result.answer, retry.GiveUp, nil
	}
	return r.settle(ctx, member, result)
}

// settle decides what follows an attempt that was not whole.
func (r *run) settle(ctx context.Context, member *routing.Member, result result) (*Answer, retry.Action, *Failure) {
	now := r.d.cfg.Now()
	r.learn(member, result, now)
	failure := r.failure(result.code, result.err)
	failure.RetryAfter = result.retryAfter
	if result.outcome == retry.NotRunBusy {
		r.refusal = failure
	}
	if result.callerGone || result.final {
		return nil, retry.GiveUp, failure
	}
	action := retry.Decide(retry.Attempt{
		Outcome:    result.outcome,
		Repeatable: r.req.repeatable(),
		Number:     r.attempts,
		Breaks:     r.breaks,
		Now:        now,
		Deadline:   r.req.Deadline,
	}, r.d.budget)
	if action != retry.Ask && ctx.Err() != nil {
		return nil, retry.GiveUp, r.interrupted(ctx)
	}
	return nil, action, failure
}

// learn takes in what an attempt says about the target and the request.
func (r *run) learn(member *routing.Member, result result, now time.Time) {
	r.d.cfg.Counter.CountFailedAttempt(result.code)
	switch result.outcome {
	case retry.NotSent:
		member.State.RecordFailure(now, r.d.cfg.Avoid)
		return
	case retry.NotRunBusy, retry.NotRunOther:
		if result.silent {
			member.State.RecordFailure(now, r.d.cfg.Avoid)
		}
		return
	case retry.Failed, retry.Broken, retry.Malformed:
	}
	r.breaks++
	r.silent = result.silent
	r.ran = worse(r.ran, result.ran)
	if result.silent || result.strikes > 0 {
		member.State.RecordFailure(now, r.d.cfg.Avoid)
	}
	if result.strikes == 0 {
		return
	}
	count := r.d.cfg.Strikes.Strike(r.req.Fingerprint, result.strikes, now)
	r.d.cfg.Counter.Count(Strikes)
	if r.d.cfg.OnStrike != nil {
		r.d.cfg.OnStrike(count)
	}
}

func (r *run) pick(now time.Time) *routing.Member {
	query := &routing.Query{
		Class:    r.req.Class,
		Affinity: r.req.Affinity,
		Exclude:  r.tried,
		Now:      now,
		Random:   r.d.cfg.Random(),
	}
	if !r.req.repeatable() {
		return routing.FirstEligible(r.table.ForKey(r.req.name(), r.key()), query)
	}
	return r.pool().Pick(r.d.cfg.Strategy, query)
}

// pickOrWait picks a target. A request that was broken off and has tried all
// targets waits a little and tries them again.
func (r *run) pickOrWait(ctx context.Context, now time.Time) *routing.Member {
	for {
		member := r.pick(now)
		if member != nil || r.breaks == 0 || !r.req.repeatable() {
			return member
		}
		between, ok := retry.Pause(r.rounds)
		if !ok || !pause.For(ctx, between) {
			return nil
		}
		r.rounds++
		r.tried = nil
		now = r.d.cfg.Now()
	}
}

func (r *run) pool() *routing.Pool {
	if r.req.Model != nil {
		return r.table.Model(r.req.name())
	}
	return r.table.Service(r.req.name())
}

// key is what a call that may not be repeated is hashed by.
func (r *run) key() string {
	return r.req.Team + "/" + r.req.Account + "/" + r.req.Service.IdempotencyKey
}

func (r *run) failure(code string, cause error) *Failure {
	failure := &Failure{Code: code, Ran: r.ran, Streaming: r.started, Cause: cause}
	if r.last != nil {
		failure.Peer = r.last.Target.Name
	}
	return failure
}

// noTarget is the failure of a request that no target is left for: the last
// refusal, if there was one.
func (r *run) noTarget(ctx context.Context) *Failure {
	if ctx.Err() != nil {
		return r.interrupted(ctx)
	}
	if r.refusal != nil && r.breaks == 0 {
		return r.refusal
	}
	if r.breaks > 0 && !r.req.repeatable() {
		return r.failure(CodeOutcomeUnknown, nil)
	}
	failure := r.failure(CodeNoTarget, nil)
	failure.RetryAfter = time.Second
	if r.attempts > 0 && r.breaks == 0 {
		failure.Code = CodeUnreachable
	}
	return failure
}

// interrupted is the failure of a request whose deadline passed or whose
// caller went away.
func (r *run) interrupted(ctx context.Context) *Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.failure(CodeDeadline, nil)
	}
	return r.failure(CodeCallerGone, nil)
}
