package limits

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"quetzalbend/internal/core/schema"
)

// Parameters of the gate.
const (
	// gateHoldTime is how long the gate divides capacity after capacity was last
	// short.
	gateHoldTime = 5 * time.Second
	// gateRefusedFactor is the fraction of the running requests that is taken as the
	// capacity when targets refuse; the rest stays free for accounts below their
	// share.
	gateRefusedFactor = 0.9
	// gateQueuedFactor is the same fraction for the case that requests wait at
	// targets.
	gateQueuedFactor = 0.98
	// gateSlowGrowth is the number of requests by which the capacity grows per round.
	// In a round as many requests finish as the capacity lets run at once.
	gateSlowGrowth = 0.25
	// gateFastGrowthDelay is the time without a reduction of the capacity after which
	// it grows by the fraction gateFastGrowth per round.
	gateFastGrowthDelay = 2 * time.Second
	gateFastGrowth      = 0.25
	// gateShrinkInterval is the least time between two reductions of the capacity.
	gateShrinkInterval = 100 * time.Millisecond
	// gateDivideInterval is how long computed allocations are used.
	gateDivideInterval = 20 * time.Millisecond
	// recentRefusalTime is how long an account that was refused counts as asking for
	// more than its allocation.
	recentRefusalTime = time.Second
	// usageWindow is the time constant with which the usage of an account is smoothed.
	usageWindow = 2 * time.Second
)

// CodeFairShare is the code of a refusal because capacity is short and the account
// already uses its allocation.
const CodeFairShare Code = "fair_share"

// gateRetryAfter is the wait that a refusal by the gate suggests.
const gateRetryAfter = time.Second

// Work describes a request to the gate.
type Work struct {
	Team    string
	Share   float64 // weight of the team
	Account string
	Class   schema.Class
}

// Gate divides capacity among teams by their weight and among the accounts of a
// team equally, but only while capacity is short. It estimates the capacity from
// the requests that run when targets refuse or queue others. Accounts that use less
// than an equal allocation are not refused and leave the rest to others; batch work
// gets what other classes leave.
type Gate struct {
	mu           sync.Mutex
	capacity     float64 // estimate of the requests that can run at once; 0 before the first shortage
	running      int
	lastShortAt  time.Time // when capacity was last short
	lastShrunkAt time.Time
	dividedAt    time.Time // when the allocations were last computed
	members      map[member]*gateMember
}

// member identifies an account at one of two priority levels: batch and the rest.
type member struct {
	team, account string
	batch         bool
}

// gateMember is the state of a member.
type gateMember struct {
	share           float64 // weight of the team
	running         int
	usage           float64   // smoothed number of running requests
	usageUpdated    time.Time // when usage was last brought up to date
	allocation      float64   // part of the capacity
	equalAllocation float64   // allocation if all asked for as much as they can get
	lastRefusedAt   time.Time // when a request of it was last refused
	lastSeen        time.Time
}

// updateUsage updates the smoothed usage.
func (m *gateMember) updateUsage(now time.Time) {
	elapsed := now.Sub(m.usageUpdated)
	m.usageUpdated = now
	m.usage += (float64(m.running) - m.usage) * (1 - math.Exp(-elapsed.Seconds()/usageWindow.Seconds()))
}

// wouldExceedAllocation reports whether one more request would be too much. An
// account that uses at least an equal allocation, or was refused recently, may run
// as many requests as its allocation. One that uses less may exceed an equal
// allocation by its square root and one more, since that much may come by chance.
func (m *gateMember) wouldExceedAllocation(now time.Time) bool {
	next := float64(m.running + 1)
	if m.usage >= m.equalAllocation || m.recentlyRefused(now) {
		return next > max(1, m.allocation)
	}
	return next > max(1, m.allocation, m.equalAllocation+math.Sqrt(m.equalAllocation)+1)
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{members: make(map[member]*gateMember)} }

// Ticket stands for a request that the gate has let through and that has not ended.
type Ticket struct {
	gate   *Gate
	member *gateMember
}

// Enter lets a request through or refuses it. Ticket.Leave must be called once on
// each ticket.
func (g *Gate) Enter(now time.Time, work Work) (*Ticket, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.member(work, now)
	m.lastSeen = now
	m.updateUsage(now)
	if g.recentlyShort(now) {
		g.divideCapacity(now)
		if g.contested(m, now) && m.wouldExceedAllocation(now) {
			m.lastRefusedAt = now
			g.lastShortAt = now
			return nil, &Refusal{Subject: work.Team + "/" + work.Account, Code: CodeFairShare, RetryAfter: gateRetryAfter}
		}
	}
	m.running++
	g.running++
	return &Ticket{gate: g, member: m}, nil
}

func (g *Gate) member(work Work, now time.Time) *gateMember {
	key := member{team: work.Team, account: work.Account, batch: work.Class == schema.Batch}
	m := g.members[key]
	if m == nil {
		m = &gateMember{allocation: 1, usageUpdated: now}
		g.members[key] = m
	}
	m.share = max(work.Share, minShare)
	return m
}

// minShare replaces smaller weights, so that weights are positive.
const minShare = 1e-3

// contested reports whether any member other than m has recently sent requests.
// Otherwise there is nothing to divide.
func (g *Gate) contested(m *gateMember, now time.Time) bool {
	for _, other := range g.members {
		if other != m && (other.running > 0 || now.Sub(other.lastSeen) < gateHoldTime) {
			return true
		}
	}
	return false
}

// recentlyShort reports whether capacity was short within gateHoldTime.
func (g *Gate) recentlyShort(now time.Time) bool {
	return g.capacity > 0 && now.Sub(g.lastShortAt) < gateHoldTime
}

