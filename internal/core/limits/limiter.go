package limits

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quetzalbend/internal/core/rendezvous"
)

// Defaults of Config.
const (
	DefaultShards     = 64
	DefaultStaleAfter = 6 * time.Second
	DefaultGuard      = 4 * time.Second
	DefaultMaxReport  = 512
)

// Config configures a Limiter. Zero fields mean the default.
type Config struct {
	Name       string // of this entry, as its peers know it; without it, parts of small concurrency limits are rounded down
	Shards     int
	StaleAfter time.Duration // time without contact after which a peer is absent
	Guard      time.Duration // delay before shares grow; longer than any time between two reports
	MaxReport  int           // subjects in one report
}

// Refusal says why a request is refused.
type Refusal struct {
	Subject    string
	Code       Code
	RetryAfter time.Duration
}

// Usage is the demand of one subject at one entry.
type Usage struct {
	Subject string
	Demand  Amounts
	Excess  float64 // running requests beyond the entry's share of Concurrent
}

// Report is what an entry sends to its peers.
type Report struct {
	Number uint64
	Usage  []Usage
	// Received holds the number of the newest report from each peer that this one takes
	// into account.
	Received map[string]uint64
}

// Limiter enforces the limits of all teams and accounts at one entry. It is safe
// for concurrent use.
type Limiter struct {
	cfg    Config
	seed   maphash.Seed
	shards []shard
	peers  peers
	newest atomic.Uint64 // number of the last report
	view   atomic.Pointer[view]
	loans  loans

	receiving sync.Mutex // held while a report is stored
}

// shard holds some of the subjects under a lock of its own.
type shard struct {
	mu       sync.Mutex
	subjects map[string]*subject
}

// New returns a limiter of an entry without peers.
func New(cfg Config) *Limiter {
	cfg.Shards = cmp.Or(cfg.Shards, DefaultShards)
	cfg.StaleAfter = cmp.Or(cfg.StaleAfter, DefaultStaleAfter)
	cfg.Guard = cmp.Or(cfg.Guard, DefaultGuard)
	cfg.MaxReport = cmp.Or(cfg.MaxReport, DefaultMaxReport)
	l := &Limiter{cfg: cfg, seed: maphash.MakeSeed(), shards: make([]shard, cfg.Shards)}
	l.peers = peers{name: cfg.Name, staleAfter: cfg.StaleAfter, guard: cfg.Guard, byName: make(map[string]*peer)}
	l.loans = loans{lent: make(map[uint64]lentPermit), borrowed: make(map[uint64]Loan)}
	for i := range l.shards {
		l.shards[i].subjects = make(map[string]*subject)
	}
	l.view.Store(&view{total: 1})
	return l
}

// SetPeers sets the names of all other entries, whether they can be reached or not.
func (l *Limiter) SetPeers(now time.Time, names []string) {
	l.peers.set(names, now)
	l.refreshView(now)
}

// refreshView recomputes the view of the peers.
func (l *Limiter) refreshView(now time.Time) {
	l.view.Store(l.peers.viewAt(now, l.newest.Load()))
}

// maxSubjects is the number of subjects of one request: its account, its team
// and the team's credits.
const maxSubjects = 3

// Grant is the admission of a request.
type Grant struct {
	limiter  *Limiter
	subjects [maxSubjects]string
	count    int
	loans    []Loan
}

// Loans returns the permits that admitted the request. They are to be given back once
// the grant is released or cancelled.
func (g *Grant) Loans() []Loan { return g.loans }

// borrowed reports whether the request runs on a lent permit of a subject.
func (g *Grant) borrowed(subject string) bool {
	return slices.ContainsFunc(g.loans, func(loan Loan) bool { return loan.Subject == subject })
}

// Admit admits a request under its account, its team and the team's credits, or
// returns the refusal. A permit that a peer has lent admits it under the concurrency
// limit of the permit's subject. Each grant must be released or cancelled once.
func (l *Limiter) Admit(now time.Time, account, team, credits Subject, loans ...Loan) (*Grant, *Refusal) {
	grant := &Grant{limiter: l, loans: loans}
	for _, wanted := range [maxSubjects]Subject{account, team, credits} {
		if !wanted.Limited() {
			continue
		}
		if refusal := l.admit(now, wanted, grant.borrowed(wanted.Name)); refusal != nil {
			grant.undo()
			return nil, refusal
		}
		grant.subjects[grant.count] = wanted.Name
		grant.count++
	}
	return grant, nil
}

// updateShares computes the shares of a subject, if the view of the peers has changed.
func (l *Limiter) updateShares(s *subject) {
	if v := l.view.Load(); s.sharesView != v {
		s.computeShares(v, l.newest.Load())
	}
}

