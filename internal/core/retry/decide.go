package retry

import "time"

// Outcome is how one attempt ended.
type Outcome int

// Outcomes of an attempt that was not whole.
const (
	NotSent     Outcome = iota // the call never reached the target's agent
	NotRunBusy                 // the agent refused it for want of room: it did not run and will not
	NotRunOther                // the agent refused it for another reason: it did not run and will not
	Failed                     // it ran or may have run, and the agent said so
	Broken                     // the connection broke after sending
	Malformed                  // the agent broke the protocol
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
	maxAttempts = 16
	maxBreaks   = 4
	freeBreaks  = 2
	maxRounds   = 6
	firstPause  = 50 * time.Millisecond
	// minTimeLeft is the time to the deadline below which a retry is vain.
	minTimeLeft = 2 * time.Millisecond
)

// Pause returns how long to wait before the targets are tried for another
// round, or false where enough rounds were made.
func Pause(round int) (time.Duration, bool) {
	if round >= maxRounds {
		return 0, false
	}
	return firstPause << round, true
}

// Decide returns what to do after an attempt.
func Decide(a Attempt, budget *Budget) Action {
	if a.Outcome == Failed && !a.Repeatable {
		return GiveUp // the agent has said all it knows
	}
	if mayHaveRun(a.Outcome) && !a.Repeatable {
		return Ask
	}
	if a.Number >= maxAttempts || a.Breaks >= maxBreaks {
		return GiveUp
	}
	if a.Deadline.Sub(a.Now) < minTimeLeft {
		return GiveUp
	}
	if charged(a) && !budget.Withdraw() {
		return GiveUp
	}
	return Retry
}

// charged reports whether a retry takes part of the budget: that of a request
// that was refused for want of room, unless it was broken off elsewhere before,
// and that of one that has been broken off again and again.
func charged(a Attempt) bool {
	if a.Outcome == NotRunBusy {
		return a.Breaks == 0
	}
	return mayHaveRun(a.Outcome) && a.Breaks > freeBreaks
}

func mayHaveRun(outcome Outcome) bool {
	return outcome == Failed || outcome == Broken || outcome == Malformed
}
