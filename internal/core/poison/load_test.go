package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The bounds that the deployments set.
const (
	toldAfter      = 3 * time.Second // after the fifth crash, in which all gateways learn of the part
	lateSends      = 3               // requests with the part that may be sent after that
	fifth          = 5               // crashes after which the part must be known
	leastBegun     = 0.5             // fraction of the sound requests with the same first part that begin
	countedFirst   = 20              // requests with a first part from which its fraction counts
	poisonPart     = "bad"
	tick           = 5 * time.Millisecond
	exchangePeriod = 60 * time.Millisecond
)

// day is a load and its troubles.
type day struct {
	gateways, replicas int
	lockStep           bool // a crash stops all replicas, and their requests are lost 1.5 s later
	sound              int  // requests per second
	poison             time.Duration
	poisonFirst        bool          // the part that crashes replicas comes first, so that nothing is shared with sound requests
	cutAnswers         float64       // fraction of the answers that are lost although the replica lives
	crashes            time.Duration // between crashes of random replicas that no request causes; 0: none
	domainLoss         time.Duration // between crashes of a third of the replicas at once; 0: none
	restarts           time.Duration // between restarts of a gateway, with an empty table; 0: none
	cutOff             time.Duration // between times of 3 s in which a gateway does not hear from the others; 0: none
	lostDatagrams      float64
	hotParts           int // middle parts that sound requests share
}

type simRequest struct {
	parts     []string
	bad       bool
	gateway   int
	trial     bool
	blamed    []string
	begins    time.Time // of the answer
	answered  time.Time // when the answer is under way
	ends      time.Time
	cutAt     time.Time // when the answer is lost although the replica lives; zero: never
	confirmed bool
}

type simReplica struct {
	incarnation uint64
	downUntil   time.Time
	running     []*simRequest
}

type simGateway struct {
	name        string
	table       *Table
	losses      *Losses
	startedAt   time.Time
	cutOffUntil time.Time
}

// simulation plays a day with the table of each gateway.
type simulation struct {
	day
	t            *testing.T
	random       *rand.Rand
	now          time.Time
	gateways     []*simGateway
	replicas     []*simReplica
	incarnations uint64
	stalledUntil time.Time // the group's requests are lost then
	openAt       time.Time // from which the group takes requests
	crashes      []time.Time
	late         int
	due          float64        // sound requests to be sent
	begun        map[string]int // sound requests after the crashes, by first part: those that Admit allowed
	denied       map[string]int
	log          []string
}

func newSimulation(t *testing.T, d day, seed uint64) *simulation {
	s := &simulation{
		day: d, t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		begun: make(map[string]int), denied: make(map[string]int),
	}
	for i := range d.gateways {
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprint("g", i)})
		s.restart(i)
	}
	for range d.replicas {
		s.replicas = append(s.replicas, &simReplica{incarnation: s.nextIncarnation()})
	}
	return s
}

func (s *simulation) nextIncarnation() uint64 { s.incarnations++; return s.incarnations }

func (s *simulation) restart(i int) {
	g := s.gateways[i]
	g.table, g.losses, g.startedAt = NewTable(), NewLosses(), s.now
}

func (s *simulation) chance(each time.Duration) bool {
	return each > 0 && s.random.Float64() < float64(tick)/float64(each)
}

func (s *simulation) run(length time.Duration) {
	end := s.now.Add(length)
	nextExchange := s.now
	for s.now.Before(end) {
		s.troubles()
		for s.due += float64(s.sound) * tick.Seconds(); s.due >= 1; s.due-- {
			s.send(s.soundRequest())
		}
		if s.chance(s.poison) {
			s.send(s.badRequest())
		}
		s.work()
		if !s.now.Before(nextExchange) {
			s.exchange()
			nextExchange = s.now.Add(exchangePeriod)
		}
		s.now = s.now.Add(tick)
	}
}

func (s *simulation) troubles() {
	if s.chance(s.day.crashes) {
		s.crash(s.replicas[s.random.IntN(len(s.replicas))])
	}
	if s.chance(s.domainLoss) {
		for i := 0; i < len(s.replicas); i += 3 {
			s.crash(s.replicas[i])
		}
	}
	if s.chance(s.restarts) {
		s.restart(s.random.IntN(len(s.gateways)))
	}
	if s.chance(s.cutOff) {
		s.gateways[s.random.IntN(len(s.gateways))].cutOffUntil = s.now.Add(3 * time.Second)
	}
}

func (s *simulation) request() *simRequest {
	r := &simRequest{gateway: s.random.IntN(len(s.gateways))}
	r.begins = s.now.Add(40*time.Millisecond + time.Duration(s.random.Int64N(int64(100*time.Millisecond))))
	r.answered = r.begins.Add(75 * time.Millisecond)
	r.ends = r.begins.Add(1500 * time.Millisecond)
	return r
}

func firstPart(route int) string { return fmt.Sprint("first", route) }

