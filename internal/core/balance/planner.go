package balance

import "maps"

// Config holds the planner's thresholds. An imbalance is the fraction by which
// the slowest rank's time exceeds the lower bound or, where recent plans could not
// reach the bound, the time that they could reach. Costs are in milliseconds.
type Config struct {
	Trigger          float64 // imbalance above which moves are planned
	Goal             float64 // imbalance that single moves aim for
	RepackAbove      float64 // imbalance above which all experts are repacked without trying single moves first
	Urgent           float64 // imbalance above which a plan does not wait for the interval's end
	RepackRefill     float64 // moves that each plan adds to the budget for repacking, as a fraction of the slots
	RepackBurst      float64 // largest budget for repacking, as a multiple of the slots
	MovesPerPlan     int     // most moves of a plan that does not repack
	HorizonSteps     float64 // steps over which the moves of a plan have to pay off
	StallMS          float64 // stall of the whole group when a map with moves is activated
	MSPerMove        float64 // further stall for each move of the rank with most moves
	MSPerByte        float64 // step time lost for each byte fetched
	ExpertBytes      float64 // size of the weights of one expert of the layer
	SlotUseWeight    float64 // weight with which a slot's past use is subtracted from a move's gain
	SlotUseRetention float64 // fraction of a slot's past use that remains after each plan
	CooldownReports  int     // reports during which an expert does not return to a rank that gave it up
	LookaheadReports float64 // reports between the moment that a report describes and the middle of a plan's use
}

// DefaultConfig returns the default thresholds.
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
		MSPerMove:        1,
		ExpertBytes:      44e6,
		SlotUseWeight:    0.5,
		SlotUseRetention: 0.995,
		CooldownReports:  200,
	}
}

// Planner balances one layer.
type Planner struct {
	cfg       Config
	shape     Shape
	loads     *Estimator
	speeds    *Estimator
	slotUse   []float64          // largest load that each slot has carried, with decay
	now       int                // reports so far
	removedAt map[rankExpert]int // number of the report after which a rank gave up an expert

	repackBudget    float64 // moves that repacking may make; other moves reduce it too
	achievableRatio float64 // time that recent plans could reach, relative to the lower bound; at least 1
}

// rankExpert identifies an expert on a rank.
type rankExpert struct {
	rank   int32
	expert int32
}

// achievableRetention is the fraction of achievableRatio's excess over 1 that
// remains after each plan.
const achievableRetention = 0.9

// NewPlanner returns a planner whose estimates start at the given values.
func NewPlanner(cfg Config, shape Shape, loads, speeds []float64) *Planner {
	return &Planner{
		cfg:       cfg,
		shape:     shape,
		loads:     NewEstimator(loads, cfg.LookaheadReports),
		speeds:    NewEstimator(speeds, 0),
		slotUse:   make([]float64, shape.TotalSlots()),
		removedAt: make(map[rankExpert]int),

		repackBudget:    float64(shape.TotalSlots()),
		achievableRatio: 1,
	}
}

// Observe processes one report of loads by expert and speeds by rank.
func (p *Planner) Observe(loads, speeds []float64) {
	p.now++
	p.loads.Observe(loads)
	p.speeds.Observe(speeds)
}

// Urgent reports whether the current map is so imbalanced that a plan should
// not wait for the interval's end.
func (p *Planner) Urgent(current Map) bool {
	loads, speeds := p.loads.Values(), p.speeds.Values()
	bound := LowerBound(loads, speeds, p.shape.TotalSlots())
	return p.shape.Slowest(current, loads, speeds) > bound*p.achievableRatio*(1+p.cfg.Urgent)
}

// Plan is the result of planning once.
type Plan struct {
	Map    Map     // the map to use; if there are moves, once their weights are loaded
	Moves  []Move  // slots that need new weights
	Before float64 // slowest rank's time with the current placement and best shares
	After  float64 // slowest rank's time with the plan's map
	Shares Map     // the current placement with its best shares
}

// Shares returns the map with the best shares for a placement and the current
// estimates.
func (p *Planner) Shares(placement Placement) Map {
	m, _ := Shares(p.shape, placement, p.loads.Values(), p.speeds.Values())
	return m
}

