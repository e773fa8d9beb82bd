package registry

import (
	"maps"
	"time"

	"quetzalbend/internal/core/fleet"
)

// lapseGrace is how long after the store's return a removed target is still
// used: records that expired while the store was away are written again by then.
const lapseGrace = 2200 * time.Millisecond

type entry struct {
	target    fleet.Target
	coldUntil time.Time
	lapsed    bool // removed while the store was away or had just returned
}

// Table holds the targets by id. It is not safe for concurrent use.
type Table struct {
	entries     map[string]*entry
	away        bool      // the last read failed
	settleUntil time.Time // until then a missing target may only have lapsed
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*entry)} }

// Put records what a target said of itself.
func (t *Table) Put(target fleet.Target, now time.Time) {
	e := &entry{target: target}
	if target.ColdRemaining > 0 {
		e.coldUntil = now.Add(target.ColdRemaining)
	}
	t.entries[target.ID] = e
}

// Remove records that a target's record is gone. While records may only have
// expired in an outage of the store, the target stays usable for a grace period.
func (t *Table) Remove(id string, now time.Time) {
	e := t.entries[id]
	if e == nil {
		return
	}
	if t.settling(now) && !e.target.Draining {
		e.lapsed = true
		return
	}
	delete(t.entries, id)
}

// ReadFailed records that the registry could not be read.
func (t *Table) ReadFailed() { t.away = true }

// ReadSucceeded records that the registry was read, drops lapsed targets whose
// grace period is over, and reports whether there were any.
func (t *Table) ReadSucceeded(now time.Time) bool {
	if t.away {
		t.away = false
		t.settleUntil = now.Add(lapseGrace)
	}
	if t.settling(now) {
		return false
	}
	before := len(t.entries)
	maps.DeleteFunc(t.entries, func(_ string, e *entry) bool { return e.lapsed })
	return len(t.entries) < before
}

func (t *Table) settling(now time.Time) bool { return t.GraceRemaining(now) > 0 }

// GraceRemaining returns the rest of the time in which a missing target may only have
// lapsed while the store was away.
func (t *Table) GraceRemaining(now time.Time) time.Duration {
	if t.away {
		return lapseGrace
	}
	return max(0, t.settleUntil.Sub(now))
}

// ExtendGrace keeps missing targets usable until a time, since they may have lapsed
// in an outage of the store that another gateway has seen.
func (t *Table) ExtendGrace(until time.Time) {
	if until.After(t.settleUntil) {
		t.settleUntil = until
	}
}

// Usable is a target that may get requests.
type Usable struct {
	fleet.Target
	ColdUntil time.Time
}

// Usable returns the targets that may get requests, by service: those that are
// not draining and whose failure domain has not been taken out.
func (t *Table) Usable(out map[string]bool) map[string][]Usable {
	usable := make(map[string][]Usable)
	for _, e := range t.entries {
		if e.target.Draining || out[e.target.Domain] {
			continue
		}
		usable[e.target.Service] = append(usable[e.target.Service], Usable{e.target, e.coldUntil})
	}
	return usable
}

// All returns every target that is known, whether it may get requests or not.
func (t *Table) All() []fleet.Target {
	all := make([]fleet.Target, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.target)
	}
	return all
}
