package registry

import (
	"maps"
	"time"

	"quetzalbend/internal/core/fleet"
)

// maxLeaving is the number of leaving targets beyond which those without a record are
// forgotten.
const maxLeaving = 1000

type entry struct {
	target    fleet.Target
	coldUntil time.Time
	// Places of its two latest records among all that were read in the order of the log; 0:
	// not read there.
	lastRecord, previousRecord int64
	readAt                     time.Time // when its latest record was read
	writtenAfter               time.Time // when that was not yet written; zero: not known
	missingUntil               time.Time // its record may have expired only since the store was away; zero: it has a record
}

func (e *entry) isMissing() bool { return !e.missingUntil.IsZero() }

// Table holds the targets by id. It is not safe for concurrent use.
type Table struct {
	timing   Timing
	entries  map[string]*entry
	leaving  map[string]int64 // start, by id, of the incarnations that have said that they leave
	records  int64            // read in the order of the log
	lastRead time.Time        // latest read that succeeded; zero: none
	priorEnd time.Time        // the one before
	absence  absence
}

// NewTable returns an empty table.
func NewTable(timing Timing) *Table {
	return &Table{timing: timing.withDefaults(), entries: make(map[string]*entry), leaving: make(map[string]int64)}
}

// Put adds or replaces a target. Its record follows those put before in the log.
func (t *Table) Put(target fleet.Target, now time.Time) {
	t.records++
	e := t.put(target, now)
	e.lastRecord, e.writtenAfter = t.records, t.priorEnd
}

// PutUnordered adds or replaces a target whose record was not read in the order of the log:
// in a whole registry, or at a peer.
func (t *Table) PutUnordered(target fleet.Target, now time.Time) {
	e := t.put(target, now)
	e.lastRecord, e.previousRecord = 0, 0
}

func (t *Table) put(target fleet.Target, now time.Time) *entry {
	e := &entry{target: target, readAt: now}
	if known := t.entries[target.ID]; known != nil {
		e.previousRecord = known.lastRecord
	}
	if target.ColdRemaining > 0 {
		e.coldUntil = now.Add(target.ColdRemaining)
	}
	t.entries[target.ID] = e
	return e
}

// Remove removes a target whose record is gone from the store. If the record may have only
// expired since the store was away, the target stays usable until the end of the grace period.
// Remove reports whether the record expired, by the order of the log: others were written
// again and again since its last one.
func (t *Table) Remove(id string, now time.Time) (expired bool) {
	e := t.entries[id]
	if e == nil || e.isMissing() {
		return false
	}
	expired = t.isLongSilent(e)
	t.removeOrKeep(e, now, t.absence.mayExplain(t, e, expired, now))
	return expired
}

// RemoveAsTold is like Remove, for what a peer has read. expired is what it has told of the
// record.
func (t *Table) RemoveAsTold(id string, expired bool, now time.Time) {
	e := t.entries[id]
	if e == nil || e.isMissing() {
		return
	}
	t.removeOrKeep(e, now, t.absence.mayExplainTold(e, expired, now))
}

func (t *Table) removeOrKeep(e *entry, now time.Time, keep bool) {
	if !keep || e.target.Draining || t.isLeaving(e.target) {
		delete(t.entries, e.target.ID)
		return
	}
	e.missingUntil = t.absence.graceEnd(now, t.timing.Grace)
}

// isLongSilent reports whether at least a third of the targets that were written since a
// target's last record were written twice. A record expires after three heartbeat intervals,
// and a target that leaves takes it away within one.
func (t *Table) isLongSilent(e *entry) bool {
	once, twice := 0, 0
	for _, other := range t.entries {
		if other == e || other.isMissing() || other.lastRecord <= e.lastRecord {
			continue
		}
		once++
		if other.previousRecord > e.lastRecord {
			twice++
		}
	}
	return once > 0 && silentFraction*twice >= once
}

// silentFraction is one over the fraction of the other targets that must have been written
// twice.
const silentFraction = 3

// IsMissing reports whether a target without a record stays usable for the grace period.
func (t *Table) IsMissing(id string) bool {
	e := t.entries[id]
	return e != nil && e.isMissing()
}

// MarkLeaving records that an incarnation of a target, which started at the given time,
// has said that it leaves, whatever its record says. It reports whether that is new.
func (t *Table) MarkLeaving(id string, born int64) bool {
	if known, ok := t.leaving[id]; ok && known == born {
		return false
	}
	if len(t.leaving) >= maxLeaving {
		maps.DeleteFunc(t.leaving, func(id string, _ int64) bool { return t.entries[id] == nil })
	}
	t.leaving[id] = born
	return true
}

func (t *Table) isLeaving(target fleet.Target) bool {
	born, ok := t.leaving[target.ID]
	return ok && born == target.Born
}

// Expire drops the targets whose record is still missing at the end of the grace period, and
// reports whether there were any.
func (t *Table) Expire(now time.Time) bool {
	before := len(t.entries)
	maps.DeleteFunc(t.entries, func(_ string, e *entry) bool { return e.isMissing() && !now.Before(e.missingUntil) })
	return len(t.entries) < before
}

// Usable is a target that may get requests.
type Usable struct {
	fleet.Target
	ColdUntil time.Time
}

// Usable returns the targets that may get requests, by service: those that are not
// draining, have not said that they leave, and whose failure domain is not evacuated, that is, taken out of service.
func (t *Table) Usable(evacuated map[string]bool) map[string][]Usable {
	usable := make(map[string][]Usable)
	for _, e := range t.entries {
		if e.target.Draining || t.isLeaving(e.target) || evacuated[e.target.Domain] {
			continue
		}
		usable[e.target.Service] = append(usable[e.target.Service], Usable{e.target, e.coldUntil})
	}
	return usable
}

// All returns every known target, whether it may get requests or not.
func (t *Table) All() []fleet.Target {
	all := make([]fleet.Target, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.target)
	}
	return all
}
