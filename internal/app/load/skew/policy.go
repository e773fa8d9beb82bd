package skew

import "quetzalbend/internal/core/balance"

// Names of the policies.
const (
	policyStatic     = "static"
	policyFullRepack = "full-repack"
	policyPlanner    = "quetzalbend"
)

// decision is a policy's choice for one layer.
type decision struct {
	next   balance.Map
	change bool // false: keep the current map
}

// policy chooses the expert maps of one layer.
type policy interface {
	observe(loads, speeds []float64)
	// urgent reports whether to plan at once, before the interval's end.
	urgent(current balance.Map) bool
	decide(current balance.Placement) decision
	// mapToActivate returns the map to activate once the weights of a decision
	// have arrived.
	mapToActivate(next balance.Map) balance.Map
}

// static never moves an expert.
type static struct{}

func (static) observe(_, _ []float64)                     {}
func (static) urgent(balance.Map) bool                    { return false }
func (static) decide(balance.Placement) decision          { return decision{} }
func (static) mapToActivate(next balance.Map) balance.Map { return next }

// fullRepack repacks all experts in each interval.
type fullRepack struct {
	shape  balance.Shape
	loads  *balance.Estimator
	speeds *balance.Estimator
}

func (p *fullRepack) observe(loads, speeds []float64) {
	p.loads.Observe(loads)
	p.speeds.Observe(speeds)
}

func (p *fullRepack) urgent(balance.Map) bool { return false }

func (p *fullRepack) decide(balance.Placement) decision {
	return decision{next: balance.Pack(p.shape, p.loads.Values(), p.speeds.Values()), change: true}
}

func (p *fullRepack) mapToActivate(next balance.Map) balance.Map {
	m, _ := balance.Shares(p.shape, next.Placement, p.loads.Values(), p.speeds.Values())
	return m
}

// plannerPolicy follows the plans of balance.Planner.
type plannerPolicy struct {
	planner   *balance.Planner
	msPerTime float64 // length of one unit of rank time in milliseconds
}

func (p *plannerPolicy) observe(loads, speeds []float64) { p.planner.Observe(loads, speeds) }

func (p *plannerPolicy) urgent(current balance.Map) bool { return p.planner.Urgent(current) }

func (p *plannerPolicy) decide(current balance.Placement) decision {
	plan := p.planner.Plan(current, p.msPerTime)
	return decision{next: plan.Map, change: true}
}

func (p *plannerPolicy) mapToActivate(next balance.Map) balance.Map {
	return p.planner.Shares(next.Placement)
}
