package dispatch

// Reasons of agents that change what an entry does next.
const (
	reasonAtLimit           = "at_limit"           // as many run as the target bears
	reasonQueueFull         = "queue_full"         // and as many wait as may
	reasonTargetRefused     = "target_refused"     // by the target itself
	reasonTargetUnreachable = "target_unreachable" // from its agent
	reasonAnswerCut         = "answer_cut"         // the target broke it off and may have died
)
