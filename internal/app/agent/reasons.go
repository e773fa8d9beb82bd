package agent

import "quetzalbend/internal/claimlog"

// Stable codes of refusals and failures.
const (
	reasonLeaving       = "leaving"
	reasonWrongTarget   = "wrong_target"
	reasonBadCall       = "bad_call"
	reasonUnreachable   = string(claimlog.NotSent)
	reasonTargetRefused = "target_refused"
	reasonTargetDied    = "target_died"
	reasonCut           = "answer_cut"
	reasonMalformed     = "answer_malformed"
	reasonCancelled     = "cancelled"
	reasonDeadline      = "deadline"
)
