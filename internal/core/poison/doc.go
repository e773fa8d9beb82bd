// Package poison finds parts of prompts that crash each target that begins to write an
// answer on them, whatever else the prompt holds.
//
// A crash counts against all shared parts of the requests that were lost at the target
// without an answer. It is cleared for a part as soon as another request with that part
// is answered, so that sound parts, which are under crashes as well, lose their counts.
// A part with uncleared crashes at several times is suspect: one gateway sends one
// request with it at a time. If two such trials end in crashes, the part is refused.
//
// Gateways exchange the crashes and which of them are cleared. Both only grow, so
// evidence may arrive in any order and any number of times. The package does no I/O and
// reads no clock.
package poison
