package limits

import "time"

// Parameters of shares and demands.
const (
	// shareTolerance makes up for rounding in shares that are whole numbers.
	shareTolerance = 1e-9
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
	key        uint64 // hash of the name
	limits     Amounts
	burstTime  time.Duration // see Subject.BurstTime
	share      Amounts
	withheld   float64 // of the share of Concurrent, for requests that run at peers beyond theirs
	sharesView *view   // from which share was computed
	buckets    [resources]bucket
	running    int
	borrowed   int       // of the running requests, those on a permit of a peer
	lent       int       // permits
	lastUsed   time.Time // of the last request

	lendersAskedAgainAt time.Time // peers are not asked for permits before

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
	excess float64 // see Usage.Excess
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
// report. Each entry counts on one running request, so that it has a share of one.
func (s *subject) assumedDemand(r Resource, total int) float64 {
	least := assumedFraction * s.limits[r] / float64(total)
	if r == Concurrent {
		return max(1, least)
	}
	return least
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
		if r == Concurrent && s.lends(v.total) {
			s.share[r] = s.lendingShare(v)
			continue
		}
		own := s.confirmedDemand(r, v.confirmed(r), newest, v.total)
		if len(v.peers) == 0 {
			own = s.limits[r]
		}
		s.share[r] = min(s.shareAmong(r, v, own, transitional), s.shareAmong(r, v, own, present))
	}
	s.withheld = 0
	for _, peer := range v.peers {
		if report, ok := s.reported(peer.name, peer.received); ok && !s.lends(v.total) {
			s.withheld += report.excess
		}
	}
}

// confirmed returns the newest report whose demands for r all peers are known to have
// taken into account. Requests stay running at a peer when its share of Concurrent
// shrinks, and only its next report names them.
func (v *view) confirmed(r Resource) uint64 {
	if r == Concurrent {
		return min(v.delivered, v.answered)
	}
	return v.delivered
}

// excess returns the running requests beyond the share.
func (s *subject) excess() float64 {
	if s.limits[Concurrent] == 0 {
		return 0
	}
	return max(0, float64(s.used())-s.share[Concurrent])
}

// used returns the permits of this entry that are in use.
func (s *subject) used() int { return s.running - s.borrowed + s.lent }

// lendingShare returns the part of a concurrency limit of which permits are lent.
func (s *subject) lendingShare(v *view) float64 {
	if !v.lentKnown {
		return 0
	}
	return float64(s.part(v.total, v.rank(s.key)))
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
		demand := max(s.assumedDemand(r, v.total), s.reportedDemand(peer.name, peer.received, r))
		peerDemands = append(peerDemands, demand)
	}
	fraction := float64(len(peerDemands)+1) / float64(v.total)
	return Share(s.limits[r]*fraction, own, peerDemands)
}

// reported returns what the last report from a peer has on this subject, or the next one
// that is being stored. Received is the number of the last one.
func (s *subject) reported(peer string, received uint64) (peerDemand, bool) {
	report, ok := s.peerDemands[peer]
	return report, ok && report.number >= received
}

// reportedDemand returns the demand in a peer's last report, 0 if it was not in it.
func (s *subject) reportedDemand(peer string, received uint64, r Resource) float64 {
	if report, ok := s.reported(peer, received); ok {
		return report.demand[r]
	}
	return 0
}

// hasPermit reports whether the share allows one more request to run.
func (s *subject) hasPermit() bool {
	share := s.share[Concurrent]
	if s.withheld > 0 {
		share = min(share, max(1, share-s.withheld))
	}
	return float64(s.used()+1) <= share+shareTolerance
}

// admit admits a request and counts it, or returns the refusal.
func (s *subject) admit(now time.Time, chargeOnly, borrowed bool) *Refusal {
	s.lastUsed = now
	s.offered++
	if !chargeOnly {
		if refusal := s.check(now, borrowed); refusal != nil {
			return refusal
		}
	}
	if s.limits[Requests] > 0 {
		s.buckets[Requests].balance--
	}
	s.running++
	if borrowed {
		s.borrowed++
	}
	s.peak = max(s.peak, s.running)
	return nil
}

// check returns the refusal of a request that exceeds a share, or nil. A request on a
// permit of a peer needs none of this entry's.
func (s *subject) check(now time.Time, borrowed bool) *Refusal {
	if s.limits[Concurrent] > 0 && !borrowed && !s.hasPermit() {
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
	depth := s.depth(r)
	need := 0.0
	if r == Requests {
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

// depth returns what the bucket of a rate can hold.
func (s *subject) depth(r Resource) float64 {
	depth := s.share[r] * s.burstTime.Seconds()
	if r == Requests {
		return max(1, depth)
	}
	return depth
}

func (s *subject) refuse(r Resource, wait time.Duration) *Refusal {
	s.refused[r] = true
	return &Refusal{Code: codes[r], RetryAfter: max(wait, time.Millisecond)}
}

// undo reverts the admission of a request that was refused after all.
func (s *subject) undo(borrowed bool) {
	s.end(borrowed)
	if s.limits[Requests] > 0 {
		s.buckets[Requests].balance++
	}
}

// end counts a request that no longer runs.
func (s *subject) end(borrowed bool) {
	s.running--
	if borrowed {
		s.borrowed--
	}
}

// release ends a request and charges its tokens.
func (s *subject) release(tokens float64, now time.Time, borrowed bool) {
	s.lastUsed = now
	s.end(borrowed)
	s.spent += tokens
	if s.limits[Tokens] > 0 {
		s.refill(Tokens, now)
		s.buckets[Tokens].balance -= tokens
	}
}

// idle reports whether the subject can be removed, without more being admitted than if it
// were kept.
func (s *subject) idle(now time.Time) bool {
	if s.running > 0 || s.lent > 0 || now.Sub(s.lastUsed) <= max(idleTimeout, s.burstTime) {
		return false
	}
	return s.asNew(Requests, now) && s.asNew(Tokens, now)
}

// asNew reports whether the bucket of a rate holds what a new one does.
func (s *subject) asNew(r Resource, now time.Time) bool {
	if s.limits[r] == 0 {
		return true
	}
	s.refill(r, now)
	return s.buckets[r].balance >= initialBalance(s.share[r], s.depth(r))
}
