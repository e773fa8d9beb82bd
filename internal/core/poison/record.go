package poison

import (
	"slices"
	"time"
)

const (
	// occasionSpacing separates crashes that count one by one. Crashes closer together
	// may have one cause, such as the loss of a failure domain.
	occasionSpacing  = time.Second
	suspectOccasions = 2
	// suspectRequestCrashes applies to a request as a whole. Unlike a part of many prompts,
	// it is hardly at several targets by chance that crash at the same time, unless it has
	// been answered before: many copies of it may run.
	suspectRequestCrashes = 3
	// keptRequestCrashes is the number of crashes from which those of a request are kept for
	// gateways that start.
	keptRequestCrashes = 2
	refusedTrials      = 2
	maxCrashesAPart    = 16
)

// record is what is known of one part.
type record struct {
	request bool             // see IsRequest
	sound   bool             // it has been answered before
	crashes map[uint64]Crash // by target
	ownAt   time.Time        // latest change that this gateway has observed itself
	trial   trial
	aloneAt time.Time // when a request in which this was the only suspect part was last seen
}

// add adds a crash and reports whether it changed the record.
func (r *record) add(crash Crash) bool {
	known, ok := r.crashes[crash.Target]
	if !ok && len(r.crashes) >= maxCrashesAPart {
		delete(r.crashes, r.sorted()[0].Target)
	}
	if ok {
		crash.Cleared = crash.Cleared || known.Cleared
		crash.Blamed = crash.Blamed || known.Blamed
		if known.At.Before(crash.At) {
			crash.At = known.At
		}
	}
	r.crashes[crash.Target] = crash
	return !ok || crash != known
}

// clear clears all crashes and reports whether any was not cleared before.
func (r *record) clear() bool {
	changed := false
	for target, crash := range r.crashes {
		changed = changed || !crash.Cleared
		crash.Cleared = true
		r.crashes[target] = crash
	}
	return changed
}

// clearOne clears the crash of one target and reports whether it was not cleared before.
func (r *record) clearOne(target uint64) bool {
	crash, ok := r.crashes[target]
	if !ok || crash.Cleared {
		return false
	}
	crash.Cleared = true
	r.crashes[target] = crash
	return true
}

// sorted returns the crashes in the order of their times.
func (r *record) sorted() []Crash {
	crashes := make([]Crash, 0, len(r.crashes))
	for _, crash := range r.crashes {
		crashes = append(crashes, crash)
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return crashes
}

// latest returns the time of the latest crash.
func (r *record) latest() time.Time {
	var latest time.Time
	for _, crash := range r.crashes {
		if crash.At.After(latest) {
			latest = crash.At
		}
	}
	return latest
}

// expired reports whether none of the crashes counts any more.
func (r *record) expired(now time.Time) bool { return now.Sub(r.latest()) > Lifetime }

func (r *record) verdict(now time.Time) Verdict {
	switch {
	case r.expired(now):
		return Allowed
	case r.blamed() >= refusedTrials:
		return Refused
	case r.suspect():
		return Suspect
	}
	return Allowed
}

func (r *record) suspect() bool {
	if !r.request {
		return r.occasions() >= suspectOccasions
	}
	return r.uncleared() >= suspectRequestCrashes && (!r.sound || r.occasions() >= suspectOccasions)
}

// kept reports whether the evidence is for gateways that start: there is a verdict, or the
// next crash may bring one.
func (r *record) kept(now time.Time) bool {
	return r.verdict(now) != Allowed || r.request && !r.expired(now) && r.uncleared() >= keptRequestCrashes
}

// blamed returns the number of trials of the part that ended in a crash.
func (r *record) blamed() int {
	count := 0
	for _, crash := range r.crashes {
		if crash.Blamed && !crash.Cleared {
			count++
		}
	}
	return count
}

// uncleared returns the number of crashes that are not cleared.
func (r *record) uncleared() int {
	count := 0
	for _, crash := range r.crashes {
		if !crash.Cleared {
			count++
		}
	}
	return count
}

// occasions returns the number of times, at least occasionSpacing apart, at which targets
// crashed and that are not cleared.
func (r *record) occasions() int {
	count := 0
	var begun time.Time
	for _, crash := range r.sorted() {
		if crash.Cleared {
			continue
		}
		if count == 0 || crash.At.Sub(begun) >= occasionSpacing {
			count++
			begun = crash.At
		}
	}
	return count
}
