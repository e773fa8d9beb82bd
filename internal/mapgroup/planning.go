package mapgroup

import (
	"slices"
	"sync"

	"quetzalbend/internal/core/balance"
	"quetzalbend/internal/core/expertmap"
)

// planning turns load reports into proposals, within what the weight store can
// deliver.
type planning struct {
	config Config

	lock     sync.Mutex
	planners []*balance.Planner // by layer; nil before the first report
	newest   int64              // step of the newest report
	credit   float64            // bytes that may be fetched now
}

// proposal is a map of all layers to change to.
type proposal struct {
	payload []byte
	moves   int
}

func newPlanning(config Config) *planning { return &planning{config: config} }

// observe takes one report in. An old one, a repeated one or one of another
// shape changes nothing.
func (p *planning) observe(report Report) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.fits(report) || p.planners != nil && report.Step <= p.newest {
		return
	}
	p.newest = report.Step
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

func (p *planning) fits(report Report) bool {
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

// propose returns the map that should follow an engine's present one, or nil
// if there is nothing to change or nothing is known yet.
func (p *planning) propose(state *expertmap.EngineState) *proposal {
	p.lock.Lock()
	defer p.lock.Unlock()
	full := p.config.StoreRate * p.config.PlanInterval.Seconds()
	p.credit = min(p.credit+full, creditIntervals*full)
	present, err := balance.DecodeLayers(state.Current.Payload, p.config.Shape)
	if err != nil || p.planners == nil || len(present) != len(p.planners) {
		return nil
	}
	next := make([]balance.Map, len(present))
	moves, changed := 0, false
	for l, planner := range p.planners {
		plan := planner.Plan(present[l].Placement, p.config.StepMS/float64(p.config.Layers))
		next[l] = plan.Map
		if p.bytes(moves+len(plan.Moves)) > p.credit {
			next[l] = plan.Shares
		} else {
			moves += len(plan.Moves)
		}
		changed = changed || differs(present[l], next[l])
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

// creditIntervals is the number of plans over which unused credit adds up.
const creditIntervals = 4

func (p *planning) bytes(moves int) float64 {
	return float64(moves) * p.config.Balance.ExpertBytes
}

// spend takes the bytes of a change that was carried out off the credit.
func (p *planning) spend(done *proposal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.credit -= p.bytes(done.moves)
}

// differs reports whether two maps place or share experts differently.
func differs(a, b balance.Map) bool {
	const least = 0.005
	for slot, e := range a.Placement {
		if e != b.Placement[slot] {
			return true
		}
		if d := a.Shares[slot] - b.Shares[slot]; d > least || d < -least {
			return true
		}
	}
	return false
}
