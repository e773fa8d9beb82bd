package retry

import "time"

// Outcome is how one attempt ended.
type Outcome int

// Outcomes of an attempt that did not yield a whole answer.
const (
	NotSent     Outcome = iota // the call never reached the target's agent
	NotRunBusy                 // the call has not run and will never run: the agent refused it for lack of capacity
	NotRunOther                // the call has not run and will never run, for another reason
	Failed                     // the agent reported that the call failed and ran or may have run
	Broken                     // the connection broke after the call was sent
	Malformed                  // the agent violated the protocol
)

// Attempt describes an attempt that did not yield a whole answer.
type Attempt struct {
	Outcome           Outcome
	Repeatable        bool // idempotent, or a model call
	Number            int  // of attempts made so far, this one included
	FailuresAfterSend int  // number of these attempts that ended Failed, Broken or Malformed
	Now               time.Time
	Deadline          time.Time
}

// Action is what to do after an attempt.
type Action int

// Actions.
const (
	GiveUp Action = iota
	Retry         // try another target, and continue the answer after the part already sent to the caller
	Ask           // ask the agents for the outcome of the call
)

const (
	maxAttempts          = 16
	maxFailuresAfterSend = 4                     // Attempt.FailuresAfterSend from which on a request is given up
	maxFreeFailures      = 2                     // Attempt.FailuresAfterSend up to which a retry after such a failure takes nothing from the budget
	maxPauses            = 6                     // pauses for one request
	initialPause         = 50 * time.Millisecond // doubled with each further pause
	// minTimeLeft is the time to the deadline below which a retry would be useless.
	minTimeLeft = 2 * time.Millisecond
)

// Pause returns how long to wait before all targets are tried again, or false if the
// request has had maxPauses pauses. round is the number of its pauses so far.
func Pause(round int) (time.Duration, bool) {
	if round >= maxPauses {
		return 0, false
	}
	return initialPause << round, true
}

// Decide returns what to do after an attempt.
func Decide(a Attempt, budget *Budget) Action {
	if a.Outcome == Failed && !a.Repeatable {
		return GiveUp // the agent has reported all that it knows
	}
	if mayHaveRun(a.Outcome) && !a.Repeatable {
		return Ask
	}
	if a.Number >= maxAttempts || a.FailuresAfterSend >= maxFailuresAfterSend {
		return GiveUp
	}
	if a.Deadline.Sub(a.Now) < minTimeLeft {
		return GiveUp
	}
	if usesBudget(a) && !budget.Withdraw() {
		return GiveUp
	}
	return Retry
}

// usesBudget reports whether a retry is taken from the budget. It is if the attempt
// was refused for lack of capacity and no earlier one had failed after sending, or if
// the attempt itself failed after sending and is one of more than maxFreeFailures
// that did.
func usesBudget(a Attempt) bool {
	if a.Outcome == NotRunBusy {
		return a.FailuresAfterSend == 0
	}
	return mayHaveRun(a.Outcome) && a.FailuresAfterSend > maxFreeFailures
}

func mayHaveRun(outcome Outcome) bool {
	return outcome == Failed || outcome == Broken || outcome == Malformed
}
