package routing

import (
	"quetzalbend/internal/core/schema"
)

// Tier is one of the groups of targets that an entry considers one after the other.
type Tier string

// Tiers, first to last.
const (
	TierNear Tier = "near" // the subset from the entry's own failure domain
	TierFar  Tier = "far"  // the subset from the other failure domains
	TierRest Tier = "rest" // outside both subsets
)

// Explanation says how an entry judges one target for a request.
type Explanation struct {
	Target           string
	Tier             Tier
	Utilization      float64 // the target counts as full at 1 and above
	IneligibleReason string  // why the target would not be picked; empty if it may be
}

// Explain returns an explanation of each target in the pool for a query.
func (p *Pool) Explain(query *Query) []Explanation {
	var all []Explanation
	for _, tier := range []struct {
		name    Tier
		members []*Member
	}{{TierNear, p.Near}, {TierFar, p.Far}, {TierRest, p.rest}} {
		for _, member := range tier.members {
			all = append(all, Explanation{
				Target:           member.Target.Name,
				Tier:             tier.name,
				Utilization:      Utilization(member, query),
				IneligibleReason: query.ineligibleReason(member),
			})
		}
	}
	return all
}

// MatchRoute returns the first route that matches a method and a path, given
// without its query, or nil.
func MatchRoute(routes []schema.Route, method, path string) *schema.Route {
	for i := range routes {
		if routes[i].Matches(method, path) {
			return &routes[i]
		}
	}
	return nil
}
