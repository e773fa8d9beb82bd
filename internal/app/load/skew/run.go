package skew

import (
	"math/rand/v2"
	"slices"
	"time"

	"quetzalbend/internal/core/balance"
)

const msPerSecond = 1000

// Result holds the figures of one policy.
type Result struct {
	Policy      string  `json:"policy"`
	MeanSkew    float64 `json:"mean_skew"`
	P99Skew     float64 `json:"p99_skew"`
	LowerBound  float64 `json:"lower_bound"`
	MovedBytes  float64 `json:"moved_bytes"`
	Moves       int     `json:"moves"`
	LateMoves   int     `json:"late_moves"`     // in the second half of the trace
	Returns     int     `json:"returned_moves"` // moves back to a rank within returnWindowSteps
	Activations int     `json:"activations"`
	StallMS     float64 `json:"stall_ms"`
	PlanP99MS   float64 `json:"plan_ms_p99"`
	StepMeanMS  float64 `json:"step_time_mean_ms"`
	trace       []float64
}

// report holds the loads and speeds at one step, exact or as the ranks report
// them.
type report struct {
	loads  [][]float64 // by layer and expert
	speeds []float64   // by rank
}

// group is the simulated group under one policy.
type group struct {
	options     Options
	shape       balance.Shape
	layers      []*layer
	now         float64 // virtual time in milliseconds
	storeFreeAt float64 // virtual time at which the weight store is free
	result      Result
	planMS      []float64
	totalStepMS float64 // sum of step times in milliseconds
}

// layer is the simulated state of one layer.
type layer struct {
	policy    policy
	current   balance.Map
	pending   *balance.Map
	readyAt   float64         // virtual time at which the pending map's weights have arrived
	removedAt map[replica]int // step at which a rank gave up an expert
}

// replica identifies the copy of an expert on a rank.
type replica struct {
	rank   int
	expert int32
}

// Run replays one trace and returns the figures of each policy.
func Run(o Options) ([]Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	shape, err := balance.EvenShape(o.Ranks, o.Experts, o.slots())
	if err != nil {
		return nil, err
	}
	loads := make([]*workload, o.Layers)
	for l := range loads {
		loads[l] = newWorkload(o, rand.New(rand.NewPCG(o.Seed, uint64(l))))
	}
	groups := []*group{
		newGroup(o, shape, policyStatic, loads),
		newGroup(o, shape, policyFullRepack, loads),
		newGroup(o, shape, policyPlanner, loads),
	}
	replay(o, loads, groups)
	results := make([]Result, len(groups))
	for i, g := range groups {
		results[i] = g.finish()
	}
	return results, nil
}

func newGroup(o Options, shape balance.Shape, name string, loads []*workload) *group {
	g := &group{options: o, shape: shape, result: Result{Policy: name}}
	for _, w := range loads {
		start := slices.Clone(w.at(0))
		speeds := o.speeds(0)
		g.layers = append(g.layers, &layer{
			policy:    newPolicy(o, shape, name, start, speeds),
			current:   balance.Pack(shape, start, speeds),
			removedAt: map[replica]int{},
		})
	}
	return g
}

func newPolicy(o Options, shape balance.Shape, name string, loads, speeds []float64) policy {
	switch name {
	case policyFullRepack:
		return &fullRepack{shape: shape, loads: balance.NewEstimator(loads, o.lookaheadReports()), speeds: balance.NewEstimator(speeds, 0)}
	case policyPlanner:
		return &plannerPolicy{balance.NewPlanner(o.balance(), shape, loads, speeds), o.StepMS / float64(o.Layers)}
	default:
		return static{}
	}
}

// replay runs the trace in all groups; loads and speeds are constant between
// two reports.
func replay(o Options, loads []*workload, groups []*group) {
	random := rand.New(rand.NewPCG(o.Seed, 1<<32))
	var waiting []report
	delay := (o.Lag + o.ReportSteps - 1) / o.ReportSteps
	for step := 0; step < o.Steps; step += o.ReportSteps {
		now := trueLoads(o, loads, step)
		for _, g := range groups {
			g.advance(now)
		}
		waiting = append(waiting, withNoise(now, o.Noise, random))
		if len(waiting) <= delay {
			continue
		}
		for _, g := range groups {
			g.observe(waiting[0])
			g.plan(step%o.IntervalSteps < o.ReportSteps)
		}
		waiting = waiting[1:]
	}
}

// trueLoads returns the exact loads and speeds at a step.
func trueLoads(o Options, loads []*workload, step int) report {
	r := report{speeds: o.speeds(step)}
	for _, w := range loads {
		r.loads = append(r.loads, slices.Clone(w.at(step)))
	}
	return r
}

