package routing

import (
	"sync/atomic"

	"quetzalbend/internal/core/rendezvous"
)

// affinitySlack is how far the utilization of a prefix's home (see Affinity) may
// exceed the mean before another target is picked.
const affinitySlack = 0.25

// LeastOutstanding picks the less utilized of two random members. If that one is
// full, it picks the least utilized of all. The random choice of two keeps entries
// with equally old reports from all picking the same target.
type LeastOutstanding struct{}

// Pick implements Strategy.
func (LeastOutstanding) Pick(members []*Member, query *Query) *Member {
	count := uint64(len(members))
	first := members[query.Random%count]
	second := members[(query.Random>>32)%count]
	picked := lessUtilized(first, second, query)
	if Utilization(picked, query) < 1 {
		return picked
	}
	for _, member := range members {
		picked = lessUtilized(picked, member, query)
	}
	return picked
}

func lessUtilized(a, b *Member, query *Query) *Member {
	if Utilization(b, query) < Utilization(a, query) {
		return b
	}
	return a
}

// OwnOutstanding picks the member with the fewest outstanding requests of this entry
// and uses no reports. It is a baseline to compare other strategies with.
type OwnOutstanding struct{}

// Pick implements Strategy.
func (OwnOutstanding) Pick(members []*Member, query *Query) *Member {
	first := int(query.Random % uint64(len(members)))
	picked := members[first]
	for i := range members {
		member := members[(first+i)%len(members)]
		if member.State.Outstanding() < picked.State.Outstanding() {
			picked = member
		}
	}
	return picked
}

// RoundRobin picks the members in turn. It is a baseline to compare other strategies
// with.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements Strategy.
func (r *RoundRobin) Pick(members []*Member, _ *Query) *Member {
	return members[(r.next.Add(1)-1)%uint64(len(members))]
}

// Affinity picks the home of the prompt's prefix: the member that comes first for the
// prefix in rendezvous hashing, so that its engine has the prefix in its cache.
// Fallback picks if there is no prefix, and if the home is full or utilized well
// above the mean.
type Affinity struct {
	Fallback Strategy
}

// Pick implements Strategy.
func (a Affinity) Pick(members []*Member, query *Query) *Member {
	if query.Affinity == "" {
		return a.Fallback.Pick(members, query)
	}
	home := members[0]
	var best uint64
	var sum float64
	for _, member := range members {
		sum += Utilization(member, query)
		if weight := rendezvous.Hash(query.Affinity, member.Target.Name); weight >= best {
			best = weight
			home = member
		}
	}
	mean := sum / float64(len(members))
	if Utilization(home, query) < min(1, mean+affinitySlack) {
		return home
	}
	return a.Fallback.Pick(members, query)
}
