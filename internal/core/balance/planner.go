package balance

import "maps"

// Config holds the planner's thresholds. Times are as parts of the lower
// bound, costs in milliseconds.
type Config struct {
	Trigger          float64 // imbalance above the bound at which moves are looked for
	Goal             float64 // imbalance above the bound that moves aim for
	RepackAbove      float64 // imbalance above the bound at which a layer is packed anew
	Urgent           float64 // imbalance above the bound at which a plan does not wait for the interval's end
	RepackRefill     float64 // part of the slots by which a plan raises the moves that packing anew may make
	RepackBurst      float64 // most of those moves, as a part of the slots
	MovesPerPlan     int     // moves that one plan may make
	HorizonSteps     float64 // steps over which a move has to pay
	StallMS          float64 // stall of the whole group for an activation with moves
	MoveMS           float64 // stall for each further move on one rank
	ByteMS           float64 // step time lost for each byte fetched
	ExpertBytes      float64 // weights of one expert of the layer
	SlotUseWeight    float64 // weight of a slot's past use against a move's gain
	SlotUseRetention float64 // part of a slot's past use that a plan keeps
	CooldownReports  int     // reports for which an expert does not go back to a rank that gave it up
	LookaheadReports float64 // reports between the moment that a report tells of and the middle of a plan's use
}

// DefaultConfig returns the thresholds in use.
func DefaultConfig() Config {
	return Config{
		Trigger:          0.015,
		Goal:             0.004,
		RepackAbove:      0.5,
		Urgent:           0.018,
		RepackRefill:     0.02,
		RepackBurst:      2,
		MovesPerPlan:     48,
		HorizonSteps:     5000,
		StallMS:          2,
		MoveMS:           1,
		ExpertBytes:      44e6,
		SlotUseWeight:    0.5,
		SlotUseRetention: 0.995,
		CooldownReports:  200,
	}
}

// Planner balances one layer.
type Planner struct {
	cfg    Config
	shape  Shape
	loads  *Estimator
	speeds *Estimator
	kept   []float64       // decayed largest load of each slot
	now    int             // reports so far
	left   map[holding]int // report at which a rank gave up an expert

	allowance float64 // moves that packing anew may make
	reach     float64 // what packing anew reached lately, as a part of the lower bound
}

// holding is an expert on a rank.
type holding struct {
	rank   int32
	expert int32
}

// reachRetention is the part of the reach above 1 that a plan keeps.
const reachRetention = 0.9

// NewPlanner returns a planner whose estimates start at the given values.
func NewPlanner(cfg Config, shape Shape, loads, speeds []float64) *Planner {
	return &Planner{
		cfg:    cfg,
		shape:  shape,
		loads:  NewEstimator(loads, cfg.LookaheadReports),
		speeds: NewEstimator(speeds, 0),
		kept:   make([]float64, shape.TotalSlots()),
		left:   make(map[holding]int),

		allowance: float64(shape.TotalSlots()),
		reach:     1,
	}
}

// Observe takes one report of loads by expert and speeds by rank.
func (p *Planner) Observe(loads, speeds []float64) {
	p.now++
	p.loads.Observe(loads)
	p.speeds.Observe(speeds)
}

// Urgent reports whether the present map has become so bad that a plan should
// not wait for the interval's end.
func (p *Planner) Urgent(present Map) bool {
	loads, speeds := p.loads.Values(), p.speeds.Values()
	bound := LowerBound(loads, speeds, p.shape.TotalSlots())
	return p.shape.Slowest(present, loads, speeds) > bound*p.reach*(1+p.cfg.Urgent)
}

// Plan is the outcome of one round.
type Plan struct {
	Map    Map     // the map to use; with moves, once their weights are there
	Moves  []Move  // slots that need new weights
	Before float64 // slowest rank's time with the present placement and best shares
	After  float64 // the same with the plan's map
	Shares Map     // the present placement with its best shares
}

// Shares returns the best map of a placement for the present estimates.
func (p *Planner) Shares(placement Placement) Map {
	m, _ := Shares(p.shape, placement, p.loads.Values(), p.speeds.Values())
	return m
}

