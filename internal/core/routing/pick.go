package routing

import (
	"time"

	"quetzalbend/internal/core/schema"
)

// batchHeadroom is the part of a target's limit that batch requests may fill,
// so that more urgent classes find room.
const batchHeadroom = 0.8

// Query describes the request that needs a target.
type Query struct {
	Class    schema.Class
	Affinity string // hash of the prompt's prefix; empty for none
	Exclude  []string
	Now      time.Time
	Random   uint64
}

// Strategy picks one of the members, which are all eligible. Members are
// never empty.
type Strategy interface {
	Pick(members []*Member, query *Query) *Member
}

// Pick picks a target: in the own failure domain first, in the others when
// the own one is short, and outside the subsets when those have nothing left.
// It returns nil where no target is eligible.
func (p *Pool) Pick(strategy Strategy, query *Query) *Member {
	var full *Member
	for _, tier := range [][]*Member{p.Near, p.Far, p.rest} {
		eligible := query.eligible(tier)
		if len(eligible) == 0 {
			continue
		}
		picked := strategy.Pick(eligible, query)
		if Utilization(picked, query) < 1 {
			return picked
		}
		if full == nil {
			full = picked
		}
	}
	return full
}

// eligible returns the members that may get new work; with all of them lately
// unreachable, those are tried again rather than none.
func (q *Query) eligible(members []*Member) []*Member {
	fit := make([]*Member, 0, len(members))
	var avoided []*Member
	for _, member := range members {
		switch q.obstacle(member) {
		case "":
			fit = append(fit, member)
		case obstacleAvoided:
			avoided = append(avoided, member)
		}
	}
	if len(fit) == 0 {
		return avoided
	}
	return fit
}

// Obstacles that keep a target from getting a request.
const (
	obstacleOut      = "out"
	obstacleLeaving  = "leaving"
	obstacleExcluded = "tried before"
	obstacleAvoided  = "lately unreachable"
)

func (q *Query) obstacle(member *Member) string {
	if !member.Target.Serving() {
		return obstacleOut
	}
	if member.State.Leaving(q.Now) {
		return obstacleLeaving
	}
	for _, name := range q.Exclude {
		if name == member.Target.Name {
			return obstacleExcluded
		}
	}
	if member.State.avoided(q.Now) {
		return obstacleAvoided
	}
	return ""
}

// Utilization is the expected number of requests at the target over the
// number that it bears for the query's class. From 1 on it is full.
func Utilization(member *Member, query *Query) float64 {
	limit := member.State.limit(member.Target.ColdLimit)
	if query.Class == schema.Batch {
		limit *= batchHeadroom
	}
	return member.State.expected(query.Now) / max(limit, 1)
}

// FirstEligible returns the first member in the given order that may get new work, or
// nil. Lately unreachable members come after all others.
func FirstEligible(members []*Member, query *Query) *Member {
	eligible := query.eligible(members)
	if len(eligible) == 0 {
		return nil
	}
	return eligible[0]
}
