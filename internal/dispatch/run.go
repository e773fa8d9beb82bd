package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/rendezvous"
	"quetzalbend/internal/core/retry"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/wire"
)

// run is the state of one request over all its attempts.
type run struct {
	d     *Dispatcher
	table *routing.Table
	req   *Request
	out   StreamWriter

	position     int64 // tokens of a streamed answer that the caller has received
	started      bool  // the caller has received some of the answer
	ran          wire.Ran
	attempts     int
	possibleRuns int  // failed attempts in which the request may have run, see retry.Attempt
	silent       bool // the target of the latest of these attempts did not respond
	rounds       int  // number of times that the request waited after all targets were tried
	tried        []string
	last         *routing.Member
	refusal      *Failure // latest refusal for lack of capacity
	blamed       []string // parts of the prompt to which a crash of the target of this attempt is due
	doubtful     *Answer  // an answer that may be cut, the caller's if the next attempt gives no better one
}

// step makes one attempt and returns the answer, or the failure and the action to
// take. A failure with GiveUp is final.
func (r *run) step(ctx context.Context) (*Answer, retry.Action, *Failure) {
	now := r.d.cfg.Now()
	verdict := r.d.cfg.Strikes.VerdictFor(r.req.Fingerprint, now)
	if verdict == strike.Refused {
		return nil, retry.GiveUp, r.failure(CodeCrashesTargets, nil)
	}
	decision := r.d.cfg.Poison.Admit(r.req.SharedParts, everyTurn, now)
	if !decision.MaySend() {
		return nil, retry.GiveUp, r.barred(decision)
	}
	if decision.Trial {
		defer r.d.cfg.Poison.EndTrial(r.req.SharedParts)
	}
	r.blamed = decision.Blamed
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
			r.d.cfg.Strikes.ClearStrikes(r.req.Fingerprint, r.d.cfg.Now())
		}
		if r.asksElsewhere(result.answer) {
			r.doubtful = result.answer
			return nil, retry.Retry, nil
		}
		return result.answer, retry.GiveUp, nil
	}
	return r.decideNext(ctx, member, result)
}

// asksElsewhere reports whether an answer is no more than a head, whose body may be cut, and
// another target may be asked for a better one. It is done once for a request.
func (r *run) asksElsewhere(answer *Answer) bool {
	if r.doubtful != nil || !answer.Unframed || len(answer.Body) > 0 || answer.Status >= http.StatusMultipleChoices {
		return false
	}
	return r.req.repeatable() && r.pick(r.d.cfg.Now()) != nil && r.d.budget.Withdraw()
}

// everyTurn makes each entry send trials of suspect parts at any time: entries do not
// know which others are alive.
func everyTurn(int64) bool { return true }

// barred returns the failure of a request that may not be sent for a part of its prompt.
func (r *run) barred(decision poison.Decision) *Failure {
	code := CodePartCrashes
	if decision.Verdict == poison.Suspect {
		code = CodePartSuspect
	}
	failure := r.failure(code, errors.New("part "+decision.Part))
	failure.RetryAfter = decision.RetryAfter
	return failure
}

// recordCrash records that a target has died before it had begun to answer the request.
func (r *run) recordCrash(member *routing.Member, now time.Time) {
	if len(r.req.SharedParts) == 0 {
		return
	}
	loss := poison.Loss{Parts: r.req.SharedParts, Blamed: r.blamed}
	// Requests that are lost in one crash are lost in the same second, or count at the same
	// time at least.
	crash := rendezvous.Hash(member.Target.Name, strconv.FormatInt(now.Unix(), 10))
	r.d.cfg.Poison.RecordCrash([]poison.Loss{loss}, crash, now)
	if r.d.cfg.OnCrash != nil {
		r.d.cfg.OnCrash()
	}
}

