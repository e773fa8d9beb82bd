// Package pick chooses the target of a request among the targets of a service. It
// has no state: the caller passes in each target's load, limit and recent failures.
//
// Package internal/app/gateway uses it. The counterpart for entries is package
// routing, which has several strategies and picks from a subset of the targets
// first.
package pick

// Candidate is a target that may get the request.
type Candidate struct {
	Load           int  // unfinished requests of all gateways at the target
	Slots          int  // number of requests that it runs at once
	Limited        bool // this gateway's share of its admission rate is used up
	RecentlyFailed bool // chosen only if no other target may be used
	Tried          bool // this request has already been sent to it
}

// Best returns the index of the candidate with the lowest load per slot, or -1 if
// none may be used. It takes a target that has failed recently only if there is no
// other. Candidates are compared in list order with wraparound, and the first of equal
// candidates wins. random is uniform in [0, 1) and selects the position at which the
// comparison starts.
func Best(candidates []Candidate, random float64) int {
	best := -1
	start := int(random * float64(len(candidates)))
	for i := range candidates {
		at := (start + i) % len(candidates)
		c := &candidates[at]
		if c.Limited || c.Tried {
			continue
		}
		if best < 0 || less(c, &candidates[best]) {
			best = at
		}
	}
	return best
}

// less reports whether a is preferred to b.
func less(a, b *Candidate) bool {
	if a.RecentlyFailed != b.RecentlyFailed {
		return b.RecentlyFailed
	}
	return a.Load*max(b.Slots, 1) < b.Load*max(a.Slots, 1)
}
