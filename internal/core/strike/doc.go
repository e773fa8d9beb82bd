// Package strike finds requests that crash the targets that run them. A strike
// counts against the fingerprint of a request that was in flight when its target
// died or may have died. A request with enough strikes to be suspect runs only
// while nothing else runs on the target, and one with too many strikes over the
// whole system is refused. The package does no I/O and reads no clock.
//
// Counts only grow, and two counts of the same node merge to their maximum, so
// nodes may exchange counts in any order and any number of times.
package strike
