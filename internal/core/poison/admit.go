package poison

import (
	"slices"
	"strconv"
	"time"

	"quetzalbend/internal/core/rendezvous"
)

const (
	// trialSpacing is the least time between two trials of a part, and from the latest
	// crash of any suspect part to a trial.
	trialSpacing = time.Second
	// sharedTrialSpacing applies to a request with several suspect parts, and also counts
	// from the beginning of the turn. It is longer, so that a request with only one of
	// them, which tells more, comes first.
	sharedTrialSpacing = 2 * time.Second
	// turn is how long a gateway sends the trials, until another one does. Callers may
	// send a gateway no requests with the part.
	turn = 3 * time.Second
	// requestTurn and requestTrialWindow replace turn for a request as a whole. A trial is
	// sent in the window from trialSpacing at the beginning of a turn: before the next
	// gateway's turn it is known what has become of it, also if the target went dark.
	requestTurn        = 6 * time.Second
	requestTrialWindow = 3 * time.Second
	// doubtPeriod is the time after a lost trial in which it is found out whether the target
	// went down.
	doubtPeriod = 3 * time.Second
	// maxTrial is the time after which a trial counts as ended.
	maxTrial = 10 * time.Second
	// togetherAge is the time in which two suspect parts must not have been seen apart to
	// be blamed together.
	togetherAge = 10 * time.Second
)

// trial is the latest request that was sent with a suspect part.
type trial struct {
	startedAt time.Time
	running   bool
	doubtful  time.Time // until when it is not known what has become of it
}

// Decision says whether a request may be sent.
type Decision struct {
	Verdict    Verdict
	Part       string        // that is not allowed
	Trial      bool          // the request may be sent although a part is suspect; EndTrial must follow
	Blamed     []string      // of a trial: the parts to which a crash is due
	RetryAfter time.Duration // until another request with the part may be sent
}

// MaySend reports whether the request may be sent.
func (d Decision) MaySend() bool { return d.Verdict == Allowed || d.Trial }

// Admit decides whether a request with these parts may be sent. tries reports whether
// this gateway sends the trials in a turn.
func (t *Table) Admit(parts []string, tries func(turn int64) bool, now time.Time) Decision {
	if t.size.Load() == 0 {
		return Decision{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var suspects []string
	for _, part := range parts {
		r := t.records[part]
		if r == nil {
			continue
		}
		switch r.verdict(now) {
		case Refused:
			return Decision{Verdict: Refused, Part: part, RetryAfter: r.latest().Add(Lifetime).Sub(now)}
		case Suspect:
			suspects = append(suspects, part)
		case Allowed:
		}
	}
	if len(suspects) == 0 {
		return Decision{}
	}
	decision := Decision{Verdict: Suspect, Part: suspects[0], RetryAfter: trialSpacing}
	if len(suspects) == 1 {
		t.records[suspects[0]].aloneAt = now
	}
	sinceCrash := now.Sub(t.latestSuspected(now))
	if t.mayTry(suspects, sinceCrash, now) && tries(int64(sinceCrash/turnOf(suspects))) {
		decision.Trial = true
		decision.Blamed = t.blame(suspects, now)
		for _, part := range suspects {
			t.records[part].trial = trial{startedAt: now, running: true}
		}
	}
	return decision
}

// latestSuspected returns the time of the latest crash of any suspect part, from which
// all gateways count the turns. The caller holds the lock.
func (t *Table) latestSuspected(now time.Time) time.Time {
	var latest time.Time
	for _, r := range t.records {
		if at := r.latest(); at.After(latest) && r.verdict(now) == Suspect {
			latest = at
		}
	}
	return latest
}

// blame returns the suspect parts of a trial to which a crash is due. Parts that are also
// seen alone are not blamed together with others: they get trials of their own. The
// caller holds the lock.
func (t *Table) blame(suspects []string, now time.Time) []string {
	if len(suspects) == 1 {
		return suspects
	}
	return slices.DeleteFunc(slices.Clone(suspects), func(part string) bool {
		return now.Sub(t.records[part].aloneAt) <= togetherAge
	})
}

// turnOf returns how long a gateway sends the trials of these parts.
func turnOf(suspects []string) time.Duration {
	if slices.ContainsFunc(suspects, IsRequest) {
		return requestTurn
	}
	return turn
}

// mayTry reports whether a request with these suspect parts may be sent now. The caller
// holds the lock.
func (t *Table) mayTry(suspects []string, sinceCrash time.Duration, now time.Time) bool {
	spacing := trialSpacing
	if len(suspects) > 1 {
		spacing = sharedTrialSpacing
	}
	inTurn := sinceCrash % turnOf(suspects)
	if sinceCrash < trialSpacing || len(suspects) > 1 && inTurn < spacing {
		return false
	}
	if slices.ContainsFunc(suspects, IsRequest) && (inTurn < trialSpacing || inTurn >= requestTrialWindow) {
		return false
	}
	for _, part := range suspects {
		last := t.records[part].trial
		sinceTrial := now.Sub(last.startedAt)
		if last.running && sinceTrial < maxTrial || sinceTrial < spacing || now.Before(last.doubtful) {
			return false
		}
	}
	return true
}

// EndTrial records that the trial with these parts has ended.
func (t *Table) EndTrial(parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if r := t.records[part]; r != nil {
			r.trial.running = false
		}
	}
}

// LoseTrial records that the trial with these parts was lost, and that it is not yet known
// whether its target went down.
func (t *Table) LoseTrial(parts []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if r := t.records[part]; r != nil {
			r.trial.running, r.trial.doubtful = false, now.Add(doubtPeriod)
		}
	}
}

// Tries reports whether self sends the trials in a turn, among itself and the others that
// are alive.
func Tries(turn int64, self string, others []string) bool {
	key := strconv.FormatInt(turn, 10)
	own := rendezvous.Hash(key, self)
	return !slices.ContainsFunc(others, func(other string) bool {
		hash := rendezvous.Hash(key, other)
		return hash > own || hash == own && other < self
	})
}
