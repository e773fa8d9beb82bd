package targetlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/share"
)

// The bounds that the deployments set.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
	graceTime  = 3 * time.Second // after a target first names its limit, in which the limit does not bind
	leastUse   = 0.6             // fraction of the limits that is used while the demand exceeds them
)

const (
	tick     = time.Millisecond
	begin    = time.Second // when the targets begin to name limits
	length   = 20 * time.Second
	runTime  = 300 * time.Millisecond // of a request
	periodic = 60 * time.Millisecond
)

// day is a load and its troubles.
type day struct {
	gateways, targets int
	limit             float64
	limited           int // targets that name the limit
	demand            int // requests per second
	uneven            bool
	burst             time.Duration // between bursts of 0.5 s with ten times the demand; 0: none
	slots             int
	datagramDelay     time.Duration
	lostDatagrams     float64
	restarts          time.Duration // between restarts of a gateway; 0: none
	cuts              time.Duration // between times of 3 s in which a gateway is cut off from the others; 0: none
	incarnations      time.Duration // between replacements of a target by a new incarnation; 0: none
}

type simGateway struct {
	members     *share.Members
	name        string
	table       *Table
	excusedTill time.Time // restarted or cut off
	cutTill     time.Time
}

type arrival struct {
	at      time.Time
	excused bool
}

type simTarget struct {
	id       uint64
	limited  bool
	arrivals []arrival
	running  []time.Time // when they end
	named    time.Time
}

type datagram struct {
	at      time.Time
	to      *simGateway
	from    string
	reports []Report
}

type answer struct {
	at      time.Time
	gateway *simGateway
	target  uint64
	limit   float64
}

type simulation struct {
	day
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	gateways  []*simGateway
	targets   []*simTarget
	ended     []*simTarget
	datagrams []datagram
	answers   []answer
	refused   int
}

func newSimulation(t *testing.T, d day, seed uint64) *simulation {
	s := &simulation{day: d, t: t, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0)}
	for i := range d.gateways {
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprint("g", i), table: NewTable()})
	}
	for i := range d.targets {
		s.targets = append(s.targets, &simTarget{id: uint64(i + 1), limited: i < d.limited})
	}
	return s
}

func (s *simulation) run() {
	start := s.now
	nextPeriodic, burstTill, due := start, start, 0.0
	for s.now.Before(start.Add(length)) {
		rate := float64(s.demand)
		if s.chance(s.burst) {
			burstTill = s.now.Add(500 * time.Millisecond)
		}
		if s.now.Before(burstTill) {
			rate *= 10
		}
		s.troubles()
		s.deliver()
		for due += rate * tick.Seconds(); due >= 1; due-- {
			s.send(s.now.Sub(start) >= begin)
		}
		if !s.now.Before(nextPeriodic) {
			nextPeriodic = s.now.Add(periodic)
			for _, g := range s.gateways {
				s.tell(g)
			}
		}
		s.now = s.now.Add(tick)
	}
}

// gatewaysOf returns the gateways as one of them knows them.
func (s *simulation) gatewaysOf(g *simGateway) Gateways {
	if g.members == nil {
		var names []string
		for _, other := range s.gateways {
			names = append(names, other.name)
		}
		g.members = share.NewMembers(g.name, names)
	}
	return Gateways{Self: g.name, Alive: s.others(g), Members: g.members}
}

func (s *simulation) chance(each time.Duration) bool {
	return each > 0 && s.random.Float64() < float64(tick)/float64(each)
}

func (s *simulation) troubles() {
	g := s.gateways[s.random.IntN(len(s.gateways))]
	if s.chance(s.restarts) {
		g.table = NewTable()
		g.excusedTill = s.now.Add(graceTime)
	}
	if s.chance(s.cuts) {
		g.cutTill = s.now.Add(3 * time.Second)
		g.excusedTill = g.cutTill.Add(graceTime)
	}
	if s.chance(s.incarnations) {
		i := s.random.IntN(len(s.targets))
		s.ended = append(s.ended, s.targets[i])
		s.targets[i] = &simTarget{id: uint64(len(s.targets) + len(s.ended)), limited: s.targets[i].limited}
	}
}

