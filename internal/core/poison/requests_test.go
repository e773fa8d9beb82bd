package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/registry"
)

// The bounds that the deployments set for a request that crashes the targets that run it.
const (
	knownAfter = 3 * time.Second // after the third crash, in which all gateways learn of the request
	third      = 3
	lateRuns   = 3 // runs of the request that may still begin after that
)

// dose is a load, one request that targets do not survive, and how they go down.
type dose struct {
	dark     bool          // targets fall silent instead of ending
	after    time.Duration // from the begin of a run of the request until its target goes down
	gap      time.Duration // between the times that the request comes; 0: it does not come
	copies   int           // that come each time
	patience time.Duration // after which a caller leaves
	attempts int           // of one caller's request
	lockStep bool          // all targets stand still while one is down

	lossy    float64       // share of the datagrams between gateways that are lost
	restarts time.Duration // between times at which a gateway starts again, knowing what the store holds

	sound  int           // sound requests per second
	hot    bool          // all of them are copies of one
	chance time.Duration // between times at which targets go down that no request is to blame for
	domain int           // targets that go down then
}

// The figures of the simulated deployment.
const (
	doseGateways   = 3
	doseTargets    = 16
	soundRun       = 520 * time.Millisecond
	eventGap       = 20 * time.Millisecond
	downtime       = 3 * time.Second
	darkDowntime   = 7 * time.Second
	doseTick       = 5 * time.Millisecond
	exchangeDelay  = 60 * time.Millisecond
	answerOfCheck  = 10 * time.Millisecond
	timeOfCheck    = 500 * time.Millisecond
	stallOfGroup   = 1500 * time.Millisecond
	watchdogOfDose = 1500 * time.Millisecond
)

type doseTarget struct {
	usable    registry.Usable
	hash      uint64
	upAt      time.Time // it goes down until then; zero: it is up
	downSince time.Time
}

type doseRun struct {
	gateway  *doseGateway
	target   *doseTarget
	hash     uint64
	run      *Run
	parts    []string
	bad      bool
	trial    bool
	attempt  int
	began    time.Time
	leavesAt time.Time
	progress time.Duration // of its answer
}

type doseCheck struct {
	check  Check
	began  time.Time
	result CheckResult
	ends   time.Time
}

type doseGateway struct {
	name   string
	table  *Table
	watch  *Watch
	checks []doseCheck
}

type doseSim struct {
	dose
	random   *rand.Rand
	now      time.Time
	gateways []*doseGateway
	stored   *Table // what the store holds
	targets  []*doseTarget
	runs     []*doseRun
	hashes   uint64
	crashes  []time.Time
	late     int
	denied   int // sound requests that were not sent though targets were up
	served   int
	log      []string
}

func newDoseSim(d dose, seed uint64) *doseSim {
	s := &doseSim{dose: d, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), stored: NewTable()}
	for i := range doseGateways {
		s.gateways = append(s.gateways, &doseGateway{name: fmt.Sprint("g", i), table: NewTable(), watch: NewWatch(stallOfGroup)})
	}
	for range doseTargets {
		target := &doseTarget{}
		s.replace(target)
		s.targets = append(s.targets, target)
	}
	return s
}

// replace gives a target a new incarnation.
func (s *doseSim) replace(target *doseTarget) {
	s.hashes++
	target.hash, target.upAt = s.hashes, time.Time{}
	target.usable = registry.Usable{}
	target.usable.ID, target.usable.Service = fmt.Sprint("i-", s.hashes), "model"
}

func (s *doseSim) run(length time.Duration) {
	end, nextExchange, nextBad, nextChance := s.now.Add(length), s.now, s.now.Add(time.Second), s.now.Add(s.chance)
	number, due := 0, 0.0
	for ; s.now.Before(end); s.now = s.now.Add(doseTick) {
		for due += float64(s.sound) * doseTick.Seconds(); due >= 1; due-- {
			number++
			body := "hot"
			if !s.hot {
				body = fmt.Sprint("own", number)
			}
			s.send(&doseRun{gateway: s.anyGateway(), parts: []string{"first", RequestPart(body)}, leavesAt: s.now.Add(8 * time.Second)})
		}
		if s.gap > 0 && !s.now.Before(nextBad) {
			nextBad = s.now.Add(s.gap)
			for range s.copies {
				s.send(&doseRun{gateway: s.anyGateway(), parts: []string{"first", RequestPart("bad")}, bad: true, leavesAt: s.now.Add(s.patience)})
			}
		}
		if s.chance > 0 && !s.now.Before(nextChance) {
			nextChance = s.now.Add(s.chance)
			for _, i := range s.random.Perm(doseTargets)[:s.domain] {
				s.goDown(s.targets[i])
			}
		}
		if s.restarts > 0 && s.random.Float64() < float64(doseTick)/float64(s.restarts) {
			s.restart(s.anyGateway())
		}
		s.work()
		s.check()
		if !s.now.Before(nextExchange) {
			nextExchange = s.now.Add(exchangeDelay)
			s.exchange()
		}
	}
}

