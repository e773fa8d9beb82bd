package limits

import "time"

// Shape of the shares.
const (
	// assumedPart is the part of an equal share that an entry may use, and that
	// others assume it uses, without any report.
	assumedPart = 0.1
	// burst is how long a share may be saved up, unless the subject says more.
	burst = time.Second
	// growth is how much more than it uses a subject asks for once refused.
	growth = 1.5
	// decay weighs the earlier demand against that of the last interval.
	decay = 0.5
	// keptReports is the number of published demands that a subject remembers.
	keptReports = 8
	// idleAfter is how long a subject without use is kept.
	idleAfter = time.Minute
	// maxRetryAfter is the longest wait that a refusal suggests.
	maxRetryAfter = time.Minute
)

// subject is the state of one team or account at this entry.
type subject struct {
	limits  Amounts
	savings time.Duration // how long a share may be saved up
	share   Amounts
	viewed  *view // that share was computed from
	buckets [resources]bucket
	running int
	used    time.Time // of the last request

	// Since the last report:
	offered  float64 // requests asked for
	spent    float64 // tokens generated
	peak     int     // most requests that ran at once
	refused  [resources]bool
	measured time.Time

	demand    Amounts
	published [keptReports]published // by report number modulo keptReports
	others    map[string]reported
}

// published is a demand that this entry reported.
type published struct {
	number uint64
	demand Amounts
}

// reported is a demand that a peer reported.
type reported struct {
	number uint64
	demand Amounts
}

// measure updates the demand from what was asked for since the last report.
func (s *subject) measure(now time.Time) {
	elapsed := now.Sub(s.measured).Seconds()
	if elapsed <= 0 {
		return
	}
	latest := Amounts{Requests: s.offered / elapsed, Tokens: s.spent / elapsed, Concurrent: float64(s.peak)}
	if s.refused[Tokens] {
		latest[Tokens] = growth * max(latest[Tokens], s.share[Tokens])
	}
	if s.refused[Concurrent] {
		latest[Concurrent] = growth*max(latest[Concurrent], s.share[Concurrent]) + 1
	}
	for r := range s.demand {
		s.demand[r] = max(latest[r], decay*s.demand[r]+(1-decay)*latest[r])
	}
	s.offered, s.spent, s.peak = 0, 0, s.running
	s.refused = [resources]bool{}
	s.measured = now
}

// publish remembers what a report says of this subject.
func (s *subject) publish(number uint64, demand Amounts) {
	s.published[number%keptReports] = published{number: number, demand: demand}
}

// assumed returns the amount of r that needs no report.
func (s *subject) assumed(r Resource, total int) float64 {
	return assumedPart * s.limits[r] / float64(total)
}

// known returns the least demand for r that a peer may assume of this entry:
// the least of all reports since the one that every peer is known to hold.
func (s *subject) known(r Resource, delivered, newest uint64, total int) float64 {
	least := s.assumed(r, total)
	if delivered == 0 || newest-delivered >= keptReports {
		return least
	}
	demand := s.published[newest%keptReports].demand[r]
	for number := delivered; number <= newest; number++ {
		report := s.published[number%keptReports]
		if report.number != number {
			return least
		}
		demand = min(demand, report.demand[r])
	}
	return max(demand, least)
}

// computeShares divides the limits by the demands that v shows.
func (s *subject) computeShares(v *view, newest uint64) {
	s.viewed = v
	for r := range resources {
		if s.limits[r] == 0 {
			continue
		}
		own := s.known(r, v.delivered, newest, v.total)
		if len(v.peers) == 0 {
			own = s.limits[r]
		}
		s.share[r] = min(s.shareOf(r, v, own, changing), s.shareOf(r, v, own, present))
	}
}

// shareOf divides the part of the limit that belongs to this entry and the
// peers that count at least as wanted.
func (s *subject) shareOf(r Resource, v *view, own float64, wanted presence) float64 {
	others := make([]float64, 0, len(v.peers))
	for _, peer := range v.peers {
		if peer.presence < wanted {
			continue
		}
		demand := s.assumed(r, v.total)
		if report, ok := s.others[peer.name]; ok && report.number == peer.received {
			demand = max(demand, report.demand[r])
		}
		others = append(others, demand)
	}
	part := float64(len(others)+1) / float64(v.total)
	return Share(s.limits[r]*part, own, others)
}

// admit counts a request in, or returns why not.
func (s *subject) admit(now time.Time, chargeOnly bool) *Refusal {
	s.used = now
	s.offered++
	if !chargeOnly {
		if refusal := s.check(now); refusal != nil {
			return refusal
		}
	}
	if s.limits[Requests] > 0 {
		s.buckets[Requests].balance--
	}
	s.running++
	s.peak = max(s.peak, s.running)
	return nil
}

// check returns why a request is over a share, or nil.
func (s *subject) check(now time.Time) *Refusal {
	if s.limits[Concurrent] > 0 && float64(s.running+1) > max(1, s.share[Concurrent]) {
		return s.refuse(Concurrent, burst)
	}
	for _, r := range []Resource{Tokens, Requests} {
		if s.limits[r] == 0 {
			continue
		}
		need := s.refill(r, now)
		if s.buckets[r].balance < need {
			return s.refuse(r, s.buckets[r].wait(need, s.share[r]))
		}
	}
	return nil
}

// refill brings the bucket of a rate up to date and returns the balance that a
// request needs. Tokens are charged when they are known.
func (s *subject) refill(r Resource, now time.Time) float64 {
	depth := s.share[r] * s.savings.Seconds()
	need := 0.0
	if r == Requests {
		depth = max(1, depth)
		need = 1
	}
	b := &s.buckets[r]
	b.refill(s.share[r], depth, now)
	if s.savings > burst {
		// Use that is never refused must not put off the rest for ever.
		b.balance = max(b.balance, -depth)
	}
	return need
}

func (s *subject) refuse(r Resource, wait time.Duration) *Refusal {
	s.refused[r] = true
	return &Refusal{Code: codes[r], RetryAfter: max(wait, time.Millisecond)}
}

// undo takes back an admission of a request that another subject refused.
func (s *subject) undo() {
	s.running--
	if s.limits[Requests] > 0 {
		s.buckets[Requests].balance++
	}
}

// release counts a request out and charges its tokens.
func (s *subject) release(tokens float64, now time.Time) {
	s.used = now
	s.running--
	s.spent += tokens
	if s.limits[Tokens] > 0 {
		s.refill(Tokens, now)
		s.buckets[Tokens].balance -= tokens
	}
}

// idle reports whether the subject can be forgotten.
func (s *subject) idle(now time.Time) bool {
	return s.running == 0 && now.Sub(s.used) > max(idleAfter, s.savings) && s.buckets[Tokens].balance >= 0
}