func (s *simulation) deliver() {
	left := s.datagrams[:0]
	for _, d := range s.datagrams {
		if s.now.Before(d.at) {
			left = append(left, d)
			continue
		}
		d.to.table.Merge(d.from, d.reports, s.now)
	}
	s.datagrams = left
	waiting := s.answers[:0]
	for _, a := range s.answers {
		if s.now.Before(a.at) {
			waiting = append(waiting, a)
			continue
		}
		a.gateway.table.Observe(a.target, a.limit, s.now)
	}
	s.answers = waiting
}

// pickGateway returns the gateway that a caller reaches. If the load is uneven, most
// callers reach the first few.
func (s *simulation) pickGateway() *simGateway {
	position := s.random.Float64()
	if s.uneven {
		position *= position
	}
	return s.gateways[int(position*float64(len(s.gateways)))]
}

func (s *simulation) others(g *simGateway) []string {
	var names []string
	for _, other := range s.gateways {
		if other != g && s.reach(g, other) {
			names = append(names, other.name)
		}
	}
	return names
}

func (s *simulation) reach(a, b *simGateway) bool {
	return !s.now.Before(a.cutTill) && !s.now.Before(b.cutTill)
}

// send sends a request to the allowed target with the fewest running requests.
func (s *simulation) send(limitsNamed bool) {
	g := s.pickGateway()
	var best *simTarget
	for _, i := range s.random.Perm(len(s.targets)) {
		target := s.targets[i]
		for len(target.running) > 0 && !target.running[0].After(s.now) {
			target.running = target.running[1:]
		}
		if len(target.running) >= s.slots || best != nil && len(target.running) >= len(best.running) {
			continue
		}
		if g.table.Allow(target.id, func() Gateways { return s.gatewaysOf(g) }, s.now) {
			best = target
		}
	}
	if best == nil {
		s.refused++
		return
	}
	best.running = append(best.running, s.now.Add(runTime))
	best.arrivals = append(best.arrivals, arrival{s.now, s.now.Before(g.excusedTill)})
	limit := 0.0
	if limitsNamed && best.limited {
		limit = s.limit
		if best.named.IsZero() {
			best.named = s.now
		}
	}
	s.answers = append(s.answers, answer{s.now.Add(50 * time.Millisecond), g, best.id, limit})
	if g.table.RecordSent(best.id, s.now) {
		s.tell(g)
	}
}

// tell sends the other gateways a datagram.
func (s *simulation) tell(from *simGateway) {
	reports := from.table.Reports(s.now)
	for _, to := range s.gateways {
		if to != from && len(reports) > 0 && s.reach(from, to) && s.random.Float64() >= s.lostDatagrams {
			delay := time.Duration(s.random.Float64() * 2 * float64(s.datagramDelay))
			s.datagrams = append(s.datagrams, datagram{s.now.Add(delay), to, from.name, reports})
		}
	}
}

func (s *simulation) check() {
	use, limits := 0, 0.0
	for _, target := range append(s.ended, s.targets...) {
		if target.named.IsZero() {
			continue
		}
		most := target.mostInAWindow(target.named.Add(graceTime))
		allowed := int(ruleFactor*s.limit*ruleWindow.Seconds() + ruleSlack)
		assert.Check(s.t, most <= allowed, "%d requests within %s at a target that names %.2f per second, allowed %d", most, ruleWindow, s.limit, allowed)
		for _, a := range target.arrivals {
			if a.at.After(target.named.Add(graceTime)) {
				use++
			}
		}
		limits += s.limit * max(s.now.Sub(target.named.Add(graceTime)).Seconds(), 0)
	}
	s.t.Logf("%d sent, limits %.0f, refused %d", use, limits, s.refused)
	if s.refused > 0 && s.incarnations == 0 {
		assert.Check(s.t, float64(use) >= leastUse*limits, "%d requests sent where the limits took %.0f and %d were refused", use, limits, s.refused)
	}
}