// Shortage says what a request showed about the capacity of targets.
type Shortage int

// Values of Shortage.
const (
	NoShortage Shortage = iota
	Queued              // it ran while other requests waited at the target
	Refused             // targets refused it because they were full
)

// Leave ends a request and adjusts the capacity by the shortage that it showed.
func (t *Ticket) Leave(now time.Time, shortage Shortage) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shortage == Refused:
		g.shrink(now, gateRefusedFactor*float64(g.running-1))
	case shortage == Queued:
		g.shrink(now, gateQueuedFactor*float64(g.running))
	case g.recentlyShort(now):
		g.grow(now)
	}
	t.member.updateUsage(now)
	t.member.running--
	g.running--
}

// grow raises the capacity for a finished request: by the fraction gateFastGrowth in
// each round if it has not been reduced for gateFastGrowthDelay, otherwise by
// gateSlowGrowth requests in each round.
func (g *Gate) grow(now time.Time) {
	if now.Sub(g.lastShrunkAt) < gateFastGrowthDelay {
		g.capacity += gateSlowGrowth / g.capacity
		return
	}
	g.capacity += gateFastGrowth
}

// shrink records that capacity is short and, at most once in gateShrinkInterval,
// sets the estimate of the capacity to the given value, a fraction of the running
// requests.
func (g *Gate) shrink(now time.Time, capacity float64) {
	g.lastShortAt = now
	if now.Sub(g.lastShrunkAt) < gateShrinkInterval {
		return
	}
	g.lastShrunkAt = now
	g.capacity = max(1, capacity)
}

// divideCapacity computes the allocation of each account, at most once in
// gateDivideInterval.
func (g *Gate) divideCapacity(now time.Time) {
	if now.Sub(g.dividedAt) < gateDivideInterval {
		return
	}
	g.dividedAt = now
	urgent, batch := g.membersByLevel(now)
	left := g.capacity - divideLevel(g.capacity, urgent, now)
	divideLevel(max(left, 0), batch, now)
}

// membersByLevel returns the members of each level by team, and removes those that
// have recently sent no request.
func (g *Gate) membersByLevel(now time.Time) (urgent, batch map[string][]*gateMember) {
	urgent, batch = make(map[string][]*gateMember), make(map[string][]*gateMember)
	for _, key := range slices.SortedFunc(maps.Keys(g.members), compareMembers) {
		m := g.members[key]
		m.updateUsage(now)
		level := urgent
		if key.batch {
			level = batch
		}
		if m.running == 0 && now.Sub(m.lastSeen) > gateHoldTime {
			delete(g.members, key)
			continue
		}
		level[key.team] = append(level[key.team], m)
	}
	return urgent, batch
}

func compareMembers(a, b member) int {
	if order := strings.Compare(a.team, b.team); order != 0 {
		return order
	}
	return strings.Compare(a.account, b.account)
}

// divideLevel divides capacity among teams and then among their accounts. It
// returns how much they will use, with some headroom for the accounts that were not
// refused recently.
func divideLevel(capacity float64, teams map[string][]*gateMember, now time.Time) float64 {
	names := slices.Sorted(maps.Keys(teams))
	demands := make([]float64, len(names))
	weights := make([]float64, len(names))
	var notRefused, weight float64 // usage of the accounts not refused recently, and sum of weights
	for i, name := range names {
		for _, m := range teams[name] {
			demands[i] += m.demand(capacity, now)
			weights[i] = m.share
			if !m.recentlyRefused(now) {
				notRefused += m.usage
			}
		}
		weight += weights[i]
	}
	headroom := math.Sqrt(notRefused)
	used := headroom
	for i, part := range MaxMin(max(capacity-headroom, 0), demands, weights) {
		used += min(part, demands[i])
		divideTeam(part, capacity*weights[i]/weight, teams[names[i]], now)
	}
	return used
}

// divideTeam divides the allocation of a team among its accounts. equalAllocation
// is what the team would get if all teams asked for as much as they can get.
func divideTeam(allocation, equalAllocation float64, accounts []*gateMember, now time.Time) {
	demands := make([]float64, len(accounts))
	weights := make([]float64, len(accounts))
	for i, m := range accounts {
		demands[i], weights[i] = m.demand(allocation, now), 1
	}
	for i, allocation := range MaxMin(allocation, demands, weights) {
		accounts[i].allocation = allocation
		accounts[i].equalAllocation = equalAllocation / float64(len(accounts))
	}
}

// recentlyRefused reports whether a request of the account was refused within
// recentRefusalTime.
func (m *gateMember) recentlyRefused(now time.Time) bool {
	return now.Sub(m.lastRefusedAt) < recentRefusalTime
}

// demand is the usage of the account, or all capacity if it was refused recently.
func (m *gateMember) demand(capacity float64, now time.Time) float64 {
	if m.recentlyRefused(now) {
		return max(capacity, m.usage)
	}
	return m.usage
}

// MaxMin divides total by weighted max-min fairness: no part is larger than its
// demand, and what one does not need goes to the others by their weights. It returns
// the parts in the order of demands.
func MaxMin(total float64, demands, weights []float64) []float64 {
	order := make([]int, len(demands))
	var weight float64
	for i := range order {
		order[i] = i
		weight += weights[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if demands[a]*weights[b] < demands[b]*weights[a] {
			return -1
		}
		return 1
	})
	parts := make([]float64, len(demands))
	for _, i := range order {
		parts[i] = min(demands[i], total*weights[i]/weight)
		total -= parts[i]
		weight -= weights[i]
	}
	return parts
}
