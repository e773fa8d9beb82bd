package claimlog

import (
	"context"
	"time"

	"quetzalbend/internal/core/claims"
)

// Reason is a stable code for why a call got no answer.
type Reason string

// Values of Reason.
const (
	NotReady       Reason = "not_ready"            // the stream of claims has not been read to its end yet
	Unavailable    Reason = "platform_unavailable" // new keys cannot be claimed
	KeyReused      Reason = "key_reused"           // the key was used for another call
	KeyExpired     Reason = "key_expired"          // the key is older than its window
	KeyFromFuture  Reason = "key_from_ahead"       // the key was created in the future
	GivenUp        Reason = "claim_given_up"       // the claim was not decided in time, or the request's context ended before the run
	NotSent        Reason = "target_unreachable"   // the call did not reach the service
	OutcomeUnknown Reason = "outcome_unknown"      // the call may have run; its answer is not known
	AnswerNotKept  Reason = "answer_not_kept"      // the call ran; its answer is no longer kept
)

// maxAnswerBytes is the size of the largest answer body that is kept for
// repeats.
const maxAnswerBytes = 64 << 10

// Request is a request for a call that may not run twice.
type Request struct {
	Account     string
	Key         string // idempotency key
	Fingerprint claims.Fingerprint
}

// Ran is whether a call ran, as far as that is known.
type Ran int

// Values of Ran.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// Result is the result of a request.
type Result struct {
	Answer   *claims.Answer // nil if there is none
	Replayed bool           // the answer comes from an earlier run
	Ran      Ran
	Reason   Reason // set if there is no answer
}

func notRun(reason Reason) Result { return Result{Ran: RanNo, Reason: reason} }

// Outcome is the outcome of a started run.
type Outcome struct {
	Answer  *claims.Answer // nil if none was received
	NotSent bool           // the call has certainly not reached the service
}

// Do runs a call at most once for its key, or answers a repeat with the answer
// of the earlier run. If Result.Ran is RanNo, this request has not run the call
// and never will. A started run continues when ctx ends.
func (l *Log) Do(ctx context.Context, request Request, run func() Outcome) Result {
	key := claims.KeyOf(request.Account, request.Key)
	for {
		if result, settled := l.Await(ctx, request); settled {
			return result
		}
		l.lock.Lock()
		if l.claimant.Lookup(key).Phase != claims.Free {
			l.lock.Unlock()
			continue
		}
		if reason, refused := l.refuseNewKey(request.Key); refused {
			l.lock.Unlock()
			return notRun(reason)
		}
		id, op := l.claimant.Begin(key, request.Fingerprint)
		l.enqueue(op)
		l.lock.Unlock()
		if result, done := l.awaitClaim(ctx, id, key, run); done {
			return result
		}
	}
}

// Await answers a request without running its call. It first waits for any run
// of the key that may be in progress. It reports false if the key is free and
// can be claimed, and refuses a free key that cannot be claimed now.
func (l *Log) Await(ctx context.Context, request Request) (Result, bool) {
	key := claims.KeyOf(request.Account, request.Key)
	for {
		l.lock.Lock()
		state := l.claimant.Lookup(key)
		result, settled := l.settled(state, request)
		if !settled && state.Phase == claims.Free {
			if reason, refused := l.refuseNewKey(request.Key); refused {
				result, settled = notRun(reason), true
			}
		}
		if settled || state.Phase == claims.Free {
			l.lock.Unlock()
			return result, settled
		}
		changed := l.changed(key)
		l.lock.Unlock()
		if !waitFor(ctx, changed) {
			return Result{Reason: OutcomeUnknown}, true
		}
	}
}

// settled answers a request whose key is not free. It reports false if the key
// is free or its run may be in progress. The caller holds the lock.
func (l *Log) settled(state claims.State, request Request) (Result, bool) {
	if state.Phase != claims.Free && state.Fingerprint != request.Fingerprint {
		return notRun(KeyReused), true
	}
	switch state.Phase {
	case claims.Answered:
		return replay(state.Answer), true
	case claims.Unanswered:
		return Result{Reason: OutcomeUnknown}, true
	case claims.Claimed:
		return Result{Reason: OutcomeUnknown}, state.OwnerGone
	case claims.Free:
	}
	return Result{}, false
}