// Plan decides on the map that follows the present placement. msPerTime is the
// length in milliseconds of one unit of rank time.
func (p *Planner) Plan(present Placement, msPerTime float64) Plan {
	loads, speeds := p.loads.Values(), p.speeds.Values()
	bound := LowerBound(loads, speeds, p.shape.TotalSlots())
	s := newSolver(p.shape, present, loads, speeds)
	now := s.solve(bound)
	shares := s.result()
	p.remember(s.flow)
	slots := float64(p.shape.TotalSlots())
	p.allowance = min(p.cfg.RepackBurst*slots, p.allowance+p.cfg.RepackRefill*slots)
	stay := Plan{Map: shares, Shares: shares, Before: now, After: now}
	p.reach = 1 + (p.reach-1)*reachRetention
	bound *= p.reach
	if now <= bound*(1+p.cfg.Trigger) {
		return stay
	}
	best := stay
	if now <= bound*(1+p.cfg.RepackAbove) {
		best = p.better(stay, p.improved(present, bound), now, msPerTime)
	}
	if best.After > bound*(1+p.cfg.Trigger) {
		anew := p.repacked(present)
		p.reach = max(1, p.reach*min(best.After, anew.After)/bound)
		if float64(len(anew.Moves)) <= p.allowance {
			best = p.better(best, anew, now, msPerTime)
		}
	}
	p.allowance -= float64(len(best.Moves))
	maps.DeleteFunc(p.left, func(h holding, _ int) bool { return !p.resting(h.rank, h.expert) })
	for _, m := range best.Moves {
		p.kept[m.Slot] = loads[m.Expert] * best.Map.Shares[m.Slot]
		p.left[holding{int32(p.rankOf(m.Slot)), m.Previous}] = p.now
	}
	best.Shares, best.Before = shares, now
	return best
}

// improved replaces single slots until the goal is met.
func (p *Planner) improved(present Placement, bound float64) Plan {
	s := newSolver(p.shape, present, p.loads.Values(), p.speeds.Values())
	s.resting = p.resting
	s.raise(bound * (1 + p.cfg.Goal))
	s.improve(p.cfg.MovesPerPlan, p.kept, p.cfg.SlotUseWeight)
	after := s.solve(s.limit)
	m := s.result()
	return Plan{Map: m, Moves: p.shape.changes(present, m.Placement), After: after}
}

// resting reports whether a rank gave up an expert a short time ago.
func (p *Planner) resting(rank, expert int32) bool {
	at, ok := p.left[holding{rank, expert}]
	return ok && p.now-at < p.cfg.CooldownReports
}

// repacked places all experts anew, near the present placement.
func (p *Planner) repacked(present Placement) Plan {
	loads, speeds := p.loads.Values(), p.speeds.Values()
	next, ok := repackNear(p.shape, present, loads, speeds)
	if !ok {
		next = relabel(p.shape, present, Pack(p.shape, loads, speeds).Placement, speeds)
	}
	m, after := Shares(p.shape, next, loads, speeds)
	return Plan{Map: m, Moves: p.shape.changes(present, next), After: after}
}

// better returns the plan that saves more over the horizon, costs taken off.
func (p *Planner) better(a, b Plan, now, msPerTime float64) Plan {
	if len(b.Moves) == 0 {
		return a
	}
	if p.value(b, now, msPerTime) > p.value(a, now, msPerTime) {
		return b
	}
	return a
}

// value returns the step time in milliseconds that a plan saves over the
// horizon, less its costs.
func (p *Planner) value(plan Plan, now, msPerTime float64) float64 {
	if len(plan.Moves) == 0 {
		return 0
	}
	busiest := 0
	byRank := make([]int, p.shape.Ranks())
	for _, m := range plan.Moves {
		r := p.rankOf(m.Slot)
		byRank[r]++
		busiest = max(busiest, byRank[r])
	}
	cost := p.cfg.StallMS + p.cfg.MoveMS*float64(busiest)
	cost += p.cfg.ByteMS * p.cfg.ExpertBytes * float64(len(plan.Moves))
	return (now-plan.After)*msPerTime*p.cfg.HorizonSteps - cost
}

func (p *Planner) rankOf(slot int32) int {
	left := int(slot)
	for r, n := range p.shape.Slots {
		if left < n {
			return r
		}
		left -= n
	}
	return len(p.shape.Slots) - 1
}

// remember keeps the decayed largest load of each slot.
func (p *Planner) remember(flow []float64) {
	for i, f := range flow {
		p.kept[i] = max(f, p.kept[i]*p.cfg.SlotUseRetention)
	}
}
