package rest

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxRest      = time.Hour       // longest rest that a target is believed to mean
	trialTimeout = 2 * time.Second // after which another request may show whether a target serves again
	lifetime     = time.Minute     // after the end of a rest in which a target is first sent one request
	maxTargets   = 4096
)

type target struct {
	until time.Time // end of the rest
	trial time.Time // when the request was sent that shows whether the target serves again; zero: none is out
}

func (t *target) allow(now time.Time) bool {
	return !now.Before(t.until) && (t.trial.IsZero() || now.Sub(t.trial) >= trialTimeout)
}

// Table holds the targets that have asked for a rest. It has one lock, since it is empty
// unless targets are in need.
type Table struct {
	size    atomic.Int64 // number of targets
	mu      sync.Mutex
	targets map[uint64]*target
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{targets: make(map[uint64]*target)} }

// Empty reports whether no target has asked for a rest.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Ask records that a target wants no requests for a time. It reports whether the target
// was not at rest.
func (t *Table) Ask(id uint64, wait time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[id]
	if known == nil {
		t.expire(now)
		if len(t.targets) >= maxTargets {
			return false
		}
		known = &target{}
		t.targets[id] = known
		t.size.Store(int64(len(t.targets)))
	}
	began := !now.Before(known.until)
	if until := now.Add(min(wait, maxRest)); until.After(known.until) {
		known.until = until
	}
	known.trial = time.Time{}
	return began
}

// expire removes the targets whose rest ended a lifetime ago. The caller holds the lock.
func (t *Table) expire(now time.Time) {
	for id, known := range t.targets {
		if now.Sub(known.until) > lifetime {
			delete(t.targets, id)
		}
	}
	t.size.Store(int64(len(t.targets)))
}

// Allow reports whether a target may be sent a request now.
func (t *Table) Allow(id uint64, now time.Time) bool {
	if t.Empty() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[id]
	return known == nil || known.allow(now)
}

// RecordSent records that a target is sent a request.
func (t *Table) RecordSent(id uint64, now time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.targets[id]; known != nil {
		known.trial = now
	}
}

// RecordServed records that a target has answered a request that was sent after its rest,
// and asked for none.
func (t *Table) RecordServed(id uint64, now time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.targets[id]; known != nil && !now.Before(known.until) {
		delete(t.targets, id)
		t.size.Store(int64(len(t.targets)))
	}
}

// RecordUnanswered records that a request to a target has ended without an answer.
func (t *Table) RecordUnanswered(id uint64) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.targets[id]; known != nil {
		known.trial = time.Time{}
	}
}

// Remaining returns how long a target is at rest from now on, 0 if it is not.
func (t *Table) Remaining(id uint64, now time.Time) time.Duration {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[id]
	if known == nil {
		return 0
	}
	return max(0, known.until.Sub(now))
}
