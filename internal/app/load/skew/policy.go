package skew

import "quetzalbend/internal/core/balance"

// Names of the policies.
const (
	policyStatic     = "static"
	policyFullRepack = "full-repack"
	policyPlanner    = "quetzalbend"
)

// decision is what a policy wants for a layer.
type decision struct {
	next   balance.Map
	change bool
}

// policy decides for one layer.
type policy interface {
	observe(loads, speeds []float64)
	// urgent reports whether a plan should not wait for the interval's end.
	urgent(present balance.Map) bool
	decide(present balance.Placement) decision
	// arrived returns the map to activate once the weights of a decision are
	// there.
	arrived(next balance.Map) balance.Map
}

type static struct{}

func (static) observe(_, _ []float64)               {}
func (static) urgent(balance.Map) bool              { return false }
func (static) decide(balance.Placement) decision    { return decision{} }
func (static) arrived(next balance.Map) balance.Map { return next }

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

func (p *fullRepack) arrived(next balance.Map) balance.Map {
	m, _ := balance.Shares(p.shape, next.Placement, p.loads.Values(), p.speeds.Values())
	return m
}

type planned struct {
	planner *balance.Planner
	perTime float64
}

func (p *planned) observe(loads, speeds []float64) { p.planner.Observe(loads, speeds) }

func (p *planned) urgent(present balance.Map) bool { return p.planner.Urgent(present) }

func (p *planned) decide(present balance.Placement) decision {
	plan := p.planner.Plan(present, p.perTime)
	return decision{next: plan.Map, change: true}
}

func (p *planned) arrived(next balance.Map) balance.Map { return p.planner.Shares(next.Placement) }
