package dispatch

import (
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/wire"
)

// Stable codes of failures that originate in this package. Other codes are the
// reasons that agents give.
const (
	CodeNoTarget         = "no_target"             // no target can take the request now
	CodeUnreachable      = "target_unreachable"    // no agent could be reached
	CodeDeadline         = "deadline_exceeded"     // the caller's deadline passed
	CodeCallerGone       = "caller_gone"           // the caller disconnected
	CodeIncomplete       = "answer_incomplete"     // the answer ended before it was complete
	CodeCrashesTargets   = "request_kills_targets" // the request was in flight when targets died, repeatedly
	CodePartCrashes      = "part_kills_targets"    // targets died as they were to answer prompts with one of its parts
	CodePartSuspect      = "part_may_kill_targets" // like CodePartCrashes, but another request is the trial of the part
	CodeOutcomeUnknown   = "outcome_unknown"       // a call that may not be repeated may have run
	CodeAnswerLost       = "answer_lost"           // the call ran, but its answer is lost
	CodeAnswerTooLarge   = "answer_too_large"      // the answer is larger than the limit
	CodeNoMemory         = "no_memory"             // there is no memory for the rest of the answer
	CodeRefusedByTarget  = "refused"               // the agent gave no reason
	codeMalformedAnswer  = "malformed_answer"
	codeConnectionBroken = "connection_broken"
)

// Failure is the error of a request without a complete answer.
type Failure struct {
	Code       string
	Ran        wire.Ran
	RetryAfter time.Duration // zero for none
	Streaming  bool          // the caller already has a part of the answer
	TargetName string        // name of the target at which it occurred, if any
	Cause      error
}

// Error returns the code, the target and the cause as text.
func (f *Failure) Error() string {
	text := f.Code
	if f.TargetName != "" {
		text += " at " + f.TargetName
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// AsFailure returns the Failure in err's chain.
func AsFailure(err error) (*Failure, bool) {
	var failure *Failure
	ok := errors.As(err, &failure)
	return failure, ok
}

// moreSevere returns the more severe of two values; yes is more severe than
// unknown, and unknown more than no.
func moreSevere(a, b wire.Ran) wire.Ran {
	if a == wire.Ran_RAN_YES || b == wire.Ran_RAN_YES {
		return wire.Ran_RAN_YES
	}
	if a == wire.Ran_RAN_UNKNOWN || b == wire.Ran_RAN_UNKNOWN {
		return wire.Ran_RAN_UNKNOWN
	}
	return wire.Ran_RAN_NO
}