// withNoise returns a copy of a report whose loads have a relative error.
func withNoise(r report, noise float64, random *rand.Rand) report {
	out := report{speeds: slices.Clone(r.speeds)}
	for _, loads := range r.loads {
		reported := make([]float64, len(loads))
		for e, l := range loads {
			reported[e] = max(0, l*(1+noise*random.NormFloat64()))
		}
		out.loads = append(out.loads, reported)
	}
	return out
}

// advance runs the steps up to the next report.
func (g *group) advance(now report) {
	g.activate()
	slowest, mean, bound := 0.0, 0.0, 0.0
	for l, layer := range g.layers {
		loads := now.loads[l]
		slowest += g.shape.Slowest(layer.current, loads, now.speeds)
		mean += balance.MeanTime(loads, now.speeds)
		bound += balance.LowerBound(loads, now.speeds, g.shape.TotalSlots())
	}
	g.result.trace = append(g.result.trace, slowest/mean)
	g.result.LowerBound += bound / mean
	stepMS := slowest * g.options.StepMS / float64(len(g.layers))
	if g.storeFreeAt > g.now {
		stepMS *= 1 + g.options.Slowdown
	}
	g.totalStepMS += stepMS * float64(g.options.ReportSteps)
	g.now += stepMS * float64(g.options.ReportSteps)
}

// activate activates the pending maps whose weights have arrived.
func (g *group) activate() {
	for _, layer := range g.layers {
		if layer.pending == nil || layer.readyAt > g.now {
			continue
		}
		next := layer.policy.mapToActivate(*layer.pending)
		busiest := slices.Max(g.shape.MovesByRank(layer.current.Placement, next.Placement))
		stall := g.options.StallMS + float64(busiest)*g.options.ExpertBytes/g.options.CopyRate*msPerSecond
		g.result.StallMS += stall
		g.result.Activations++
		g.now += stall
		layer.current, layer.pending = next, nil
	}
}

func (g *group) observe(r report) {
	for l, layer := range g.layers {
		layer.policy.observe(r.loads[l], r.speeds)
	}
}

// plan asks the policy for a decision on each layer without a pending map, if the
// interval has ended (due) or the policy reports the layer as urgent.
func (g *group) plan(due bool) {
	for _, layer := range g.layers {
		if layer.pending != nil || !due && !layer.policy.urgent(layer.current) {
			continue
		}
		started := time.Now()
		d := layer.policy.decide(layer.current.Placement)
		g.planMS = append(g.planMS, float64(time.Since(started).Microseconds())/msPerSecond)
		if d.change {
			g.fetch(layer, d.next)
		}
	}
}

// fetch makes next the layer's pending map and queues the fetch of its weights at
// the weight store.
func (g *group) fetch(layer *layer, next balance.Map) {
	moves := g.shape.Moves(layer.current.Placement, next.Placement)
	layer.pending = &next
	layer.readyAt = g.now
	if moves == 0 {
		return
	}
	bytes := float64(moves) * g.options.ExpertBytes
	g.storeFreeAt = max(g.storeFreeAt, g.now) + bytes/g.options.StoreRate*msPerSecond
	layer.readyAt = g.storeFreeAt
	g.result.Moves += moves
	g.result.Returns += g.countReturns(layer, next)
	g.result.MovedBytes += bytes
	if len(g.result.trace) > g.options.Steps/g.options.ReportSteps/2 {
		g.result.LateMoves += moves
	}
}

// returnWindowSteps is the number of steps within which an undone move counts
// as a return: it was undone before it had paid off.
const returnWindowSteps = 5000

// countReturns counts the experts that move back to a rank within
// returnWindowSteps of their removal from it, and records the experts that are
// removed now.
func (g *group) countReturns(layer *layer, next balance.Map) int {
	step := len(g.result.trace) * g.options.ReportSteps
	count, first := 0, 0
	for r, n := range g.shape.Slots {
		before := layer.current.Placement[first : first+n]
		after := next.Placement[first : first+n]
		for _, e := range after {
			if at, ok := layer.removedAt[replica{r, e}]; ok && !slices.Contains(before, e) && step-at < returnWindowSteps {
				count++
			}
		}
		for _, e := range before {
			if !slices.Contains(after, e) {
				layer.removedAt[replica{r, e}] = step
			}
		}
		first += n
	}
	return count
}

func (g *group) finish() Result {
	r := g.result
	n := float64(len(r.trace))
	for _, skew := range r.trace {
		r.MeanSkew += skew / n
	}
	r.LowerBound /= n
	r.P99Skew = percentile99(r.trace)
	r.PlanP99MS = percentile99(g.planMS)
	steps := n * float64(g.options.ReportSteps)
	r.StepMeanMS = (g.totalStepMS + r.StallMS) / steps
	return r
}

func percentile99(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}
