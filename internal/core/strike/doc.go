// Package strike finds requests that crash the targets that run them. A
// request in flight when its target dies gets strikes under its fingerprint.
// A struck request runs again only alone, and is refused once it has too many
// strikes over the whole system. It is pure.
//
// Counts only grow and merge by maximum for each node, so nodes may exchange
// them in any order and any number of times.
package strike
