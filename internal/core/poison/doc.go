// Package poison finds requests that bring down each target that runs them, and parts of
// prompts that crash each target that begins to write an answer on them, whatever else the
// prompt holds.
//
// What counts is that a target went down while it ran a request, however the request ended:
// a broken connection, a timeout, a caller that left, or not at all. Watch follows the requests
// that run and those that were lost lately, and tells which targets must be checked. A target
// that refuses connections has ended. One that gives no sign of life may be only cut off or
// slow; what counts by its silence is taken back when it is heard again.
//
// The end of a target counts against the request as a whole and, unless its answer was under
// way, against the shared parts of its prompt. It is cleared for a part as soon as another
// request with that part is answered, and for a request once a target has answered all of a
// copy of it. Sound ones, which are lost in crashes as well, lose their counts in this way.
//
// A part with uncleared crashes at several times is suspect, and a request with three of
// them. A request that was answered before may have many copies, lost together with a failure
// domain: its crashes must also lie apart. One gateway sends one request with a suspect part
// at a time. If two such trials end in crashes, the part is refused.
//
// Gateways exchange the crashes and which of them are cleared. Both only grow, so
// evidence may arrive in any order and any number of times. The package does no I/O and
// reads no clock.
package poison
