package dispatch

// Reasons given by agents that determine what the entry does next.
const (
	reasonBusy              = "target_busy"        // the target is at its limit
	reasonDisplaced         = "displaced"          // another request took its place in the target's queue
	reasonTargetRefused     = "target_refused"     // the target itself refused the request
	reasonTargetUnreachable = "target_unreachable" // the agent cannot reach its target
	reasonAnswerCut         = "answer_cut"         // the target ended the answer early and may have died
)

// NoCapacity reports whether a reason means that a target has no free capacity.
func NoCapacity(code string) bool {
	return code == reasonBusy || code == reasonDisplaced || code == reasonTargetRefused
}
