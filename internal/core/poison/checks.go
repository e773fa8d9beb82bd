package poison

import (
	"time"

	"quetzalbend/internal/core/registry"
)

// Check is a check of a target that is due.
type Check struct {
	Target registry.Usable
	Hash   uint64 // of its incarnation
	Silent bool   // it has not answered the last check
}

// Due returns the checks that are due, and counts them as begun: Checked must follow.
func (w *Watch) Due(now time.Time) []Check {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []Check
	for hash, t := range w.targets {
		w.dismissBySign(t)
		if t.isForgotten(now) {
			delete(w.targets, hash)
			continue
		}
		if t.ended || t.checking || now.Before(t.nextCheck) || !w.isDoubtful(t, now) {
			continue
		}
		t.checking = true
		due = append(due, Check{t.target, hash, t.silent})
	}
	return due
}

// dismissBySign drops the requests lost at a target that has given a sign of life since.
func (w *Watch) dismissBySign(t *watched) {
	if t.lostStart.IsZero() || t.silent {
		return
	}
	if !w.losses.Alive(t.hash, time.Unix(0, t.lastSign.Load()).Add(-signMargin)) {
		t.lostStart, t.brokenOff = time.Time{}, false
	}
}

// isForgotten reports whether nothing is to be found out about a target any more.
func (t *watched) isForgotten(now time.Time) bool {
	switch {
	case len(t.runs) > 0 || t.checking:
		return false
	case t.ended:
		return now.Sub(t.downAt) > lossLifetime
	case t.silent:
		return now.Sub(t.downAt) > silentRetention
	}
	return t.lostStart.IsZero()
}

// isDoubtful reports whether a target may be down.
func (w *Watch) isDoubtful(t *watched, now time.Time) bool {
	if t.brokenOff || t.silent {
		return true
	}
	since := t.lostStart
	for r := range t.runs {
		if since.IsZero() || r.startedAt.Before(since) {
			since = r.startedAt
		}
	}
	if since.IsZero() {
		return false
	}
	quiet := now.Sub(t.quietSince(since))
	return quiet >= w.stall+stallMargin || quiet >= quietPeriod && w.othersGiveSigns(t, now)
}

// othersGiveSigns reports whether another target of the service has lately given a sign of
// life. If none has, the group may have stalled as a whole.
func (w *Watch) othersGiveSigns(t *watched, now time.Time) bool {
	since := now.Add(-otherSignAge).UnixNano()
	for _, other := range w.targets {
		if other != t && other.target.Service == t.target.Service && other.lastSign.Load() >= since {
			return true
		}
	}
	return false
}

// Checked records the result of a check that began at a time.
func (w *Watch) Checked(check Check, result CheckResult, began, now time.Time) (Finding, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.targets[check.Hash]
	if t == nil {
		return Finding{}, false
	}
	t.checking, t.brokenOff = false, false
	if result == Broken {
		t.broken++
		if t.broken < maxBroken {
			t.brokenOff, t.nextCheck = true, now.Add(brokenInterval)
			return Finding{}, false
		}
		result = Silent
	}
	t.broken = 0
	if result == Silent && t.lastSign.Load() >= began.UnixNano() {
		result, began = Alive, time.Unix(0, t.lastSign.Load())
	}
	switch result {
	case Ended:
		return w.ended(t, now)
	case Silent:
		return w.fellSilent(t, now)
	}
	return w.alive(t, began, now)
}

// Ended records that an incarnation of a target has ended: nothing listens at its address,
// or another target does.
func (w *Watch) Ended(hash uint64, now time.Time) (Finding, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.targets[hash]
	if t == nil || t.ended {
		return Finding{}, false
	}
	return w.ended(t, now)
}

func (w *Watch) ended(t *watched, now time.Time) (Finding, bool) {
	if !t.ended {
		t.ended, t.downAt = true, now
	}
	at := now
	if t.silent {
		at = t.downSince
	}
	t.silent, t.lostStart = false, time.Time{}
	found := Finding{Losses: w.losses.Crashed(t.hash, now), At: at}
	for r := range t.runs {
		if !r.sentLate {
			found.Losses = append(found.Losses, r.loss)
		}
	}
	return found, len(found.Losses) > 0
}

func (w *Watch) fellSilent(t *watched, now time.Time) (Finding, bool) {
	t.heard, t.nextCheck = false, now.Add(silentInterval)
	if t.silent {
		return Finding{}, false
	}
	t.silent, t.downAt = true, now
	var found Finding
	earliest := t.lostStart
	for _, loss := range w.losses.Pending(t.hash, now) {
		found.Losses = append(found.Losses, loss.OfRequest())
	}
	for r := range t.runs {
		if r.sentLate {
			continue
		}
		found.Losses = append(found.Losses, r.loss.OfRequest())
		if earliest.IsZero() || r.startedAt.Before(earliest) {
			earliest = r.startedAt
		}
	}
	t.downSince = t.quietSince(earliest)
	found.At = t.downSince
	return found, len(found.Losses) > 0
}

// alive records that a target answered. A silent one must do so twice: the first answer may
// be that of its next incarnation under the same id, of which the registry does not know yet.
func (w *Watch) alive(t *watched, at, now time.Time) (Finding, bool) {
	if t.silent && !t.heard {
		t.heard, t.nextCheck = true, now.Add(silentInterval)
		return Finding{}, false
	}
	revived := t.silent
	t.sign(at)
	t.silent, t.nextCheck = false, now.Add(aliveInterval)
	if !w.losses.Alive(t.hash, at) {
		t.lostStart = time.Time{}
	}
	return Finding{Revived: revived}, revived
}