// restart starts a gateway again. What it ran is lost.
func (s *doseSim) restart(g *doseGateway) {
	s.runs = slices.DeleteFunc(s.runs, func(r *doseRun) bool { return r.gateway == g })
	g.table, g.watch, g.checks = NewTable(), NewWatch(stallOfGroup), nil
	g.table.Merge(s.stored.Kept(s.now), s.now)
}

func (s *doseSim) anyGateway() *doseGateway { return s.gateways[s.random.IntN(doseGateways)] }

func (t *doseTarget) isDown() bool { return !t.upAt.IsZero() }

func (s *doseSim) goDown(target *doseTarget) {
	if target.isDown() {
		return
	}
	target.upAt, target.downSince = s.now.Add(downtime), s.now
	if s.dark {
		target.upAt = s.now.Add(darkDowntime)
	}
}

// send makes the next attempt of a request, if its gateway admits it.
func (s *doseSim) send(r *doseRun) {
	g := r.gateway
	decision := g.table.Admit(r.parts, func(turn int64) bool { return Tries(turn, g.name, s.otherNames(g)) }, s.now)
	if !decision.MaySend() {
		if !r.bad {
			s.denied++
			s.log = append(s.log, fmt.Sprintf("%s denied by %s: %v", s.now.Format("05.000"), g.name, decision.Part))
		}
		return
	}
	r.trial, r.attempt, r.began, r.progress = decision.Trial, r.attempt+1, s.now, 0
	r.target = s.targets[s.random.IntN(doseTargets)]
	r.hash = r.target.hash
	if r.target.isDown() && !s.dark {
		if found, ok := g.watch.Ended(r.hash, s.now); ok {
			s.record(g, found, r.hash)
		}
		s.endTrial(r, Whole)
		return
	}
	if r.bad && !r.target.isDown() && len(s.crashes) >= third && s.now.Sub(s.crashes[third-1]) > knownAfter {
		s.late++
		s.log = append(s.log, fmt.Sprintf("%s sent by %s, %+v", s.now.Format("05.000"), g.name, decision))
	}
	r.run = g.watch.Begin(r.target.usable, r.hash, Loss{Parts: r.parts, Blamed: decision.Blamed}, s.now)
	s.runs = append(s.runs, r)
}

func (s *doseSim) otherNames(g *doseGateway) []string {
	var names []string
	for _, other := range s.gateways {
		if other != g {
			names = append(names, other.name)
		}
	}
	return names
}

func (s *doseSim) endTrial(r *doseRun, end End) {
	switch {
	case !r.trial:
	case end == Whole:
		r.gateway.table.EndTrial(r.parts)
	default:
		r.gateway.table.LoseTrial(r.parts, s.now)
	}
}

// stalled reports whether the group stands still, since one of its targets went down.
func (s *doseSim) stalled() bool {
	for _, target := range s.targets {
		if s.lockStep && target.isDown() && s.now.Sub(target.downSince) < stallOfGroup {
			return true
		}
	}
	return false
}

func (s *doseSim) work() {
	for _, target := range s.targets {
		if target.isDown() && !s.now.Before(target.upAt) {
			s.replace(target)
		}
	}
	running, stalled := s.runs, s.stalled()
	s.runs = nil
	var again []*doseRun
	for _, r := range running {
		if !s.workOn(r, stalled) {
			s.runs = append(s.runs, r)
			continue
		}
		if r.attempt < max(s.attempts, 1) && s.now.Before(r.leavesAt) && r.progress < soundRun {
			again = append(again, r)
		}
	}
	for _, r := range again {
		s.send(r)
	}
}

// workOn advances an answer by one tick and reports whether the attempt has ended.
func (s *doseSim) workOn(r *doseRun, stalled bool) bool {
	down := r.target.hash != r.hash || r.target.isDown()
	switch {
	case down && !s.dark:
		return s.end(r, CutOff)
	case !s.now.Before(r.leavesAt), down && s.now.Sub(r.began) > watchdogOfDose && r.attempt < s.attempts:
		return s.end(r, Lost)
	case down, stalled:
		return false
	}
	r.progress += doseTick
	if r.bad && r.progress > s.after {
		s.crashes = append(s.crashes, s.now)
		s.goDown(r.target)
		return false
	}
	if r.progress%eventGap == 0 {
		r.run.Sign(s.now)
	}
	if r.progress == 2*eventGap {
		r.run.Answered()
		r.gateway.table.RecordAnswered(r.parts[:1], s.now)
	}
	if r.progress < soundRun {
		return false
	}
	s.served++
	r.gateway.table.RecordAnswered(r.parts, s.now)
	return s.end(r, Whole)
}

func (s *doseSim) end(r *doseRun, end End) bool {
	if found, ok := r.run.End(end, func() bool { return true }, s.now); ok {
		s.record(r.gateway, found, r.hash)
	}
	s.endTrial(r, end)
	return true
}