func replay(answer *claims.Answer) Result {
	if answer.Dropped {
		return Result{Ran: RanYes, Reason: AnswerNotKept}
	}
	return Result{Answer: answer, Replayed: true, Ran: RanYes}
}

// refuseNewKey reports whether a free key cannot be claimed now, and why. The
// caller holds the lock.
func (l *Log) refuseNewKey(key string) (Reason, bool) {
	switch {
	case !l.caughtUp:
		return NotReady, true
	case !l.available():
		return Unavailable, true
	}
	replica := l.claimant.Replica()
	switch claims.CheckAge(key, l.config.Now(), l.window(), replica.ExpiredUntilMS()) {
	case claims.TooOld:
		return KeyExpired, true
	case claims.FromFuture:
		return KeyFromFuture, true
	case claims.AgeOK:
	}
	return "", false
}

// awaitClaim waits until a claim is decided and runs the call if the claim
// wins. It reports false if the claim has lost, in which case the key must be
// looked up again.
func (l *Log) awaitClaim(ctx context.Context, id claims.ID, key claims.Key, run func() Outcome) (Result, bool) {
	timer := time.NewTimer(l.config.ClaimTimeout)
	defer timer.Stop()
	for {
		l.lock.Lock()
		switch l.claimant.Poll(id) {
		case claims.Won:
			started := ctx.Err() == nil && l.claimant.Start(id)
			l.lock.Unlock()
			if started {
				return l.finish(id, key, run()), true
			}
			return l.withdraw(id, key), true
		case claims.NotStartable:
			available := l.available()
			l.lock.Unlock()
			if !available {
				return notRun(Unavailable), true
			}
			return Result{}, false
		case claims.Undecided:
		}
		changed := l.changed(key)
		l.lock.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return l.withdraw(id, key), true
		case <-ctx.Done():
			return l.withdraw(id, key), true
		}
	}
}

// withdraw gives up a claim whose call has not run. From then on the request
// can never run its call, although the release is appended only later.
func (l *Log) withdraw(id claims.ID, key claims.Key) Result {
	l.lock.Lock()
	defer l.lock.Unlock()
	if release, ok := l.claimant.Withdraw(id); ok {
		l.dequeueOrRelease(id, release)
	}
	l.wakeKey(key)
	if !l.available() {
		return notRun(Unavailable)
	}
	return notRun(GivenUp)
}

// dequeueOrRelease removes a claim from the queue if it is still there, and
// otherwise queues its release. The caller holds the lock.
func (l *Log) dequeueOrRelease(id claims.ID, release claims.Op) {
	for i, op := range l.queue {
		if op.Kind == claims.KindClaim && op.Serial == id.Serial {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return
		}
	}
	l.enqueue(release)
}

// finish records the outcome of a run and returns the result.
func (l *Log) finish(id claims.ID, key claims.Key, outcome Outcome) Result {
	l.lock.Lock()
	defer l.lock.Unlock()
	defer l.wakeKey(key)
	if outcome.NotSent {
		l.enqueue(l.claimant.NotSent(id))
		return notRun(NotSent)
	}
	l.enqueue(l.claimant.Finish(id, answerToKeep(outcome.Answer)))
	if outcome.Answer == nil {
		return Result{Reason: OutcomeUnknown}
	}
	return Result{Answer: outcome.Answer, Ran: RanYes}
}

// answerToKeep returns the part of an answer that is recorded in the log.
func answerToKeep(answer *claims.Answer) *claims.Answer {
	if answer == nil || len(answer.Body) <= maxAnswerBytes {
		return answer
	}
	return &claims.Answer{Status: answer.Status, Dropped: true}
}

// KeyState returns the state of a key. In phase Claimed its call may be
// running.
func (l *Log) KeyState(account, key string) claims.State {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.claimant.Lookup(claims.KeyOf(account, key))
}

// waitFor waits until changed is closed and reports false if ctx ends first.
func waitFor(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
