package routing

import (
	"quetzalbend/internal/core/schema"
)

// Tier is the order in which an entry considers a target.
type Tier string

// Tiers, first to last.
const (
	TierNear Tier = "near" // subset of the own failure domain
	TierFar  Tier = "far"  // subset of the others
	TierRest Tier = "rest" // outside the subsets
)

// Explanation says how an entry sees one target for a request.
type Explanation struct {
	Target      string
	Tier        Tier
	Utilization float64 // from 1 on the target is taken for full
	Obstacle    string  // why it would not be picked; empty if it may be
}

// Explain tells how each target of the pool stands for a query.
func (p *Pool) Explain(query *Query) []Explanation {
	var all []Explanation
	for _, tier := range []struct {
		name    Tier
		members []*Member
	}{{TierNear, p.Near}, {TierFar, p.Far}, {TierRest, p.rest}} {
		for _, member := range tier.members {
			all = append(all, Explanation{
				Target:      member.Target.Name,
				Tier:        tier.name,
				Utilization: Utilization(member, query),
				Obstacle:    query.obstacle(member),
			})
		}
	}
	return all
}

// MatchRoute returns the first route for a method and a path without its
// query, or nil.
func MatchRoute(routes []schema.Route, method, path string) *schema.Route {
	for i := range routes {
		if routes[i].Matches(method, path) {
			return &routes[i]
		}
	}
	return nil
}
