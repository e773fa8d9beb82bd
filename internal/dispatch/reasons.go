package dispatch

// Reasons of agents that change what an entry does next.
const (
	reasonBusy              = "target_busy"        // the target has all that it can bear
	reasonDisplaced         = "displaced"          // from the target's queue by another request
	reasonTargetRefused     = "target_refused"     // by the target itself
	reasonTargetUnreachable = "target_unreachable" // from its agent
	reasonAnswerCut         = "answer_cut"         // the target broke it off and may have died
)

// NoCapacity reports whether a reason says that targets are full.
func NoCapacity(code string) bool {
	return code == reasonBusy || code == reasonDisplaced || code == reasonTargetRefused
}
