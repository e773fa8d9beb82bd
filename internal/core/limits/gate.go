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

// Shape of the gate.
const (
	// gateHold is how long the gate stays after capacity was last short.
	gateHold = 5 * time.Second
	// gateShrink is the part of what ran that is kept as capacity when targets
	// refuse; the rest stays free for accounts below their share.
	gateShrink = 0.9
	// gateTrim is the same while requests wait at targets.
	gateTrim = 0.98
	// gateGrowth is by how much a finished round of requests raises the capacity.
	gateGrowth = 0.25
	// gateCalm is how long targets have refused nothing when the capacity begins
	// to grow by gateCalmGrowth of itself in a round.
	gateCalm       = 2 * time.Second
	gateCalmGrowth = 0.25
	// gatePause is the least time between two reductions of the capacity.
	gatePause = 100 * time.Millisecond
	// gateFresh is how long computed parts are used.
	gateFresh = 20 * time.Millisecond
	// hungryFor is how long an account that was held back counts as asking for
	// more than its part.
	hungryFor = time.Second
	// usageWindow is the time over which the use of an account is smoothed.
	usageWindow = 2 * time.Second
)

// CodeFairShare refuses a request of an account that already has its part of a
// capacity that is short.
const CodeFairShare Code = "fair_share"

// gateRetryAfter is the wait that the gate suggests.
const gateRetryAfter = time.Second

// Work describes a request to the gate.
type Work struct {
	Team    string
	Share   float64 // weight of the team
	Account string
	Class   schema.Class
}

// Gate divides capacity among teams by their weight and among the accounts of a
// team equally, but only while targets refuse work for want of capacity. It
// learns the capacity from these refusals. Accounts that use less than an equal
// part are not held back and leave the rest to others; batch work gets what
// other classes leave.
type Gate struct {
	mu       sync.Mutex
	capacity float64 // requests that run at once; 0 before the first refusal
	running  int
	shortAt  time.Time // when capacity was last short
	shrunkAt time.Time
	dividing time.Time // when the parts were last computed
	members  map[member]*gateMember
}

// member is an account in one of the two priority levels.
type member struct {
	team, account string
	batch         bool
}

type gateMember struct {
	share   float64
	running int
	usage   float64   // smoothed number of running requests
	smooth  time.Time // when usage was last brought up to date
	part    float64   // of the capacity
	equal   float64   // part if all asked for as much as they can get
	held    time.Time // when it was last held back
	seen    time.Time
}

// advance brings the smoothed use up to date.
func (m *gateMember) advance(now time.Time) {
	elapsed := now.Sub(m.smooth)
	m.smooth = now
	m.usage += (float64(m.running) - m.usage) * (1 - math.Exp(-elapsed.Seconds()/usageWindow.Seconds()))
}

// heldBack reports whether one more request would be too much: more than its
// part for an account that uses at least an equal part or was held back just
// now, and more than chance explains for one that uses less.
func (m *gateMember) heldBack(now time.Time) bool {
	next := float64(m.running + 1)
	if m.usage >= m.equal || m.hungry(now) {
		return next > max(1, m.part)
	}
	return next > max(1, m.part, m.equal+math.Sqrt(m.equal)+1)
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{members: make(map[member]*gateMember)} }

// Ticket is a request that the gate let through.
type Ticket struct {
	gate   *Gate
	member *gateMember
}

