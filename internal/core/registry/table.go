package registry

import (
	"maps"
	"time"

	"quetzalbend/internal/core/fleet"
)

// GracePeriod is how long a target whose record is missing stays usable after
// the store has become available again: by then, live targets have rewritten the
// records that expired during the outage.
const GracePeriod = 2200 * time.Millisecond

// maxLeaving is the number of leaving targets beyond which those without a record are
// forgotten.
const maxLeaving = 1000

type entry struct {
	target    fleet.Target
	coldUntil time.Time
	missing   bool // record removed during an outage of the store or the grace period after it
}

// Table holds the targets by id. It is not safe for concurrent use.
type Table struct {
	entries     map[string]*entry
	leaving     map[string]int64 // start, by id, of the incarnations that have said that they leave
	unavailable bool             // the last read failed
	graceUntil  time.Time        // end of the grace period after an outage of the store
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[string]*entry), leaving: make(map[string]int64)}
}

// Put adds or replaces a target.
func (t *Table) Put(target fleet.Target, now time.Time) {
	e := &entry{target: target}
	if target.ColdRemaining > 0 {
		e.coldUntil = now.Add(target.ColdRemaining)
	}
	t.entries[target.ID] = e
}

// Remove removes a target whose record is missing. During an outage of the store and
// in the grace period after it, the record may be missing only because it expired. The
// target therefore stays usable until the end of the grace period, unless it is
// draining.
func (t *Table) Remove(id string, now time.Time) {
	e := t.entries[id]
	if e == nil {
		return
	}
	if t.inGracePeriod(now) && !e.target.Draining && !t.isLeaving(e.target) {
		e.missing = true
		return
	}
	delete(t.entries, id)
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

// ReadFailed records that the registry could not be read.
func (t *Table) ReadFailed() { t.unavailable = true }

// ReadSucceeded records that the registry was read. After the grace period it drops
// the targets whose record is still missing, and reports whether there were any.
func (t *Table) ReadSucceeded(now time.Time) bool {
	if t.unavailable {
		t.unavailable = false
		t.graceUntil = now.Add(GracePeriod)
	}
	if t.inGracePeriod(now) {
		return false
	}
	before := len(t.entries)
	maps.DeleteFunc(t.entries, func(_ string, e *entry) bool { return e.missing })
	return len(t.entries) < before
}

func (t *Table) inGracePeriod(now time.Time) bool { return t.GraceRemaining(now) > 0 }

// GraceRemaining returns the rest of the grace period, in which a record may be
// missing only because it expired in an outage of the store. While the store is
// unavailable, that is the whole grace period.
func (t *Table) GraceRemaining(now time.Time) time.Duration {
	if t.unavailable {
		return GracePeriod
	}
	return max(0, t.graceUntil.Sub(now))
}

// StoreRestored records that the store came back from an older copy, in which records
// are missing that live targets will rewrite.
func (t *Table) StoreRestored(now time.Time) { t.ExtendGrace(now.Add(GracePeriod)) }

// ExtendGrace extends the grace period to the given time, for an outage of the store
// that another gateway has seen.
func (t *Table) ExtendGrace(until time.Time) {
	if until.After(t.graceUntil) {
		t.graceUntil = until
	}
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
