// Package strike finds requests that crash the targets that run them. A request
// that is in flight when its target dies gets strikes under its fingerprint. A
// request with strikes enough to be suspect runs only alone, and one with too
// many strikes over the whole system is refused. The package does no I/O and
// reads no clock.
//
// Counts only grow, and two counts of the same node merge to their maximum, so
// nodes may exchange counts in any order and any number of times.
package strike
