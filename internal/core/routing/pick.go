package routing

import (
	"time"

	"quetzalbend/internal/core/schema"
)

// batchLimitFraction is the fraction of a target's limit that batch requests may
// fill, so that the rest stays free for more urgent classes.
const batchLimitFraction = 0.8

// Query describes the request that needs a target.
type Query struct {
	Class    schema.Class
	Affinity string   // hash of the prompt's prefix; empty for none
	Exclude  []string // names of targets that were tried before
	Now      time.Time
	Random   uint64
}

// Strategy picks one of the members, which are all eligible. There is at least one.
type Strategy interface {
	Pick(members []*Member, query *Query) *Member
}

// Pick picks a target that is not full: first in the subset from the entry's own
// failure domain, then in the subset from the other failure domains, then outside
// the subsets. If all picks are full it returns the first one, and nil if no target
// is eligible.
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

// eligible returns the members that may get new work. If there are none, it returns
// those that were recently unreachable, so that these are tried again.
func (q *Query) eligible(members []*Member) []*Member {
	available := make([]*Member, 0, len(members))
	var avoided []*Member
	for _, member := range members {
		switch q.ineligibleReason(member) {
		case "":
			available = append(available, member)
		case ineligibleAvoided:
			avoided = append(avoided, member)
		}
	}
	if len(available) == 0 {
		return avoided
	}
	return available
}

// Reasons for which a target may not get a request.
const (
	ineligibleOut      = "out"
	ineligibleLeaving  = "leaving"
	ineligibleExcluded = "tried before"
	ineligibleAvoided  = "lately unreachable"
)

// ineligibleReason returns why a member may not get the request; empty if it may.
func (q *Query) ineligibleReason(member *Member) string {
	if !member.Target.Serving() {
		return ineligibleOut
	}
	if member.State.Leaving(q.Now) {
		return ineligibleLeaving
	}
	for _, name := range q.Exclude {
		if name == member.Target.Name {
			return ineligibleExcluded
		}
	}
	if member.State.avoided(q.Now) {
		return ineligibleAvoided
	}
	return ""
}

// Utilization is the ratio of the requests expected at the target to the number that
// it can handle for the query's class. At 1 and above the target is full.
func Utilization(member *Member, query *Query) float64 {
	limit := member.State.limit(member.Target.ColdLimit)
	if query.Class == schema.Batch {
		limit *= batchLimitFraction
	}
	return member.State.expectedRequests(query.Now) / max(limit, 1)
}

// FirstEligible returns the first member in the given order that may get new work,
// or nil. Members that were recently unreachable come after all others.
func FirstEligible(members []*Member, query *Query) *Member {
	eligible := query.eligible(members)
	if len(eligible) == 0 {
		return nil
	}
	return eligible[0]
}
