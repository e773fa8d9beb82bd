package registry

import (
	"slices"
	"time"
)

// GracePeriod is the longest time for which a target whose record is missing stays usable
// after the store has become available again: by then, live targets have rewritten the
// records that expired during the outage.
const GracePeriod = 2200 * time.Millisecond

const (
	defaultHeartbeat = 1200 * time.Millisecond
	// expiryIntervals is the number of heartbeat intervals without a record after which the
	// store removes the last one. A target that could write all the time is silent for less
	// than one of them.
	expiryIntervals = 3
	// minExpiryIntervals allows for heartbeats that come a little early.
	minExpiryIntervals = 2.7
	// missedIntervals is the number of intervals in which nobody has written, by the records
	// of the targets that were written most, from which the store was away for all.
	missedIntervals = 1.5
)

// Timing holds the times of a deployment that tell an outage of the store from a cut.
type Timing struct {
	Heartbeat time.Duration // between two records of a target; 0: the usual time
	Grace     time.Duration // as GracePeriod, which it does not exceed; 0: GracePeriod
}

func (t Timing) withDefaults() Timing {
	if t.Heartbeat <= 0 {
		t.Heartbeat = defaultHeartbeat
	}
	if t.Grace <= 0 || t.Grace > GracePeriod {
		t.Grace = GracePeriod
	}
	return t
}

// shortestAbsence is the time without the registry from which records can have expired in it.
func (t Timing) shortestAbsence() time.Duration { return (expiryIntervals - 1) * t.Heartbeat }

// absence is what this gateway knows of the latest time in which it could not read the
// registry. Records expire if targets could not write: in an outage of the store, or if they
// were cut off together with this gateway.
type absence struct {
	failing  bool      // the last read failed
	since    time.Time // when the registry was last known before
	ended    time.Time // when it was read again
	until    time.Time // end of the grace period
	outage   bool      // the store was away for all; else for this gateway and perhaps some targets
	restored time.Time // end of the grace period after the store came back from an older copy
}

// ReadFailed records that the registry could not be read.
func (t *Table) ReadFailed() {
	if !t.absence.failing {
		t.absence.failing, t.absence.since = true, t.lastRead
	}
}

// ReadSucceeded records that the registry was read, but not what was written since the last
// read: if reads have failed before, the store may have been away. It drops the targets whose
// grace period is over, and reports whether there were any.
func (t *Table) ReadSucceeded(now time.Time) bool {
	t.absence.end(t.timing, now, true)
	return t.read(now)
}

// ReadOn is like ReadSucceeded, for a read of all records since the last one. written holds
// their number by target. If targets wrote on while this gateway could not read, it was cut
// off, and the store was not away.
func (t *Table) ReadOn(now time.Time, written map[string]int) bool {
	if t.absence.failing {
		intervals := float64(now.Sub(t.absence.since)) / float64(t.timing.Heartbeat)
		t.absence.end(t.timing, now, intervals-t.usualRecords(written) >= missedIntervals)
	}
	return t.read(now)
}

// Followed is like ReadSucceeded, for what another gateway reads for this one. It tells by
// itself whether the store was away.
func (t *Table) Followed(now time.Time) bool {
	t.absence.end(t.timing, now, false)
	t.lastRead = now
	return t.Expire(now)
}

// Told records that a peer has told the registry as it was at a time, while this gateway
// cannot read it.
func (t *Table) Told(asOf time.Time) {
	if asOf.After(t.absence.since) {
		t.absence.since = asOf
	}
}

func (t *Table) read(now time.Time) bool {
	t.priorEnd, t.lastRead = t.lastRead, now
	return t.Expire(now)
}

// usualRecords returns the mean number of records of that half of the targets that were
// written most.
func (t *Table) usualRecords(written map[string]int) float64 {
	var counts []int
	for id, e := range t.entries {
		if !e.isMissing() {
			counts = append(counts, written[id])
		}
	}
	if len(counts) == 0 {
		return 0
	}
	slices.Sort(counts)
	most := counts[len(counts)/2:]
	sum := 0
	for _, count := range most {
		sum += count
	}
	return float64(sum) / float64(len(most))
}

// end begins the grace period, if reads have failed for long enough that records can have
// expired.
func (a *absence) end(timing Timing, now time.Time, outage bool) {
	if !a.failing {
		return
	}
	a.failing = false
	if now.Sub(a.since) < timing.shortestAbsence() {
		return
	}
	a.ended, a.outage = now, outage || a.outage && now.Before(a.until)
	a.until = now.Add(timing.Grace)
}

func (a *absence) inGrace(now time.Time) bool { return now.Before(a.until) }

// mayExplain reports whether the record of a target may be gone only because it expired in
// the absence. longSilent is what the order of the log tells.
func (a *absence) mayExplain(t *Table, e *entry, longSilent bool, now time.Time) bool {
	shortest := time.Duration(minExpiryIntervals * float64(t.timing.Heartbeat))
	switch {
	case now.Before(a.restored):
		return true
	case !a.inGrace(now):
		return false
	case !e.writtenAfter.IsZero() && now.Sub(e.writtenAfter) < shortest:
		return false // it was written too lately to have expired
	case a.outage:
		return !e.readAt.After(a.ended) // else it has been written since
	}
	return longSilent
}

// mayExplainTold is like mayExplain, for a record that is gone by what a peer has told.
func (a *absence) mayExplainTold(e *entry, expired bool, now time.Time) bool {
	switch {
	case now.Before(a.restored):
		return true
	case a.inGrace(now) && a.outage:
		return !e.readAt.After(a.ended)
	}
	return expired && (a.failing || a.inGrace(now))
}

// graceEnd returns until when a target may be used whose record is gone now.
func (a *absence) graceEnd(now time.Time, grace time.Duration) time.Time {
	end := a.until
	if a.restored.After(end) {
		end = a.restored
	}
	if !end.After(now) { // the registry is told by peers while reads fail
		return now.Add(grace)
	}
	return end
}

// GraceRemaining returns the rest of the grace period in which the record of any target may
// be missing only because it expired: the store was away for all, or came back from a copy.
func (t *Table) GraceRemaining(now time.Time) time.Duration {
	until := t.absence.restored
	if t.absence.outage && t.absence.until.After(until) {
		until = t.absence.until
	}
	return max(0, until.Sub(now))
}

// StoreRestored records that the store came back from an older copy, in which records
// are missing that live targets will rewrite.
func (t *Table) StoreRestored(now time.Time) { t.absence.restored = now.Add(t.timing.Grace) }

// ExtendGrace extends the grace period to the given time, for an outage of the store
// that another gateway has seen. A gateway that has known the registry all along has seen that
// there was none: the other one was cut off.
func (t *Table) ExtendGrace(until, now time.Time) {
	a := &t.absence
	inTouch := !a.failing && !a.inGrace(now) && now.Sub(t.lastRead) < t.timing.shortestAbsence()
	if inTouch || !until.After(now) || a.outage && !until.After(a.until) {
		return
	}
	if !a.outage || !a.inGrace(now) {
		a.ended = now
	}
	a.outage, a.until = true, until
}
