// Package pick chooses the target of a request among those of a service. It is
// pure: loads, limits and doubts come in as values.
package pick

// Candidate is a target that may get the request.
type Candidate struct {
	Load    int  // requests that all gateways have there
	Slots   int  // requests that it runs at once
	Limited bool // this gateway's share of its admission rate is used up
	Suspect bool // it has failed lately
	Tried   bool // it has had this request already
}

// Best returns the index of the candidate with the lowest load for its slots,
// or -1 if none may be used. Suspect targets come after all others, and ties go
// to the candidate that point, uniform in [0, 1), falls on.
func Best(candidates []Candidate, point float64) int {
	best := -1
	start := int(point * float64(len(candidates)))
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

func less(a, b *Candidate) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	return a.Load*max(b.Slots, 1) < b.Load*max(a.Slots, 1)
}
