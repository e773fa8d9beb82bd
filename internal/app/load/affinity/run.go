package affinity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
)

// policy is a strategy for picking targets.
type policy struct {
	name     string
	strategy func() routing.Strategy
}

var policies = []policy{
	{"random", func() routing.Strategy { return random{} }},
	{"plain hashing", func() routing.Strategy { return hashing{} }},
	{"least outstanding", func() routing.Strategy { return routing.LeastOutstanding{} }},
	{"quetzalbend", func() routing.Strategy { return routing.Affinity{Fallback: routing.LeastOutstanding{}} }},
}

// random is a baseline that picks any member.
type random struct{}

// Pick implements routing.Strategy.
func (random) Pick(members []*routing.Member, query *routing.Query) *routing.Member {
	return members[query.Random%uint64(len(members))]
}

// hashing is a baseline that always picks the first target in the prefix's
// rendezvous order, whatever its load.
type hashing struct{}

// Pick implements routing.Strategy.
func (hashing) Pick(members []*routing.Member, query *routing.Query) *routing.Member {
	targets := make([]*catalog.Target, len(members))
	for i, member := range members {
		targets[i] = member.Target
	}
	home := routing.RendezvousOrder(query.Affinity, targets)[0]
	return members[slices.Index(targets, home)]
}

// Run runs the same requests through every policy.
func (c *Command) Run() ([]Result, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	results := make([]Result, 0, len(policies))
	for _, p := range policies {
		s := newSimulation(c, p)
		s.run()
		results = append(results, s.result(p.name))
	}
	return results, nil
}

// request is one request from its arrival to its end.
type request struct {
	arrived time.Duration
	prefix  int
	size    float64 // service time over the mean
	entry   int
	member  *routing.Member
	target  *target
}

// target is an engine with a prefix cache.
type target struct {
	running int
	waiting []*request
	cache   []int         // prefixes, least recently used first
	busy    time.Duration // sum of the running times of its requests
	changed time.Duration // virtual time up to which busy is counted
}

// event is an action at a virtual time.
type event struct {
	at     time.Duration
	action func()
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is one run. Arrivals and cache losses have random sources of their
// own, so that they are the same for every policy.
type simulation struct {
	config   *Command
	strategy routing.Strategy
	arrivals *rand.Rand
	losses   *rand.Rand
	picks    *rand.Rand
	zipf     *rand.Zipf
	now      time.Duration
	queue    events
	pools    []*routing.Pool // by entry
	targets  map[string]*target

	latencies []time.Duration
	hits      int
	waited    int
}

const model = "m"

func newSimulation(c *Command, p policy) *simulation {
	s := &simulation{
		config:   c,
		strategy: p.strategy(),
		arrivals: rand.New(rand.NewPCG(c.Seed, 1)),
		losses:   rand.New(rand.NewPCG(c.Seed, 2)),
		picks:    rand.New(rand.NewPCG(c.Seed, 3)),
		targets:  make(map[string]*target),
	}
	s.zipf = rand.NewZipf(s.arrivals, c.Zipf, 1, uint64(c.Prefixes-1))
	name := catalog.TeamName{Name: model}
	cat := &catalog.Catalog{ModelTargets: make(map[catalog.TeamName][]*catalog.Target)}
	for i := range c.Targets {
		t := &catalog.Target{Name: fmt.Sprintf("t%02d", i)}
		t.Target = schema.Target{FailureDomain: "d", ColdLimit: c.Slots, MaxLimit: c.Slots}
		cat.ModelTargets[name] = append(cat.ModelTargets[name], t)
		s.targets[t.Name] = &target{}
	}
	for i := range c.Entries {
		table := routing.NewTable(routing.Config{
			Entry: fmt.Sprintf("e%d", i), FailureDomain: "d", NearSubset: c.Targets,
		}, cat, routing.NewStates())
		s.pools = append(s.pools, table.Model(name))
	}
	return s
}

func (s *simulation) run() {
	end := seconds(s.config.Seconds)
	s.after(0, s.arrive)
	for _, name := range sortedNames(s.targets) {
		s.loseCache(s.targets[name])
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		if s.now > end {
			return
		}
		next.action()
	}
}

// after schedules an action to run after d.
func (s *simulation) after(d time.Duration, action func()) {
	heap.Push(&s.queue, event{at: s.now + d, action: action})
}

// arrive sends one request and schedules the next arrival.
func (s *simulation) arrive() {
	r := &request{
		arrived: s.now,
		prefix:  int(s.zipf.Uint64()),
		size:    s.arrivals.ExpFloat64(),
		entry:   s.arrivals.IntN(s.config.Entries),
	}
	gap := s.arrivals.ExpFloat64() / s.config.Rate
	s.after(seconds(gap), s.arrive)
	r.member = s.pools[r.entry].Pick(s.strategy, &routing.Query{
		Class:    schema.Interactive,
		Affinity: fmt.Sprint("prefix ", r.prefix),
		Now:      s.clock(),
		Random:   s.picks.Uint64(),
	})
	r.target = s.targets[r.member.Target.Name]
	r.member.State.Begin()
	if r.target.running >= s.config.Slots {
		s.waited++
		r.target.waiting = append(r.target.waiting, r)
		return
	}
	s.start(r)
}

func (s *simulation) start(r *request) {
	t := r.target
	s.updateBusyTime(t)
	t.running++
	mean := s.config.MissMS
	if t.useCache(r.prefix, s.config.Cached) {
		s.hits++
		mean = s.config.HitMS
	}
	s.after(seconds(r.size*mean/millisecondsPerSecond), func() { s.finish(r) })
}

func (s *simulation) finish(r *request) {
	t := r.target
	s.updateBusyTime(t)
	t.running--
	s.latencies = append(s.latencies, s.now-r.arrived)
	r.member.State.End()
	r.member.State.Observe(routing.Report{
		Running: t.running, Queued: len(t.waiting), Limit: s.config.Slots,
	}, s.clock())
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		s.start(next)
	}
}

// loseCache empties a target's cache at random intervals.
func (s *simulation) loseCache(t *target) {
	s.after(seconds(s.losses.ExpFloat64()*s.config.LossS), func() {
		t.cache = nil
		s.loseCache(t)
	})
}

// updateBusyTime adds the time since the last change to the target's busy time,
// for each running request.
func (s *simulation) updateBusyTime(t *target) {
	t.busy += time.Duration(t.running) * (s.now - t.changed)
	t.changed = s.now
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

// useCache makes a prefix the most recently used and reports whether it was
// cached.
func (t *target) useCache(prefix, size int) bool {
	at := slices.Index(t.cache, prefix)
	if at >= 0 {
		t.cache = slices.Delete(t.cache, at, at+1)
	}
	t.cache = append(t.cache, prefix)
	if len(t.cache) > size {
		t.cache = t.cache[1:]
	}
	return at >= 0
}
