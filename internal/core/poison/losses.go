package poison

import (
	"slices"
	"sync"
	"time"
)

// lossLifetime is how long a lost request waits for the news that its target has crashed,
// and how long a crash is remembered for requests that are found lost later.
const lossLifetime = 6 * time.Second

// Losses holds the requests that were lost at a target without an answer, until it is
// known whether the target crashed or only lost the answers.
type Losses struct {
	mu      sync.Mutex
	targets map[uint64]*targetLosses // by hash of the target's incarnation
}

type targetLosses struct {
	lost      []timedLoss
	crashedAt time.Time // zero: not known to have crashed
}

type timedLoss struct {
	Loss
	at time.Time
}

// NewLosses returns an empty Losses.
func NewLosses() *Losses { return &Losses{targets: make(map[uint64]*targetLosses)} }

// Add records a lost request. It reports whether the target is already known to have
// crashed, in which case the request is not kept.
func (l *Losses) Add(target uint64, lost Loss, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.target(target, now)
	if !t.crashedAt.IsZero() {
		return true
	}
	t.lost = append(t.lost, timedLoss{lost, now})
	return false
}

// Crashed records that a target has crashed, and returns the requests that were lost at
// it.
func (l *Losses) Crashed(target uint64, now time.Time) []Loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.target(target, now)
	t.crashedAt = now
	losses := t.losses()
	t.lost = nil
	return losses
}

// Alive records that a target was alive at a time. What was lost before then was not lost
// by a crash. Alive reports whether other requests were lost there since.
func (l *Losses) Alive(target uint64, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[target]
	if t == nil {
		return false
	}
	t.lost = slices.DeleteFunc(t.lost, func(lost timedLoss) bool { return lost.at.Before(at) })
	return len(t.lost) > 0
}

// Pending returns the requests lost at a target of which it is not known whether it crashed.
func (l *Losses) Pending(target uint64, now time.Time) []Loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target(target, now).losses()
}

// target returns what is known of a target, without what is too old. The caller holds the
// lock.
func (l *Losses) target(target uint64, now time.Time) *targetLosses {
	for other, t := range l.targets {
		t.expire(now)
		if len(t.lost) == 0 && t.crashedAt.IsZero() {
			delete(l.targets, other)
		}
	}
	t := l.targets[target]
	if t == nil {
		t = &targetLosses{}
		l.targets[target] = t
	}
	return t
}

func (t *targetLosses) losses() []Loss {
	losses := make([]Loss, len(t.lost))
	for i, lost := range t.lost {
		losses[i] = lost.Loss
	}
	return losses
}

func (t *targetLosses) expire(now time.Time) {
	t.lost = slices.DeleteFunc(t.lost, func(lost timedLoss) bool { return now.Sub(lost.at) > lossLifetime })
	if now.Sub(t.crashedAt) > lossLifetime {
		t.crashedAt = time.Time{}
	}
}