func (s *simulation) soundRequest() *simRequest {
	r := s.request()
	r.parts = []string{firstPart(s.random.IntN(3))}
	if s.hotParts > 0 {
		r.parts = append(r.parts, fmt.Sprint("hot", s.random.IntN(s.hotParts)))
	}
	r.parts = append(r.parts, fmt.Sprint("session", s.random.IntN(2000)))
	if s.random.Float64() < s.cutAnswers {
		r.cutAt = r.begins.Add(time.Duration(s.random.Int64N(int64(time.Second))) - 30*time.Millisecond)
	}
	return r
}

func (s *simulation) badRequest() *simRequest {
	r := s.request()
	r.bad = true
	r.parts = []string{firstPart(0), poisonPart, fmt.Sprint("session", s.random.IntN(2000))}
	if s.poisonFirst {
		r.parts = r.parts[1:]
	}
	return r
}

// settled reports whether sound requests are to be sent: twice toldAfter after the fifth
// crash, or after the last one of fewer.
func (s *simulation) settled() bool {
	if len(s.crashes) == 0 {
		return s.poison == 0
	}
	return s.now.Sub(s.crashes[min(len(s.crashes), fifth)-1]) > 2*toldAfter
}

// send sends a request to a replica, if its gateway admits it.
func (s *simulation) send(r *simRequest) {
	g := s.gateways[r.gateway]
	decision := g.table.Admit(r.parts, func(turn int64) bool { return Tries(turn, g.name, s.heard(g)) }, s.now)
	s.count(r, g, decision)
	if !decision.MaySend() {
		return
	}
	r.trial, r.blamed = decision.Trial, decision.Blamed
	replica := s.replicas[s.random.IntN(len(s.replicas))]
	if s.now.Before(replica.downUntil) || s.lockStep && s.now.Before(s.openAt) {
		s.end(r) // refused, or rejected without having run
		return
	}
	replica.running = append(replica.running, r)
}

// heard returns the gateways from which g hears.
func (s *simulation) heard(g *simGateway) []string {
	var names []string
	for _, other := range s.gateways {
		if other != g && s.reach(g, other) {
			names = append(names, other.name)
		}
	}
	return names
}

func (s *simulation) reach(a, b *simGateway) bool {
	return !s.now.Before(a.cutOffUntil) && !s.now.Before(b.cutOffUntil)
}

func (s *simulation) count(r *simRequest, g *simGateway, decision Decision) {
	if r.bad {
		calm := s.now.Sub(g.startedAt) > toldAfter && s.now.Sub(g.cutOffUntil) > toldAfter
		if decision.MaySend() && calm && len(s.crashes) >= fifth && s.now.Sub(s.crashes[fifth-1]) > toldAfter {
			s.late++
			s.log = append(s.log, fmt.Sprintf("%s sent by %s, %v", s.now.Format("05.000"), g.name, decision))
		}
		return
	}
	if !s.settled() {
		return
	}
	if decision.MaySend() {
		s.begun[r.parts[0]]++
	} else {
		s.denied[r.parts[0]]++
	}
}

// work advances the answers at all replicas by one tick.
func (s *simulation) work() {
	if !s.stalledUntil.IsZero() && !s.now.Before(s.stalledUntil) {
		s.stalledUntil = time.Time{}
		s.loseAll()
	}
	if s.lockStep && s.now.Before(s.openAt) {
		return
	}
	for _, replica := range s.replicas {
		s.workAt(replica)
	}
}

func (s *simulation) workAt(replica *simReplica) {
	left := replica.running[:0]
	for _, r := range replica.running {
		switch {
		case r.bad && !s.now.Before(r.begins):
			s.crashes = append(s.crashes, s.now)
			s.crash(replica)
			return
		case !r.cutAt.IsZero() && !s.now.Before(r.cutAt):
			s.lose(r, replica.incarnation, false)
			continue
		case !s.now.Before(r.ends):
			s.end(r)
			continue
		case !r.confirmed && !s.now.Before(r.answered):
			r.confirmed = true
			s.gateways[r.gateway].table.RecordAnswered(r.parts, s.now)
		}
		left = append(left, r)
	}
	replica.running = left
}

// crash ends a replica. Its requests are lost, and connections to it are refused.
func (s *simulation) crash(replica *simReplica) {
	if s.now.Before(replica.downUntil) {
		return
	}
	for _, r := range replica.running {
		s.lose(r, replica.incarnation, true)
	}
	replica.running = nil
	replica.incarnation = s.nextIncarnation()
	replica.downUntil = s.now.Add(1500 * time.Millisecond)
	if s.lockStep {
		s.openAt = s.now.Add(3500 * time.Millisecond)
		s.stalledUntil = s.now.Add(1500 * time.Millisecond)
	}
}

// loseAll loses the requests of a group that has stalled.
func (s *simulation) loseAll() {
	for _, replica := range s.replicas {
		for _, r := range replica.running {
			s.lose(r, replica.incarnation, false)
		}
		replica.running = nil
	}
}

