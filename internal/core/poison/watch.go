package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"quetzalbend/internal/core/registry"
)

const (
	// quietPeriod is the time without a sign of life of a target after which it is checked,
	// while other targets of its service give some.
	quietPeriod = 500 * time.Millisecond
	// stallMargin is added to the time for which a group stalls as a whole: after that, a
	// target without a sign of life is checked whatever the others do.
	stallMargin = 100 * time.Millisecond
	// otherSignAge is the age up to which the signs of other targets count.
	otherSignAge = 250 * time.Millisecond
	// signMargin is the time after a loss from which a sign of life tells that the target did
	// not crash: what it sent before may be read late.
	signMargin = 250 * time.Millisecond
	// aliveInterval is the least time from a check that was answered to the next one.
	aliveInterval = time.Second
	// silentInterval is the time between checks of a silent target, and brokenInterval that
	// between checks whose connections break.
	silentInterval = time.Second
	brokenInterval = 100 * time.Millisecond
	maxBroken      = 3 // checks in a row whose connections break, after which a target counts as silent
	// silentRetention is how long a silent target is checked, which may be only cut off.
	silentRetention = 15 * time.Second
)

// CheckResult is what a check of a target has told.
type CheckResult int

// Results of a check.
const (
	Alive  CheckResult = iota // the target answered
	Ended                     // nothing listens at its address, or another target answers there
	Silent                    // no answer in time
	Broken                    // the connection ended without an answer
)

var checkResultNames = [...]string{"alive", "ended", "silent", "broken"}

func (r CheckResult) String() string { return checkResultNames[r] }

// Finding says that a target has gone down, or that a silent one has not.
type Finding struct {
	Losses  []Loss    // of requests that it was running; of a silent target, they hold requests as a whole alone
	At      time.Time // when it went down
	Revived bool      // the target is alive, so what was recorded as its crash is none
}

// Run is a request that was sent to a target, until it ends.
type Run struct {
	watch     *Watch
	target    *watched
	loss      Loss // guarded by the lock of the watch
	startedAt time.Time
	sentLate  bool // the target was known to be down before
}

// watched is a target that runs requests or ran some lately. The lock of the watch guards
// it, except for lastSign.
type watched struct {
	target    registry.Usable
	hash      uint64 // of its incarnation
	runs      map[*Run]bool
	lastSign  atomic.Int64 // latest sign of life in Unix nanoseconds; 0: none
	ended     bool
	silent    bool
	heard     bool      // though silent, it has answered the last check
	downAt    time.Time // when it was found ended or silent
	downSince time.Time // of a silent one: when it went down
	lostStart time.Time // earliest start of the requests lost of which it is not known whether it crashed; zero: none
	checking  bool
	brokenOff bool // a request broke off since the last check
	broken    int  // checks in a row whose connections broke
	nextCheck time.Time
}

// Watch follows the requests that run at targets. It tells which targets must be checked
// since they give no sign of life, and which requests were running at a target that has
// gone down, however they ended: by a broken connection, by time, by their callers, or not
// at all.
type Watch struct {
	stall  time.Duration
	losses *Losses

	mu      sync.Mutex
	targets map[uint64]*watched
}

// NewWatch returns a Watch. stall is the time for which a lock-step group stalls as a whole
// when one of its targets is down.
func NewWatch(stall time.Duration) *Watch {
	return &Watch{stall: stall, losses: NewLosses(), targets: make(map[uint64]*watched)}
}

// Begin records that a request is sent to a target. hash identifies its incarnation.
func (w *Watch) Begin(target registry.Usable, hash uint64, loss Loss, now time.Time) *Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.targets[hash]
	if t == nil {
		t = &watched{target: target, hash: hash, runs: make(map[*Run]bool)}
		w.targets[hash] = t
	}
	r := &Run{watch: w, target: t, loss: loss, startedAt: now, sentLate: t.ended || t.silent}
	t.runs[r] = true
	return r
}

// Target returns the target that the request was sent to.
func (r *Run) Target() registry.Usable { return r.target.target }

// Sign records that the target has sent something of the answer.
func (r *Run) Sign(now time.Time) { r.target.sign(now) }

func (t *watched) sign(at time.Time) {
	for {
		last := t.lastSign.Load()
		if at.UnixNano() <= last || t.lastSign.CompareAndSwap(last, at.UnixNano()) {
			return
		}
	}
}

// Answered records that the answer is under way. If the target goes down, that is no longer
// due to a shared part of the prompt, but may be due to the request as a whole.
func (r *Run) Answered() {
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	r.loss = r.loss.OfRequest()
}

// OfRequest returns the loss without the shared parts of the prompt.
func (l Loss) OfRequest() Loss {
	return Loss{Parts: requestsAmong(l.Parts), Blamed: requestsAmong(l.Blamed)}
}

func requestsAmong(parts []string) []string {
	var requests []string
	for _, part := range parts {
		if IsRequest(part) {
			requests = append(requests, part)
		}
	}
	return requests
}

// End says how a run has ended.
type End int

// Values of End.
const (
	Whole   End = iota // with an answer, or before the target began it
	Lost               // its time is over or its caller has left
	CutOff             // its connection broke
	Unknown            // it tells nothing of its target
)

// End records, once, how the request has ended. usable reports whether the target was to get
// requests until now: the end of one that leaves is planned. If the target is known to be
// down, End returns a finding.
func (r *Run) End(end End, usable func() bool, now time.Time) (Finding, bool) {
	w, t := r.watch, r.target
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.runs[r] {
		return Finding{}, false
	}
	delete(t.runs, r)
	switch {
	case end == Whole:
		return Finding{}, false
	case end == Unknown, r.sentLate, !usable():
		return Finding{}, false
	}
	if w.losses.Add(t.hash, r.loss, now) {
		return Finding{Losses: []Loss{r.loss}, At: now}, true
	}
	if t.lostStart.IsZero() || r.startedAt.Before(t.lostStart) {
		t.lostStart = r.startedAt
	}
	if t.silent {
		return Finding{Losses: []Loss{r.loss.OfRequest()}, At: t.downSince}, true
	}
	if end == CutOff {
		t.brokenOff = true
		t.nextCheck = now
	}
	return Finding{}, false
}

// quietSince returns the later one of a target's last sign of life and the start of a request
// that ran there.
func (t *watched) quietSince(started time.Time) time.Time {
	if last := time.Unix(0, t.lastSign.Load()); last.After(started) {
		return last
	}
	return started
}
