package agent

import "quetzalbend/internal/claimlog"

// Stable codes for why a call was refused or failed.
const (
	reasonLeaving       = "leaving"
	reasonBusy          = "target_busy"    // the target can take no further calls
	reasonStalled       = "target_stalled" // no stream on the target advances
	reasonDisplaced     = "displaced"      // removed from the queue in favour of a more urgent request or of one of another account
	reasonWrongTarget   = "wrong_target"
	reasonBadCall       = "bad_call"
	reasonUnreachable   = string(claimlog.NotSent)
	reasonTargetRefused = "target_refused"
	reasonTargetDied    = "target_died"
	reasonCut           = "answer_cut"
	reasonMalformed     = "answer_malformed"
	reasonNoMemory      = "no_memory" // the agent has no memory for the answer
	reasonCancelled     = "cancelled"
	reasonDeadline      = "deadline"
)