// mostInAWindow returns the largest number of arrivals that are not excused in a window
// that begins at or after a time.
func (target *simTarget) mostInAWindow(since time.Time) int {
	most, first := 0, 0
	var counted []time.Time
	for _, a := range target.arrivals {
		if a.excused || a.at.Before(since) {
			continue
		}
		counted = append(counted, a.at)
		for a.at.Sub(counted[first]) >= ruleWindow {
			first++
		}
		most = max(most, len(counted)-first)
	}
	return most
}

var days = map[string]day{
	"some limited":          {gateways: 6, targets: 16, limit: 2.1, limited: 11, demand: 75, slots: 12, datagramDelay: 3 * time.Millisecond},
	"all limited":           {gateways: 6, targets: 16, limit: 2.1, limited: 16, demand: 75, slots: 12, datagramDelay: 3 * time.Millisecond},
	"low limit":             {gateways: 6, targets: 16, limit: 0.4, limited: 16, demand: 75, slots: 12, datagramDelay: 3 * time.Millisecond},
	"high limit":            {gateways: 6, targets: 16, limit: 5, limited: 16, demand: 200, slots: 12, datagramDelay: 3 * time.Millisecond},
	"plain service":         {gateways: 8, targets: 3, limit: 1.3, limited: 3, demand: 10, slots: 6, datagramDelay: 4 * time.Millisecond},
	"plain service, grown":  {gateways: 36, targets: 4, limit: 4, limited: 4, demand: 33, slots: 6, datagramDelay: 4 * time.Millisecond},
	"low limit, grown":      {gateways: 34, targets: 72, limit: 0.7, limited: 72, demand: 270, slots: 10, datagramDelay: 4 * time.Millisecond},
	"grown":                 {gateways: 34, targets: 72, limit: 2, limited: 72, demand: 270, slots: 10, datagramDelay: 4 * time.Millisecond},
	"bursts":                {gateways: 6, targets: 16, limit: 2, limited: 11, demand: 75, burst: 2 * time.Second, slots: 12, datagramDelay: 5 * time.Millisecond},
	"bursts, grown":         {gateways: 34, targets: 72, limit: 1, limited: 72, demand: 270, burst: 3 * time.Second, slots: 10, datagramDelay: 5 * time.Millisecond},
	"uneven":                {gateways: 8, targets: 16, limit: 1.5, limited: 16, demand: 75, uneven: true, slots: 12, datagramDelay: 3 * time.Millisecond},
	"lost datagrams":        {gateways: 8, targets: 16, limit: 2, limited: 16, demand: 75, slots: 12, datagramDelay: 10 * time.Millisecond, lostDatagrams: 0.3},
	"slow datagrams":        {gateways: 6, targets: 16, limit: 2, limited: 16, demand: 75, slots: 12, datagramDelay: 60 * time.Millisecond},
	"slow datagrams, grown": {gateways: 34, targets: 24, limit: 1, limited: 24, demand: 270, burst: 3 * time.Second, slots: 10, datagramDelay: 60 * time.Millisecond},
	"gateways restart":      {gateways: 6, targets: 16, limit: 2, limited: 16, demand: 75, slots: 12, datagramDelay: 4 * time.Millisecond, restarts: time.Second},
	"gateways cut off":      {gateways: 6, targets: 16, limit: 2, limited: 16, demand: 75, slots: 12, datagramDelay: 4 * time.Millisecond, cuts: 2 * time.Second},
	"targets replaced":      {gateways: 6, targets: 16, limit: 2, limited: 16, demand: 75, slots: 12, datagramDelay: 4 * time.Millisecond, incarnations: 500 * time.Millisecond},
	"all troubles":          {gateways: 8, targets: 16, limit: 1.2, limited: 12, demand: 75, burst: 4 * time.Second, uneven: true, slots: 12, datagramDelay: 8 * time.Millisecond, lostDatagrams: 0.1, restarts: 3 * time.Second, cuts: 5 * time.Second, incarnations: 2 * time.Second},
}

const seedsADay = 2

func TestTargetGetsNoMoreThanItNamesAndItsLimitIsUsed(t *testing.T) {
	for name, d := range days {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedsADay) {
				s := newSimulation(t, d, seed)
				s.run()
				s.check()
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}