func (s *doseSim) record(g *doseGateway, found Finding, hash uint64) {
	if found.Revived {
		g.table.RecordAlive(hash, s.now)
		return
	}
	g.table.RecordEarlierCrash(found.Losses, hash, found.At, s.now)
}

// check plays the checks of all gateways.
func (s *doseSim) check() {
	for _, g := range s.gateways {
		for _, due := range g.watch.Due(s.now) {
			c := doseCheck{check: due, began: s.now, result: Alive, ends: s.now.Add(answerOfCheck)}
			for _, target := range s.targets {
				switch {
				case target.hash == due.Hash && target.isDown() && s.dark:
					c.result, c.ends = Silent, s.now.Add(timeOfCheck)
				case target.hash == due.Hash && target.isDown():
					c.result = Ended
				}
			}
			g.checks = append(g.checks, c)
		}
		open := g.checks[:0]
		for _, c := range g.checks {
			if s.now.Before(c.ends) {
				open = append(open, c)
				continue
			}
			if found, ok := g.watch.Checked(c.check, s.resultOf(c), c.began, s.now); ok {
				s.record(g, found, c.check.Hash)
			}
		}
		g.checks = open
	}
}

// resultOf returns the result of a check, which is that of another incarnation if the target
// has been replaced.
func (s *doseSim) resultOf(c doseCheck) CheckResult {
	for _, target := range s.targets {
		if target.hash == c.check.Hash {
			return c.result
		}
	}
	return Ended
}

func (s *doseSim) exchange() {
	for _, from := range s.gateways {
		evidence := append(from.table.Observed(s.now.Add(-300*time.Millisecond)), from.table.Kept(s.now)...)
		s.stored.Merge(from.table.Kept(s.now), s.now)
		for _, to := range s.gateways {
			if to != from && s.random.Float64() >= s.lossy {
				to.table.Merge(evidence, s.now)
			}
		}
	}
}

// A request that targets do not survive was sent to them again and again if its answer was
// under way, if they went dark, or if its caller had left (review/6 and review/10).
func TestRequestThatNoTargetSurvivesIsSoonRefused(t *testing.T) {
	for _, dark := range []bool{false, true} {
		for _, after := range []time.Duration{0, 60 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
			for _, gap := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
				for _, patience := range []time.Duration{600 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
					for _, lockStep := range []bool{false, true} {
						d := dose{dark: dark, after: after, gap: gap, copies: 1, patience: patience, attempts: 2, lockStep: lockStep, sound: 24}
						t.Run(fmt.Sprintf("%+v", d), func(t *testing.T) {
							t.Parallel()
							s := newDoseSim(d, 1)
							s.run(60 * time.Second)
							assert.Assert(t, s.late <= lateRuns, "%d runs later than %s after the third of %d crashes: %v", s.late, knownAfter, len(s.crashes), s.log)
							assert.Assert(t, len(s.crashes) > 0)
						})
					}
				}
			}
		}
	}
}

// The same while datagrams are lost and gateways start again and again.
func TestRequestThatNoTargetSurvivesIsSoonRefusedByGatewaysThatRestart(t *testing.T) {
	for _, dark := range []bool{false, true} {
		for _, gap := range []time.Duration{300 * time.Millisecond, time.Second, 5 * time.Second} {
			for _, lossy := range []float64{0, 0.5} {
				d := dose{
					dark: dark, after: 60 * time.Millisecond, gap: gap, copies: 1, patience: 2 * time.Second, attempts: 2, sound: 24,
					lossy: lossy, restarts: 6 * time.Second,
				}
				t.Run(fmt.Sprintf("%+v", d), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(seedsADay) {
						s := newDoseSim(d, seed)
						s.run(60 * time.Second)
						assert.Assert(t, s.late <= lateRuns, "seed %d: %d runs later than %s after the third of %d crashes: %v", seed, s.late, knownAfter, len(s.crashes), s.log)
					}
				})
			}
		}
	}
}

// Targets go down by chance, one by one or a whole failure domain at once, while all requests
// are copies of one, or each is another one.
func TestSoundRequestsAreNotRefusedForTargetsThatGoDownByChance(t *testing.T) {
	for _, dark := range []bool{false, true} {
		for _, hot := range []bool{false, true} {
			for _, domain := range []int{1, 5} {
				for _, lockStep := range []bool{false, true} {
					d := dose{dark: dark, attempts: 2, sound: 24, hot: hot, chance: 3500 * time.Millisecond, domain: domain, lockStep: lockStep}
					t.Run(fmt.Sprintf("%+v", d), func(t *testing.T) {
						t.Parallel()
						for seed := range uint64(seedsADay) {
							s := newDoseSim(d, seed)
							s.run(60 * time.Second)
							assert.Equal(t, s.denied, 0, "%v", s.log)
							assert.Assert(t, s.served > 1000)
						}
					})
				}
			}
		}
	}
}
