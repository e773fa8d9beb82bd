package poison

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Lifetime is the time after a part's latest crash in which its crashes count.
	Lifetime = 10 * time.Minute
	maxParts = 4096
)

// requestPrefix begins the names of requests among the parts.
const requestPrefix = "request/"

// RequestPart returns the part that stands for a request as a whole, which may be what
// crashes targets. fingerprint identifies the request.
func RequestPart(fingerprint string) string { return requestPrefix + fingerprint }

// IsRequest reports whether a part stands for a request as a whole.
func IsRequest(part string) bool { return strings.HasPrefix(part, requestPrefix) }

// Verdict says how requests with a part may be sent.
type Verdict int

// Values of Verdict.
const (
	Allowed Verdict = iota
	Suspect         // one at a time, by one gateway
	Refused         // not at all
)

var verdictNames = [...]string{"allowed", "suspect", "refused"}

func (v Verdict) String() string { return verdictNames[v] }

// Crash is the end of a target that ran a request with a part.
type Crash struct {
	Target  uint64 // hash of the target's incarnation
	At      time.Time
	Blamed  bool // the request that the target ran was the trial of the part
	Cleared bool // another request with the part was answered afterwards, or the target is alive
}

// Loss is a request that was lost at a target.
type Loss struct {
	Parts  []string // itself and, unless its answer was under way, the shared parts of its prompt
	Blamed []string // those of them to which a crash of the target would be due, see Decision
}

// Evidence holds the crashes of one part.
type Evidence struct {
	Part    string
	Crashes []Crash
}

// Weightiest returns at most n of the crashes: those of trials that are not cleared before
// others that are not, and later ones before earlier ones.
func (e Evidence) Weightiest(n int) []Crash {
	crashes := slices.Clone(e.Crashes)
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), b.At.Compare(a.At))
	})
	return crashes[:min(n, len(crashes))]
}

// Uncleared returns the number of crashes that are not cleared.
func (e Evidence) Uncleared() int {
	count := 0
	for _, crash := range e.Crashes {
		if !crash.Cleared {
			count++
		}
	}
	return count
}

func (c Crash) weight() int {
	switch {
	case c.Cleared:
		return 0
	case c.Blamed:
		return 2
	}
	return 1
}

// Change is a new verdict on a part.
type Change struct {
	Part     string
	From, To Verdict
}

// Table holds the evidence against all parts that are under crashes. It has one lock,
// which a request takes once unless targets crash.
type Table struct {
	size    atomic.Int64 // number of records
	mu      sync.Mutex
	records map[string]*record
	answers answers
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]*record), answers: newAnswers()} }

// RecordCrash records that a target has crashed just now, at which these requests were lost.
func (t *Table) RecordCrash(losses []Loss, target uint64, now time.Time) []Change {
	return t.RecordEarlierCrash(losses, target, now, now)
}

// RecordEarlierCrash is like RecordCrash, for a crash at an earlier time. It counts as cleared
// for the parts that were answered since.
func (t *Table) RecordEarlierCrash(losses []Loss, target uint64, at, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, loss := range losses {
		for _, part := range loss.Parts {
			r := t.getOrCreate(part, now)
			before := r.verdict(now)
			crash := Crash{Target: target, At: at, Blamed: slices.Contains(loss.Blamed, part), Cleared: at.Before(now) && t.answers.after(part, at)}
			if r.add(crash) {
				r.ownAt = now
			}
			changes = appendChange(changes, part, before, r.verdict(now))
		}
	}
	return changes
}

// RecordAlive clears the crash of a target that turned out to be alive.
func (t *Table) RecordAlive(target uint64, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for part, r := range t.records {
		before := r.verdict(now)
		if r.clearOne(target) {
			r.ownAt = now
			changes = appendChange(changes, part, before, r.verdict(now))
		}
	}
	return changes
}

// RecordAnswered clears the crashes so far of these parts, since a request with them is
// being answered.
func (t *Table) RecordAnswered(parts []string, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, part := range parts {
		t.answers.record(part, now)
		r := t.records[part]
		if r == nil {
			continue
		}
		before := r.verdict(now)
		r.sound = true
		if r.clear() {
			r.ownAt = now
		}
		changes = appendChange(changes, part, before, r.verdict(now))
	}
	return changes
}

// Merge adds the evidence of another gateway. A crash after which this gateway has seen
// the part being answered is cleared. If the other gateway does not know that a crash is
// cleared, that counts as observed now, so that it is told.
func (t *Table) Merge(evidence []Evidence, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, e := range evidence {
		if !e.current(now) {
			continue
		}
		r := t.getOrCreate(e.Part, now)
		before := r.verdict(now)
		for _, crash := range e.Crashes {
			reported := crash.Cleared
			crash.Cleared = reported || t.answers.after(e.Part, crash.At)
			r.add(crash)
			if r.crashes[crash.Target].Cleared && !reported {
				r.ownAt = now
			}
		}
		changes = appendChange(changes, e.Part, before, r.verdict(now))
	}
	return changes
}

// current reports whether any of the crashes still counts.
func (e Evidence) current(now time.Time) bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return now.Sub(c.At) <= Lifetime })
}

func appendChange(changes []Change, part string, from, to Verdict) []Change {
	if from == to {
		return changes
	}
	return append(changes, Change{part, from, to})
}

// Observed returns the evidence that this gateway has observed itself since a time.
func (t *Table) Observed(since time.Time) []Evidence {
	return t.evidence(func(r *record) bool { return !r.ownAt.IsZero() && !r.ownAt.Before(since) })
}

// NotAllowed returns the evidence against the parts that are suspect or refused.
func (t *Table) NotAllowed(now time.Time) []Evidence {
	return t.evidence(func(r *record) bool { return r.verdict(now) != Allowed })
}

// Kept returns the evidence that gateways which start must know: against the parts that are
// not allowed, and against requests that the next crash may make suspect.
func (t *Table) Kept(now time.Time) []Evidence {
	return t.evidence(func(r *record) bool { return r.kept(now) })
}

// AnsweredSince reports whether a request with the part was answered since a time.
func (t *Table) AnsweredSince(part string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers.after(part, since)
}

// Verdict returns the verdict on a part.
func (t *Table) Verdict(part string, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[part]
	if r == nil {
		return Allowed
	}
	return r.verdict(now)
}

func (t *Table) evidence(include func(*record) bool) []Evidence {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for part, r := range t.records {
		if include(r) {
			list = append(list, Evidence{part, r.sorted()})
		}
	}
	return list
}

// getOrCreate returns the record of a part. It creates one if there is none or the old one
// has expired. The caller holds the lock.
func (t *Table) getOrCreate(part string, now time.Time) *record {
	r := t.records[part]
	if r == nil || r.expired(now) {
		if r == nil && len(t.records) >= maxParts {
			t.evict(now)
		}
		r = &record{request: IsRequest(part), sound: !t.answers.latest(part).IsZero(), crashes: make(map[uint64]Crash)}
		t.records[part] = r
		t.size.Store(int64(len(t.records)))
	}
	return r
}

// evict removes the expired records or, if there are none, the one whose latest crash is
// the oldest.
func (t *Table) evict(now time.Time) {
	oldest, oldestAt := "", time.Time{}
	for part, r := range t.records {
		if r.expired(now) {
			delete(t.records, part)
		} else if latest := r.latest(); oldest == "" || latest.Before(oldestAt) {
			oldest, oldestAt = part, latest
		}
	}
	if len(t.records) >= maxParts {
		delete(t.records, oldest)
	}
}
