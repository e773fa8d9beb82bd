package registry

import (
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
	entries  map[string]*entry
	away     bool      // the last read failed
	returned time.Time // first read that succeeded after a failure
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*entry)} }

// Put records what a target said of itself.
func (t *Table) Put(target fleet.Target, now time.Time) {
	e := &entry{target: target}
	if target.Cold > 0 {
		e.coldUntil = now.Add(target.Cold)
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

// Replace takes the records of the whole registry: targets that are missing
// from them are removed.
func (t *Table) Replace(targets []fleet.Target, now time.Time) {
	present := make(map[string]bool, len(targets))
	for _, target := range targets {
		present[target.ID] = true
		t.Put(target, now)
	}
	for id := range t.entries {
		if !present[id] {
			t.Remove(id, now)
		}
	}
}

// ReadFailed records that the registry could not be read.
func (t *Table) ReadFailed() { t.away = true }

// ReadSucceeded records that the registry was read, and drops lapsed targets
// whose grace period is over.
func (t *Table) ReadSucceeded(now time.Time) {
	if t.away {
		t.away = false
		t.returned = now
	}
	if t.settling(now) {
		return
	}
	for id, e := range t.entries {
		if e.lapsed {
			delete(t.entries, id)
		}
	}
}

func (t *Table) settling(now time.Time) bool {
	return t.away || !t.returned.IsZero() && now.Sub(t.returned) < lapseGrace
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
