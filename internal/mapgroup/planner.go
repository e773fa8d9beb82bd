package mapgroup

import (
	"slices"
	"sync"

	"quetzalbend/internal/core/balance"
	"quetzalbend/internal/core/expertmap"
)

// mapPlanner turns load reports into proposals, within a budget of bytes that
// may be fetched from the weight store.
type mapPlanner struct {
	config Config

	lock        sync.Mutex
	planners    []*balance.Planner // by layer; nil before the first report
	newestStep  int64              // step of the newest report
	fetchBudget float64            // bytes that may be fetched now; unused bytes accumulate
}

// proposal holds the next maps of all layers.
type proposal struct {
	payload []byte
	moves   int
}

func newMapPlanner(config Config) *mapPlanner { return &mapPlanner{config: config} }

// observe processes one report. An old or repeated report, or one that does not
// match the group, is ignored.
func (p *mapPlanner) observe(report Report) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.matchesShape(report) || p.planners != nil && report.Step <= p.newestStep {
		return
	}
	p.newestStep = report.Step
	if p.planners == nil {
		for _, loads := range report.Loads {
			p.planners = append(p.planners, balance.NewPlanner(p.config.Balance, p.config.Shape, loads, report.Speeds))
		}
		return
	}
	for l, loads := range report.Loads {
		p.planners[l].Observe(loads, report.Speeds)
	}
}

// matchesShape reports whether a report has the group's layers, ranks and
// experts, with speeds above zero and, in each layer, loads that are not
// negative and not all zero.
func (p *mapPlanner) matchesShape(report Report) bool {
	if len(report.Loads) != p.config.Layers || len(report.Speeds) != p.config.Ranks || slices.Min(report.Speeds) <= 0 {
		return false
	}
	for _, loads := range report.Loads {
		if len(loads) != p.config.Shape.Experts || slices.Min(loads) < 0 || slices.Max(loads) <= 0 {
			return false
		}
	}
	return true
}

// propose returns the proposal that should follow an engine's current map, or
// nil if there is nothing to change or there has been no report yet. A layer
// whose moves no longer fit into the budget only gets new shares.
func (p *mapPlanner) propose(state *expertmap.EngineState) *proposal {
	p.lock.Lock()
	defer p.lock.Unlock()
	budgetPerPlan := p.config.StoreRate * p.config.PlanInterval.Seconds()
	p.fetchBudget = min(p.fetchBudget+budgetPerPlan, budgetIntervals*budgetPerPlan)
	current, err := balance.DecodeLayers(state.Current.Payload, p.config.Shape)
	if err != nil || p.planners == nil || len(current) != len(p.planners) {
		return nil
	}
	next := make([]balance.Map, len(current))
	moves, changed := 0, false
	for l, planner := range p.planners {
		plan := planner.Plan(current[l].Placement, p.config.StepMS/float64(p.config.Layers))
		next[l] = plan.Map
		if p.fetchedBytes(moves+len(plan.Moves)) > p.fetchBudget {
			next[l] = plan.Shares
		} else {
			moves += len(plan.Moves)
		}
		changed = changed || differs(current[l], next[l])
	}
	if !changed {
		return nil
	}
	payload, err := balance.EncodeLayers(next)
	if err != nil {
		return nil
	}
	return &proposal{payload: payload, moves: moves}
}

// budgetIntervals is the number of plan intervals over which the unused budget
// accumulates.
const budgetIntervals = 4

func (p *mapPlanner) fetchedBytes(moves int) float64 {
	return float64(moves) * p.config.Balance.ExpertBytes
}

// spendBudget subtracts the bytes of an activated change from the budget.
func (p *mapPlanner) spendBudget(activated *proposal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.fetchBudget -= p.fetchedBytes(activated.moves)
}

// differs reports whether two maps differ in their placement or, by more than
// minShareChange, in their shares.
func differs(a, b balance.Map) bool {
	const minShareChange = 0.005
	for slot, e := range a.Placement {
		if e != b.Placement[slot] {
			return true
		}
		if d := a.Shares[slot] - b.Shares[slot]; d > minShareChange || d < -minShareChange {
			return true
		}
	}
	return false
}