func (l *Limiter) admit(now time.Time, wanted Subject, borrowed bool) *Refusal {
	shard := l.shardOf(wanted.Name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s := shard.get(wanted, now)
	l.updateShares(s)
	refusal := s.admit(now, wanted.ChargeOnly, borrowed)
	if refusal == nil {
		return nil
	}
	refusal.Subject = wanted.Name
	if wanted.BurstTime > 0 {
		refusal.Code = CodeCreditsPace
	}
	return refusal
}

// Cancel ends the request as if it had not been admitted. It is called instead of
// Release for a request that is refused after all.
func (g *Grant) Cancel() {
	g.undo()
	g.limiter.Drop(g.loans...)
}

func (g *Grant) undo() {
	for _, name := range g.subjects[:g.count] {
		g.limiter.withSubject(name, func(s *subject) { s.undo(g.borrowed(name)) })
	}
}

// Release ends the request and charges the tokens that it generated.
func (g *Grant) Release(now time.Time, tokens int64) {
	for _, name := range g.subjects[:g.count] {
		g.limiter.withSubject(name, func(s *subject) { s.release(float64(tokens), now, g.borrowed(name)) })
	}
	g.limiter.Drop(g.loans...)
}

// Report returns the demands to send to all peers, those largest in relation to
// their limits first, and starts a new interval. It must be called at a steady
// interval of less than Config.Guard.
func (l *Limiter) Report(now time.Time) Report {
	l.takeBack(func(_ uint64, permit lentPermit) bool { return now.Sub(permit.lentAt) > loanTime })
	l.refreshView(now)
	number := l.newest.Load() + 1
	total := l.view.Load().total
	report := Report{Number: number, Received: l.peers.receivedNumbers()}
	relativeDemands := make(map[string]float64)
	l.each(now, func(name string, s *subject) {
		s.updateDemand(now)
		l.updateShares(s)
		relativeDemand := s.relativeDemand(total)
		if relativeDemand > assumedFraction {
			report.Usage = append(report.Usage, Usage{Subject: name, Demand: s.demand, Excess: s.excess()})
			relativeDemands[name] = relativeDemand
		}
	})
	slices.SortFunc(report.Usage, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(relativeDemands[b.Subject], relativeDemands[a.Subject]), cmp.Compare(a.Subject, b.Subject))
	})
	report.Usage = report.Usage[:min(len(report.Usage), l.cfg.MaxReport)]
	for _, usage := range report.Usage {
		l.withSubject(usage.Subject, func(s *subject) { s.publish(number, usage.Demand) })
	}
	l.newest.Store(number)
	l.refreshView(now)
	return report
}

// relativeDemand returns the largest ratio of a demand to an equal share.
func (s *subject) relativeDemand(total int) float64 {
	var relativeDemand float64
	for r, limit := range s.limits {
		if limit > 0 {
			relativeDemand = max(relativeDemand, s.demand[r]*float64(total)/limit)
		}
	}
	return relativeDemand
}

// Delivered records that a peer has received the report with this number.
func (l *Limiter) Delivered(now time.Time, peer string, number uint64) {
	l.peers.recordDelivered(peer, number, now)
	l.refreshView(now)
}

// Receive stores the whole report of a peer.
func (l *Limiter) Receive(now time.Time, peer string, usage []Usage) {
	l.receiving.Lock()
	defer l.receiving.Unlock()
	number := l.peers.nextReport(peer)
	if number == 0 {
		return
	}
	for _, reported := range usage {
		l.recordReport(now, peer, number, reported)
	}
	l.peers.recordReport(peer, now) // only now, so that the report before counts until this one is whole
	l.refreshView(now)
}

// ReceiveNumbers records the number of a peer's report that Receive has stored, and that
// of the newest report of this entry that it takes into account.
func (l *Limiter) ReceiveNumbers(now time.Time, peer string, number, received uint64) {
	l.peers.recordNumbers(peer, number, received)
	l.refreshView(now)
}

// recordReport stores the demand for one subject from a peer's report.
func (l *Limiter) recordReport(now time.Time, peer string, number uint64, usage Usage) {
	shard := l.shardOf(usage.Subject)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s := shard.get(Subject{Name: usage.Subject}, now)
	s.lastUsed = now
	if s.peerDemands == nil {
		s.peerDemands = make(map[string]peerDemand)
	}
	s.peerDemands[peer] = peerDemand{number: number, demand: usage.Demand, excess: usage.Excess}
}

func (l *Limiter) shardOf(name string) *shard {
	return &l.shards[maphash.String(l.seed, name)%uint64(len(l.shards))]
}

// withSubject calls change on the subject with a name, if it exists.
func (l *Limiter) withSubject(name string, change func(*subject)) {
	shard := l.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if s := shard.subjects[name]; s != nil {
		change(s)
	}
}

// each calls visit for all subjects and removes those that are idle.
func (l *Limiter) each(now time.Time, visit func(name string, s *subject)) {
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mu.Lock()
		for name, s := range shard.subjects {
			if s.idle(now) {
				delete(shard.subjects, name)
				continue
			}
			visit(name, s)
		}
		shard.mu.Unlock()
	}
}

// get returns a subject and creates it if there is none. Limits are updated when
// they change; without limits, as in a peer's report, the subject keeps its own.
func (s *shard) get(wanted Subject, now time.Time) *subject {
	found := s.subjects[wanted.Name]
	if found == nil {
		found = &subject{key: rendezvous.Hash(wanted.Name), lastUsed: now, intervalStart: now}
		s.subjects[wanted.Name] = found
	}
	if wanted.Limited() && found.limits != wanted.Limits {
		found.limits = wanted.Limits
		found.burstTime = max(wanted.BurstTime, defaultBurstTime)
		found.sharesView = nil
	}
	return found
}
