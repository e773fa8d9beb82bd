// Package claims decides which agent runs a call that may not be repeated.
//
// Agents append claims to a stream of the platform's log and apply its records
// in offset order. The first claim of a key wins, and only the incarnation that
// made it runs the call, once. Replica implements that rule; Claimant tracks the
// claims of one incarnation of an agent. Neither uses a clock, a lease or a
// leader.
package claims
