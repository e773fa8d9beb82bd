package claimlog

import (
	"context"
	"time"

	"quetzalbend/internal/core/claims"
)

// Reason is a stable code of why a call got no answer.
type Reason string

// Reasons.
const (
	NotReady       Reason = "not_ready"            // the claims have not been read yet
	Unavailable    Reason = "platform_unavailable" // new keys cannot be claimed
	KeyReused      Reason = "key_reused"           // another call has this key
	KeyExpired     Reason = "key_expired"          // the key is older than its window
	KeyFromFuture  Reason = "key_from_ahead"       // the key was made in the future
	GivenUp        Reason = "claim_given_up"       // no verdict in time
	NotSent        Reason = "target_unreachable"   // the run did not reach the service
	OutcomeUnknown Reason = "outcome_unknown"      // a run may have happened; its answer is not known
	AnswerNotKept  Reason = "answer_not_kept"      // it ran; the answer is gone
)

// maxAnswerBytes is the largest body of an answer that is kept for repeats.
const maxAnswerBytes = 64 << 10

// Request is a call that may not be repeated.
type Request struct {
	Account     string
	Key         string // idempotency key
	Fingerprint claims.Fingerprint
}

// Ran says whether a call ran.
type Ran int

// Values of Ran.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// Result is how a call ended.
type Result struct {
	Answer   *claims.Answer // nil if there is none
	Replayed bool           // the answer is that of an earlier run
	Ran      Ran
	Reason   Reason // set if there is no answer
}

func notRun(reason Reason) Result { return Result{Ran: RanNo, Reason: reason} }

// Outcome is how a run ended that has been started.
type Outcome struct {
	Answer  *claims.Answer // nil if none came
	NotSent bool           // the service has certainly not seen the call
}

// Do runs a call at most once for its key, or answers a repeat with the answer
// of the run. With RanNo in the result this request has not run and never
// will. The run goes on when ctx ends.
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
		if reason, refused := l.refuseNew(request.Key); refused {
			l.lock.Unlock()
			return notRun(reason)
		}
		id, op := l.claimant.Begin(key, request.Fingerprint)
		l.enqueue(op)
		l.lock.Unlock()
		if result, done := l.claimed(ctx, id, key, run); done {
			return result
		}
	}
}

// Await answers a request that needs no run, after waiting for a run of its key
// that may be going on. It reports false if the key is free, or refuses a new
// key that cannot be claimed now.
func (l *Log) Await(ctx context.Context, request Request) (Result, bool) {
	key := claims.KeyOf(request.Account, request.Key)
	for {
		l.lock.Lock()
		state := l.claimant.Lookup(key)
		result, settled := l.settled(state, request)
		if !settled && state.Phase == claims.Free {
			if reason, refused := l.refuseNew(request.Key); refused {
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

// settled answers what needs no claim. The caller holds the lock.
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

// refuseNew reports why a key that nobody holds cannot be claimed. The caller
// holds the lock.
func (l *Log) refuseNew(key string) (Reason, bool) {
	switch {
	case !l.caughtUp:
		return NotReady, true
	case !l.available():
		return Unavailable, true
	}
	fold := l.claimant.Fold()
	switch claims.CheckAge(key, l.config.Now(), l.window(), fold.HorizonMS()) {
	case claims.TooOld:
		return KeyExpired, true
	case claims.FromFuture:
		return KeyFromFuture, true
	case claims.AgeOK:
	}
	return "", false
}

// claimed waits for the verdict on a claim and runs the call if it has won. It
// reports false if the claim has lost, so that the key must be looked up again.
func (l *Log) claimed(ctx context.Context, id claims.ID, key claims.Key, run func() Outcome) (Result, bool) {
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
		case claims.Closed:
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

// withdraw gives a claim up that has not run. The release is appended later;
// the request is over for good from here on.
func (l *Log) withdraw(id claims.ID, key claims.Key) Result {
	l.lock.Lock()
	defer l.lock.Unlock()
	if release, ok := l.claimant.Withdraw(id); ok {
		l.dropQueued(id, release)
	}
	l.wakeKey(key)
	if !l.available() {
		return notRun(Unavailable)
	}
	return notRun(GivenUp)
}

// dropQueued takes a claim out of the queue if it has not been appended yet,
// or else queues its release. The caller holds the lock.
func (l *Log) dropQueued(id claims.ID, release claims.Op) {
	for i, op := range l.queue {
		if op.Kind == claims.KindClaim && op.Serial == id.Serial {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return
		}
	}
	l.enqueue(release)
}

// finish records how a run ended.
func (l *Log) finish(id claims.ID, key claims.Key, outcome Outcome) Result {
	l.lock.Lock()
	defer l.lock.Unlock()
	defer l.wakeKey(key)
	if outcome.NotSent {
		l.enqueue(l.claimant.NotSent(id))
		return notRun(NotSent)
	}
	l.enqueue(l.claimant.Finish(id, kept(outcome.Answer)))
	if outcome.Answer == nil {
		return Result{Reason: OutcomeUnknown}
	}
	return Result{Answer: outcome.Answer, Ran: RanYes}
}

// kept is what the log keeps of an answer.
func kept(answer *claims.Answer) *claims.Answer {
	if answer == nil || len(answer.Body) <= maxAnswerBytes {
		return answer
	}
	return &claims.Answer{Status: answer.Status, Dropped: true}
}

// KeyState returns what is known about a key; Claimed means that it may be running.
func (l *Log) KeyState(account, key string) claims.State {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.claimant.Lookup(claims.KeyOf(account, key))
}

// waitFor waits for a change and reports false if ctx ends first.
func waitFor(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