// Plan chooses the map that follows the current placement. msPerTime is the
// number of milliseconds in one unit of rank time.
func (p *Planner) Plan(current Placement, msPerTime float64) Plan {
	loads, speeds := p.loads.Values(), p.speeds.Values()
	bound := LowerBound(loads, speeds, p.shape.TotalSlots())
	s := newSolver(p.shape, current, loads, speeds)
	now := s.solve(bound) // slowest rank's time
	shares := s.result()
	p.recordSlotUse(s.flow)
	slots := float64(p.shape.TotalSlots())
	p.repackBudget = min(p.cfg.RepackBurst*slots, p.repackBudget+p.cfg.RepackRefill*slots)
	stay := Plan{Map: shares, Shares: shares, Before: now, After: now}
	p.achievableRatio = 1 + (p.achievableRatio-1)*achievableRetention
	bound *= p.achievableRatio
	if now <= bound*(1+p.cfg.Trigger) {
		return stay
	}
	best := stay
	if now <= bound*(1+p.cfg.RepackAbove) {
		best = p.betterPlan(stay, p.planMoves(current, bound), now, msPerTime)
	}
	if best.After > bound*(1+p.cfg.Trigger) {
		repack := p.planRepack(current)
		p.achievableRatio = max(1, p.achievableRatio*min(best.After, repack.After)/bound)
		if float64(len(repack.Moves)) <= p.repackBudget {
			best = p.betterPlan(best, repack, now, msPerTime)
		}
	}
	p.repackBudget -= float64(len(best.Moves))
	maps.DeleteFunc(p.removedAt, func(key rankExpert, _ int) bool { return !p.coolingDown(key.rank, key.expert) })
	for _, m := range best.Moves {
		p.slotUse[m.Slot] = loads[m.Expert] * best.Map.Shares[m.Slot]
		p.removedAt[rankExpert{int32(p.rankOf(m.Slot)), m.Previous}] = p.now
	}
	best.Shares, best.Before = shares, now
	return best
}

// planMoves returns a plan that replaces the experts of single slots until the
// goal is met.
func (p *Planner) planMoves(current Placement, bound float64) Plan {
	s := newSolver(p.shape, current, p.loads.Values(), p.speeds.Values())
	s.coolingDown = p.coolingDown
	s.raiseLimit(bound * (1 + p.cfg.Goal))
	s.improve(p.cfg.MovesPerPlan, p.slotUse, p.cfg.SlotUseWeight)
	after := s.solve(s.limit)
	m := s.result()
	return Plan{Map: m, Moves: p.shape.listMoves(current, m.Placement), After: after}
}

// coolingDown reports whether the rank gave up the expert during the last
// CooldownReports reports.
func (p *Planner) coolingDown(rank, expert int32) bool {
	at, ok := p.removedAt[rankExpert{rank, expert}]
	return ok && p.now-at < p.cfg.CooldownReports
}

// planRepack returns a plan that places all experts again, but close to the
// current placement.
func (p *Planner) planRepack(current Placement) Plan {
	loads, speeds := p.loads.Values(), p.speeds.Values()
	next, ok := repackNear(p.shape, current, loads, speeds)
	if !ok {
		next = relabel(p.shape, current, Pack(p.shape, loads, speeds).Placement, speeds)
	}
	m, after := Shares(p.shape, next, loads, speeds)
	return Plan{Map: m, Moves: p.shape.listMoves(current, next), After: after}
}

// betterPlan returns the plan with the larger net saving. currentTime is the
// slowest rank's time with the current placement.
func (p *Planner) betterPlan(a, b Plan, currentTime, msPerTime float64) Plan {
	if len(b.Moves) == 0 {
		return a
	}
	if p.netSaving(b, currentTime, msPerTime) > p.netSaving(a, currentTime, msPerTime) {
		return b
	}
	return a
}

// netSaving returns the step time in milliseconds that a plan saves over the
// horizon, less its costs.
func (p *Planner) netSaving(plan Plan, currentTime, msPerTime float64) float64 {
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
	cost := p.cfg.StallMS + p.cfg.MSPerMove*float64(busiest)
	cost += p.cfg.MSPerByte * p.cfg.ExpertBytes * float64(len(plan.Moves))
	return (currentTime-plan.After)*msPerTime*p.cfg.HorizonSteps - cost
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

// recordSlotUse updates the past use of each slot: the largest load that it has
// carried, with decay.
func (p *Planner) recordSlotUse(flow []float64) {
	for i, f := range flow {
		p.slotUse[i] = max(f, p.slotUse[i]*p.cfg.SlotUseRetention)
	}
}