// decideNext decides what to do after an attempt without a complete answer.
func (r *run) decideNext(ctx context.Context, member *routing.Member, result result) (*Answer, retry.Action, *Failure) {
	now := r.d.cfg.Now()
	r.recordFailure(member, result, now)
	failure := r.failure(result.code, result.err)
	failure.RetryAfter = result.retryAfter
	if result.outcome == retry.NotRunBusy {
		r.refusal = failure
	}
	if result.callerGone || result.permanent {
		return nil, retry.GiveUp, failure
	}
	action := retry.Decide(retry.Attempt{
		Outcome:           result.outcome,
		Repeatable:        r.req.repeatable(),
		Number:            r.attempts,
		FailuresAfterSend: r.possibleRuns,
		Now:               now,
		Deadline:          r.req.Deadline,
	}, r.d.budget)
	if action != retry.Ask && ctx.Err() != nil {
		return nil, retry.GiveUp, r.contextFailure(ctx)
	}
	return nil, action, failure
}

// recordFailure updates the state of the target and the strikes of the request
// after an attempt without a complete answer.
func (r *run) recordFailure(member *routing.Member, result result, now time.Time) {
	r.d.cfg.Counter.CountFailedAttempt(result.code)
	switch result.outcome {
	case retry.NotSent:
		member.State.RecordFailure(now, r.d.cfg.AvoidPeriod)
		return
	case retry.NotRunBusy, retry.NotRunOther:
		if result.silent {
			member.State.RecordFailure(now, r.d.cfg.AvoidPeriod)
		}
		return
	case retry.Failed, retry.Broken, retry.Malformed:
	}
	r.possibleRuns++
	r.silent = result.silent
	r.ran = moreSevere(r.ran, result.ran)
	if result.silent || result.strikes > 0 {
		member.State.RecordFailure(now, r.d.cfg.AvoidPeriod)
	}
	if result.strikes == 0 {
		return
	}
	if result.unanswered && result.strikes == strike.TargetDied {
		r.recordCrash(member, now)
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
		return routing.FirstEligible(r.table.ForKey(r.req.name(), r.routingKey()), query)
	}
	return r.pool().Pick(r.d.cfg.Strategy, query)
}

// pickOrWait picks a target. If a repeatable request may have run in a failed attempt
// and all targets were tried, it waits and tries them again, for a limited number of
// rounds.
func (r *run) pickOrWait(ctx context.Context, now time.Time) *routing.Member {
	for {
		member := r.pick(now)
		if member != nil || r.possibleRuns == 0 || !r.req.repeatable() {
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

// routingKey is the key by which a call that may not be repeated is hashed to a
// target.
func (r *run) routingKey() string {
	return r.req.Team + "/" + r.req.Account + "/" + r.req.Service.IdempotencyKey
}

func (r *run) failure(code string, cause error) *Failure {
	failure := &Failure{Code: code, Ran: r.ran, Streaming: r.started, Cause: cause}
	if r.last != nil {
		failure.TargetName = r.last.Target.Name
	}
	return failure
}

// noTarget returns the failure of a request for which no target is left. This is
// the latest refusal, unless the request may have run in another attempt.
func (r *run) noTarget(ctx context.Context) *Failure {
	if ctx.Err() != nil {
		return r.contextFailure(ctx)
	}
	if r.refusal != nil && r.possibleRuns == 0 {
		return r.refusal
	}
	if r.possibleRuns > 0 && !r.req.repeatable() {
		return r.failure(CodeOutcomeUnknown, nil)
	}
	failure := r.failure(CodeNoTarget, nil)
	failure.RetryAfter = time.Second
	if r.attempts > 0 && r.possibleRuns == 0 {
		failure.Code = CodeUnreachable
	}
	return failure
}

// contextFailure returns the failure of a request whose deadline passed or whose
// caller disconnected.
func (r *run) contextFailure(ctx context.Context) *Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.failure(CodeDeadline, nil)
	}
	return r.failure(CodeCallerGone, nil)
}