func (s *simulation) lose(r *simRequest, incarnation uint64, crashed bool) {
	s.end(r)
	if r.confirmed {
		return
	}
	g := s.gateways[r.gateway]
	loss := Loss{Parts: r.parts, Blamed: r.blamed}
	if g.losses.Add(incarnation, loss, s.now) {
		g.table.RecordCrash([]Loss{loss}, incarnation, s.now)
		return
	}
	if !crashed {
		g.losses.Alive(incarnation, s.now.Add(1))
		return
	}
	g.table.RecordCrash(g.losses.Crashed(incarnation, s.now), incarnation, s.now)
}

func (s *simulation) end(r *simRequest) {
	if r.trial {
		s.gateways[r.gateway].table.EndTrial(r.parts)
	}
}

// exchange delivers what each gateway tells the others.
func (s *simulation) exchange() {
	for _, from := range s.gateways {
		evidence := from.table.Observed(s.now.Add(-300 * time.Millisecond))
		if s.random.Float64() < float64(exchangePeriod)/float64(time.Second) {
			evidence = append(evidence, from.table.NotAllowed(s.now)...)
		}
		for _, to := range s.gateways {
			if to != from && s.reach(from, to) && s.random.Float64() >= s.lostDatagrams {
				to.table.Merge(evidence, s.now)
			}
		}
	}
}

func (s *simulation) check() {
	for _, g := range s.gateways {
		for _, e := range g.table.NotAllowed(s.now) {
			assert.Check(s.t, e.Part == poisonPart || g.table.Verdict(e.Part, s.now) == Suspect, "%s refuses the sound part %s", g.name, e.Part)
		}
	}
	assert.Check(s.t, s.late <= lateSends, "%d requests with the part were sent later than %s after the fifth of %d crashes: %v", s.late, toldAfter, len(s.crashes), s.log)
	assert.Check(s.t, len(s.begun) > 0, "no sound requests were sent")
	for first, denied := range s.denied {
		all := denied + s.begun[first]
		assert.Check(s.t, all < countedFirst || float64(s.begun[first]) >= leastBegun*float64(all), "%d of %d sound requests with %s denied", denied, all, first)
	}
}

var days = map[string]day{
	"calm":                       {gateways: 6, replicas: 16, sound: 80, poison: 2 * time.Second},
	"lock step":                  {gateways: 6, replicas: 16, lockStep: true, sound: 80, poison: 2 * time.Second},
	"seldom":                     {gateways: 6, replicas: 16, lockStep: true, sound: 80, poison: 5 * time.Second},
	"often":                      {gateways: 6, replicas: 16, sound: 80, poison: 200 * time.Millisecond},
	"often in lock step":         {gateways: 6, replicas: 16, lockStep: true, sound: 80, poison: 200 * time.Millisecond},
	"the first part is the one":  {gateways: 6, replicas: 16, lockStep: true, sound: 80, poison: time.Second, poisonFirst: true},
	"answers cut":                {gateways: 6, replicas: 16, sound: 80, poison: 2 * time.Second, cutAnswers: 0.2},
	"other crashes":              {gateways: 6, replicas: 16, sound: 80, poison: 2 * time.Second, crashes: 2 * time.Second, hotParts: 20},
	"other crashes in lock step": {gateways: 6, replicas: 16, lockStep: true, sound: 80, poison: 2 * time.Second, crashes: 4 * time.Second, hotParts: 20, cutAnswers: 0.05},
	"domains lost":               {gateways: 6, replicas: 16, sound: 80, poison: 2 * time.Second, domainLoss: 5 * time.Second, hotParts: 40},
	"gateways restart":           {gateways: 6, replicas: 16, sound: 80, poison: time.Second, restarts: 2 * time.Second},
	"gateways cut off":           {gateways: 6, replicas: 16, sound: 80, poison: time.Second, cutOff: 4 * time.Second, lostDatagrams: 0.3},
	"very often in lock step":    {gateways: 6, replicas: 16, lockStep: true, sound: 80, poison: 50 * time.Millisecond},
	"restarts in lock step":      {gateways: 8, replicas: 16, lockStep: true, sound: 80, poison: 300 * time.Millisecond, restarts: 5 * time.Second, cutOff: 10 * time.Second},
	"one gateway":                {gateways: 1, replicas: 4, sound: 80, poison: time.Second, cutAnswers: 0.05},
	"many gateways":              {gateways: 34, replicas: 72, sound: 300, poison: 500 * time.Millisecond, lostDatagrams: 0.1, hotParts: 100},
	"no such part":               {gateways: 6, replicas: 16, sound: 80, crashes: 700 * time.Millisecond, domainLoss: 4 * time.Second, cutAnswers: 0.2, hotParts: 30},
	"all troubles": {
		gateways: 6, replicas: 16, lockStep: true, sound: 80, poison: time.Second, cutAnswers: 0.1, crashes: 6 * time.Second, domainLoss: 15 * time.Second,
		restarts: 8 * time.Second, cutOff: 8 * time.Second, lostDatagrams: 0.1, hotParts: 30,
	},
}

const seedsADay = 4

func TestPartIsKnownAfterFiveCrashesAndSoundRequestsAreSent(t *testing.T) {
	for name, d := range days {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedsADay) {
				s := newSimulation(t, d, seed)
				s.run(90 * time.Second)
				s.check()
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}
