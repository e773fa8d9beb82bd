package agent

// Stable codes of refusals and failures.
const (
	reasonLeaving       = "leaving"
	reasonWrongTarget   = "wrong_target"
	reasonBadCall       = "bad_call"
	reasonTargetRefused = "target_refused"
	reasonUnreachable   = "target_unreachable"
	reasonTargetDied    = "target_died"
	reasonCut           = "answer_cut"
	reasonMalformed     = "answer_malformed"
	reasonCancelled     = "cancelled"
	reasonDeadline      = "deadline"
)
