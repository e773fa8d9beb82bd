package limits

import "time"

// Parameters of shares and demands.
const (
	// assumedFraction is the fraction of an equal share that every entry may use, and
	// that its peers assume as its demand, without any report.
	assumedFraction = 0.1
	// defaultBurstTime is the time over which a share may be saved up, unless the
	// subject sets a longer one.
	defaultBurstTime = time.Second
	// refusedGrowth is the factor on the usage, or on the share if that is larger, to
	// estimate the demand after a refusal.
	refusedGrowth = 1.5
	// demandDecay is the weight of the earlier demand against that of the last
	// interval.
	demandDecay = 0.5
	// maxKeptReports is the number of published demands that a subject keeps.
	maxKeptReports = 8
	// idleTimeout is how long a subject without requests is kept.
	idleTimeout = time.Minute
	// maxRetryAfter is the longest wait that a refusal suggests.
	maxRetryAfter = time.Minute
)

// subject is the state of one team, account or credits at this entry.
type subject struct {
	limits     Amounts
	burstTime  time.Duration // see Subject.BurstTime
	share      Amounts
	sharesView *view // from which share was computed
	buckets    [resources]bucket
	running    int
	lastUsed   time.Time // of the last request

	// Since the last report:
	offered       float64 // requests, admitted or not
	spent         float64 // tokens generated
	peak          int     // most requests that ran at once
	refused       [resources]bool
	intervalStart time.Time

	demand      Amounts
	published   [maxKeptReports]published // by report number modulo maxKeptReports
	peerDemands map[string]peerDemand
}

// published is a demand that this entry reported.
type published struct {
	number uint64
	demand Amounts
}

// peerDemand is a demand that a peer reported.
type peerDemand struct {
	number uint64
	demand Amounts
}

// updateDemand computes the demand from the usage and refusals since the last report.
func (s *subject) updateDemand(now time.Time) {
	elapsed := now.Sub(s.intervalStart).Seconds()
	if elapsed <= 0 {
		return
	}
	latest := Amounts{Requests: s.offered / elapsed, Tokens: s.spent / elapsed, Concurrent: float64(s.peak)}
	if s.refused[Tokens] {
		latest[Tokens] = refusedGrowth * max(latest[Tokens], s.share[Tokens])
	}
	if s.refused[Concurrent] {
		latest[Concurrent] = refusedGrowth*max(latest[Concurrent], s.share[Concurrent]) + 1
	}
	for r := range s.demand {
		s.demand[r] = max(latest[r], demandDecay*s.demand[r]+(1-demandDecay)*latest[r])
	}
	s.offered, s.spent, s.peak = 0, 0, s.running
	s.refused = [resources]bool{}
	s.intervalStart = now
}

// publish keeps the demand that a report gives for this subject.
func (s *subject) publish(number uint64, demand Amounts) {
	s.published[number%maxKeptReports] = published{number: number, demand: demand}
}

// assumedDemand returns the demand for r that is assumed of an entry without a
// report.
func (s *subject) assumedDemand(r Resource, total int) float64 {
	return assumedFraction * s.limits[r] / float64(total)
}

// confirmedDemand returns the lowest demand for r that a peer may assume of this
// entry: the lowest in all reports since the newest one that every peer is known to
// have received.
func (s *subject) confirmedDemand(r Resource, delivered, newest uint64, total int) float64 {
	least := s.assumedDemand(r, total)
	if delivered == 0 || newest-delivered >= maxKeptReports {
		return least
	}
	demand := s.published[newest%maxKeptReports].demand[r]
	for number := delivered; number <= newest; number++ {
		report := s.published[number%maxKeptReports]
		if report.number != number {
			return least
		}
		demand = min(demand, report.demand[r])
	}
	return max(demand, least)
}

// computeShares computes the share of each limit for the peers in v. While a peer
// is transitional, the lower of the shares with and without it counts.
func (s *subject) computeShares(v *view, newest uint64) {
	s.sharesView = v
	for r := range resources {
		if s.limits[r] == 0 {
			continue
		}
		own := s.confirmedDemand(r, v.delivered, newest, v.total)
		if len(v.peers) == 0 {
			own = s.limits[r]
		}
		s.share[r] = min(s.shareAmong(r, v, own, transitional), s.shareAmong(r, v, own, present))
	}
}

// shareAmong returns the share of this entry when the limit is divided with the
// peers of at least the wanted presence. Only the part of the limit that belongs to
// these entries is divided.
func (s *subject) shareAmong(r Resource, v *view, own float64, wanted presence) float64 {
	peerDemands := make([]float64, 0, len(v.peers))
	for _, peer := range v.peers {
		if peer.presence < wanted {
			continue
		}
		demand := s.assumedDemand(r, v.total)
		if report, ok := s.peerDemands[peer.name]; ok && report.number == peer.received {
			demand = max(demand, report.demand[r])
		}
		peerDemands = append(peerDemands, demand)
	}
	fraction := float64(len(peerDemands)+1) / float64(v.total)
	return Share(s.limits[r]*fraction, own, peerDemands)
}

// admit admits a request and counts it, or returns the refusal.
func (s *subject) admit(now time.Time, chargeOnly bool) *Refusal {
	s.lastUsed = now
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

// check returns the refusal of a request that exceeds a share, or nil.
func (s *subject) check(now time.Time) *Refusal {
	if s.limits[Concurrent] > 0 && float64(s.running+1) > max(1, s.share[Concurrent]) {
		return s.refuse(Concurrent, defaultBurstTime)
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

// refill refills the bucket of a rate and returns the balance that a request needs.
// That is 0 for tokens, which are charged once their number is known.
func (s *subject) refill(r Resource, now time.Time) float64 {
	depth := s.share[r] * s.burstTime.Seconds()
	need := 0.0
	if r == Requests {
		depth = max(1, depth)
		need = 1
	}
	b := &s.buckets[r]
	b.refill(s.share[r], depth, now)
	if s.burstTime > defaultBurstTime {
		// Usage that is charged but never refused must not push the balance so low that
		// all other usage is refused forever.
		b.balance = max(b.balance, -depth)
	}
	return need
}

func (s *subject) refuse(r Resource, wait time.Duration) *Refusal {
	s.refused[r] = true
	return &Refusal{Code: codes[r], RetryAfter: max(wait, time.Millisecond)}
}

// undo reverts the admission of a request that was refused after all.
func (s *subject) undo() {
	s.running--
	if s.limits[Requests] > 0 {
		s.buckets[Requests].balance++
	}
}

// release ends a request and charges its tokens.
func (s *subject) release(tokens float64, now time.Time) {
	s.lastUsed = now
	s.running--
	s.spent += tokens
	if s.limits[Tokens] > 0 {
		s.refill(Tokens, now)
		s.buckets[Tokens].balance -= tokens
	}
}

// idle reports whether the subject can be removed.
func (s *subject) idle(now time.Time) bool {
	return s.running == 0 && now.Sub(s.lastUsed) > max(idleTimeout, s.burstTime) && s.buckets[Tokens].balance >= 0
}
