package retry

import "time"

// Outcome is how one attempt ended.
type Outcome int

// Outcomes of an attempt that was not whole.
const (
	NotSent   Outcome = iota // the call never reached the target's agent
	NotRun                   // the agent refused it: it did not run and will not
	Failed                   // it ran or may have run, and the agent said so
	Broken                   // the connection broke after sending
	Malformed                // the agent broke the protocol
)

// Attempt describes an attempt that was not whole.
type Attempt struct {
	Outcome    Outcome
	Repeatable bool // idempotent, or a model call
	Number     int  // attempts made so far, this one included
	Breaks     int  // of them, those that ended Failed, Broken or Malformed
	Now        time.Time
	Deadline   time.Time
}

// Action is what to do after an attempt.
type Action int

// Actions.
const (
	GiveUp Action = iota
	Retry         // try elsewhere, from where the caller's copy ends
	Ask           // ask the agents what became of the call
)

const (
	maxAttempts = 8
	maxBreaks   = 4
	// minTimeLeft is the time to the deadline below which a retry is vain.
	minTimeLeft = 2 * time.Millisecond
)

// Decide returns what to do after an attempt. Only refusals are charged to the
// budget: the others did not add load, or the load they added is gone.
func Decide(a Attempt, budget *Budget) Action {
	mayHaveRun := a.Outcome != NotSent && a.Outcome != NotRun
	if a.Outcome == Failed && !a.Repeatable {
		return GiveUp // the agent has said all it knows
	}
	if mayHaveRun && !a.Repeatable {
		return Ask
	}
	if a.Number >= maxAttempts || a.Breaks >= maxBreaks {
		return GiveUp
	}
	if a.Deadline.Sub(a.Now) < minTimeLeft {
		return GiveUp
	}
	if a.Outcome == NotRun && !budget.Withdraw() {
		return GiveUp
	}
	return Retry
}