// Enter lets a request through, or refuses it. Every ticket must be handed to
// Leave once.
func (g *Gate) Enter(now time.Time, work Work) (*Ticket, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.member(work, now)
	m.seen = now
	m.advance(now)
	if g.short(now) {
		g.divide(now)
		if g.contested(m, now) && m.heldBack(now) {
			m.held = now
			g.shortAt = now
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
		m = &gateMember{part: 1, smooth: now}
		g.members[key] = m
	}
	m.share = max(work.Share, minShare)
	return m
}

// minShare keeps weights positive.
const minShare = 1e-3

// contested reports whether anybody but one member has lately sent requests.
// There is nothing to divide with nobody else.
func (g *Gate) contested(m *gateMember, now time.Time) bool {
	for _, other := range g.members {
		if other != m && (other.running > 0 || now.Sub(other.seen) < gateHold) {
			return true
		}
	}
	return false
}

// short reports whether capacity has lately been short.
func (g *Gate) short(now time.Time) bool {
	return g.capacity > 0 && now.Sub(g.shortAt) < gateHold
}

// Shortage is what a request met at its target.
type Shortage int

// Shortages.
const (
	NoShortage Shortage = iota
	Queued              // it ran, while others waited
	Refused             // targets refused it because they were full
)

// Leave counts a request out.
func (t *Ticket) Leave(now time.Time, shortage Shortage) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shortage == Refused:
		g.shrink(now, gateShrink*float64(g.running-1))
	case shortage == Queued:
		g.shrink(now, gateTrim*float64(g.running))
	case g.short(now):
		g.grow(now)
	}
	t.member.advance(now)
	t.member.running--
	g.running--
}

// grow raises the capacity for a finished request: by a part of itself in each
// round once targets have refused nothing for a while, slowly before that.
func (g *Gate) grow(now time.Time) {
	if now.Sub(g.shrunkAt) < gateCalm {
		g.capacity += gateGrowth / g.capacity
		return
	}
	g.capacity += gateCalmGrowth
}

// shrink takes a part of what runs now as the capacity.
func (g *Gate) shrink(now time.Time, capacity float64) {
	g.shortAt = now
	if now.Sub(g.shrunkAt) < gatePause {
		return
	}
	g.shrunkAt = now
	g.capacity = max(1, capacity)
}

// divide computes the part of each account, unless that was done just now.
func (g *Gate) divide(now time.Time) {
	if now.Sub(g.dividing) < gateFresh {
		return
	}
	g.dividing = now
	urgent, batch := g.levels(now)
	left := g.capacity - divideLevel(g.capacity, urgent, now)
	divideLevel(max(left, 0), batch, now)
}

// levels returns the members of each level by team, and forgets those that are
// gone.
func (g *Gate) levels(now time.Time) (urgent, batch map[string][]*gateMember) {
	urgent, batch = make(map[string][]*gateMember), make(map[string][]*gateMember)
	for _, key := range slices.SortedFunc(maps.Keys(g.members), compareMembers) {
		m := g.members[key]
		m.advance(now)
		level := urgent
		if key.batch {
			level = batch
		}
		if m.running == 0 && now.Sub(m.seen) > gateHold {
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
// returns what they will use, with some room for the accounts that were not
// held back.
func divideLevel(capacity float64, teams map[string][]*gateMember, now time.Time) float64 {
	names := slices.Sorted(maps.Keys(teams))
	demands := make([]float64, len(names))
	weights := make([]float64, len(names))
	var light, weight float64
	for i, name := range names {
		for _, m := range teams[name] {
			demands[i] += m.demand(capacity, now)
			weights[i] = m.share
			if !m.hungry(now) {
				light += m.usage
			}
		}
		weight += weights[i]
	}
	room := math.Sqrt(light)
	used := room
	for i, part := range MaxMin(max(capacity-room, 0), demands, weights) {
		used += min(part, demands[i])
		divideTeam(part, capacity*weights[i]/weight, teams[names[i]], now)
	}
	return used
}

// divideTeam divides the part of a team among its accounts. Equal is what the
// team would get if all teams asked for as much as they can get.
func divideTeam(part, equal float64, accounts []*gateMember, now time.Time) {
	demands := make([]float64, len(accounts))
	weights := make([]float64, len(accounts))
	for i, m := range accounts {
		demands[i], weights[i] = m.demand(part, now), 1
	}
	for i, part := range MaxMin(part, demands, weights) {
		accounts[i].part = part
		accounts[i].equal = equal / float64(len(accounts))
	}
}

func (m *gateMember) hungry(now time.Time) bool { return now.Sub(m.held) < hungryFor }

// demand is what the account uses, or as much as there is if it was held back.
func (m *gateMember) demand(capacity float64, now time.Time) float64 {
	if m.hungry(now) {
		return max(capacity, m.usage)
	}
	return m.usage
}

// MaxMin divides total by demands and weights: nobody gets more than it asks
// for while another wants more in relation to its weight. It returns the parts
// in the order of demands.
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
