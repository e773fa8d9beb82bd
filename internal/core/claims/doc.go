// Package claims decides which agent runs a call that may not be repeated.
//
// Agents append claims to a stream of the platform's log and fold it in offset
// order. The first claim of a key wins, and only the incarnation that made it
// runs the call, once. Fold is that rule; Claimant is what one incarnation of
// an agent does on top of it. Neither has a clock, a lease or a leader.
package claims
