package maplead

import (
	"context"
	"slices"
	"sync"
	"time"

	"quetzalbend/internal/core/demand"
	"quetzalbend/internal/core/expertplan"
	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

const (
	maxLoadsPerChange = 2               // experts of all sets together that a rank may load in one change
	minSkewGain       = 0.12            // reduction of the skew that a change must bring
	prepareTimeout    = 4 * time.Second // after which a map that not all ranks have prepared is abandoned
	versionsPerToken  = 1 << 20         // map versions reserved for each fencing token
)

// rankSession identifies one start of a rank in one epoch of its group, under the
// fencing token of one leader.
type rankSession struct {
	epoch, born, token int64
}

// group is what the leader knows about one lock-step group.
type group struct {
	leader *Leader
	name   string
	window *demand.Window

	epoch          int64
	token          int64
	versionsUsed   int64 // versions assigned under token
	current        expertplan.Map
	version        int64                  // of current; -1: unknown
	targetVersion  int64                  // version being put in force; 0: none
	planned        expertplan.Map         // map of version targetVersion
	progress       progress               // of the change to version targetVersion
	shifts         int                    // number of demand shifts when that map was planned
	accepted       map[string]rankSession // by the rank's address: session in which it last accepted an order
	preparation    map[string]preparation // by the rank's address: last map that the rank agreed to prepare
	abandoned      map[int64]bool         // versions for which disarm orders were sent
	lastUnanswered time.Time              // when an order last got no answer; it may have been carried out
	unreadSince    time.Time              // since when the ranks have not been read completely; zero: they have been
}

// progress is when a change reached each of its phases, for the log.
type progress struct {
	planned    time.Time
	held       time.Time // when the first hold was accepted; zero: not yet
	released   time.Time // when the last release was accepted; zero: not yet
	unanswered int       // orders without an answer
}

// fields returns the duration of each phase that is complete.
func (p *progress) fields(now time.Time) eventlog.Fields {
	fields := eventlog.Fields{"ms": now.Sub(p.planned).Milliseconds(), "unanswered": p.unanswered}
	if !p.held.IsZero() {
		fields["prepared_ms"] = p.held.Sub(p.planned).Milliseconds()
		if p.released.After(p.held) {
			fields["held_ms"] = p.released.Sub(p.held).Milliseconds()
		}
	}
	return fields
}

// record records the outcome of an order.
func (p *progress) record(operation mapchange.Operation, answer platform.OrderAnswer, now time.Time) {
	switch {
	case answer == platform.OrderUnknown:
		p.unanswered++
	case answer != platform.OrderAccepted:
	case operation == mapchange.Hold && p.held.IsZero():
		p.held = now
	case operation == mapchange.Release:
		p.released = now
	}
}

// unansweredWindow is the time after an order without an answer in which other
// orders are likely to get no answer as well.
const unansweredWindow = 2 * time.Second

// preparation identifies a map that a rank has agreed to prepare, and the session in
// which it did.
type preparation struct {
	session rankSession
	version int64
}

func newGroup(leader *Leader, name string) *group {
	return &group{leader: leader, name: name, window: demand.NewWindow(), version: -1, accepted: make(map[string]rankSession), preparation: make(map[string]preparation), abandoned: make(map[int64]bool)}
}

func (g *group) changePlan() mapchange.Plan {
	return mapchange.Plan{WantedVersion: g.targetVersion, Abandoned: g.abandoned, OrdersLost: time.Since(g.lastUnanswered) < unansweredWindow}
}

func (g *group) needsPlacement() bool { return g.current == nil }

// update processes the ranks' reports and sends the orders that are due. It reports
// whether a change is planned or in progress.
func (g *group) update(ctx context.Context, service *fleet.Service, members []member, token int64) bool {
	slices.SortFunc(members, func(a, b member) int { return a.rank.Index - b.rank.Index })
	ranks := make([]mapchange.Rank, len(members))
	for i := range members {
		ranks[i] = members[i].rank
		session := rankSession{ranks[i].Epoch, ranks[i].Born, token}
		ranks[i].Touched = g.accepted[ranks[i].Target] == session
		ranks[i].Busy = ranks[i].Busy || g.targetVersion != 0 && g.preparation[ranks[i].Target] == preparation{session, g.targetVersion}
	}
	now := time.Now()
	if !g.complete(ranks, now) {
		return false
	}
	g.observe(ranks, now)
	g.reconcile(service, members, ranks, token, now)
	if g.outdated(ranks) || g.abandoned[g.targetVersion] {
		g.targetVersion = 0
	}
	switch {
	case g.targetVersion != 0:
	case mapchange.Stuck(ranks, g.changePlan()):
		g.reissueCurrent(token, now)
	case !mapchange.Changing(ranks):
		g.plan(service, ranks, token, now)
	}
	g.advance(ctx, members, ranks, token)
	return g.targetVersion != 0 || mapchange.Changing(ranks)
}

// maxRounds limits the rounds of orders that are sent without reading the ranks
// again. A change takes three rounds from the hold to its release.
const maxRounds = 6

// advance sends the orders that are due and, once these are accepted, those that
// follow, without reading the ranks again: a held step blocks the group as soon as
// the group reaches it.
func (g *group) advance(ctx context.Context, members []member, ranks []mapchange.Rank, token int64) {
	for range maxRounds {
		orders := mapchange.Next(ranks, g.changePlan())
		if len(orders) == 0 || !g.sendOrders(ctx, members, ranks, orders, token) {
			return
		}
	}
}

// complete reports whether all ranks of the group were read, and logs when that changes.
func (g *group) complete(ranks []mapchange.Rank, now time.Time) bool {
	complete := mapchange.Complete(ranks)
	switch {
	case !complete && g.unreadSince.IsZero():
		g.unreadSince = now
		fields := eventlog.Fields{"group": g.name, "ranks_read": len(ranks)}
		if len(ranks) > 0 {
			fields["size"] = ranks[0].Size
		}
		g.leader.Log.State("group not read completely", fields)
	case complete && !g.unreadSince.IsZero():
		g.leader.Log.State("group read completely again", eventlog.Fields{"group": g.name, "ms": now.Sub(g.unreadSince).Milliseconds()})
		g.unreadSince = time.Time{}
	}
	return complete
}

// observe adds the counts that the ranks report to the demand window.
func (g *group) observe(ranks []mapchange.Rank, now time.Time) {
	counted := false
	shifts := g.window.Shifts()
	for i := range ranks {
		if len(ranks[i].Counts) > 0 {
			g.window.Add(ranks[i].Target, ranks[i].Born, ranks[i].Epoch, ranks[i].Counts)
			counted = true
		}
	}
	if counted {
		g.window.EndRound(now)
	}
	if g.window.Shifts() != shifts {
		g.leader.Log.State("demand shifted", eventlog.Fields{"group": g.name, "version": g.version})
	}
}

// reconcile updates the leader's view of the group from the ranks' reports: it resets
// the view under a new token or in a new epoch, and recognizes that the planned map
// is in force or has taken too long to prepare.
func (g *group) reconcile(service *fleet.Service, members []member, ranks []mapchange.Rank, token int64, now time.Time) {
	if token != g.token {
		g.token, g.versionsUsed, g.targetVersion = token, 0, 0
	}
	if epoch := ranks[0].Epoch; epoch != g.epoch {
		g.epoch, g.targetVersion, g.current, g.version = epoch, 0, nil, -1
		clear(g.abandoned)
	}
	inForce, same := commonVersion(ranks)
	if !same {
		return
	}
	switch {
	case g.targetVersion != 0 && inForce == g.targetVersion:
		g.logChange("map in force", now)
		g.current, g.version, g.targetVersion = g.planned, inForce, 0
	case g.targetVersion != 0 && now.Sub(g.progress.planned) > prepareTimeout && !mapchange.Changing(ranks):
		g.logChange("map change abandoned", now)
		g.targetVersion = 0
	}
	if inForce != g.version {
		g.current, g.version = nil, -1
		if inForce == 0 {
			g.current, g.version = expertplan.RoundRobin(service.Engine.Sets, len(ranks), service.Engine.Experts), 0
		} else if placement := placedMap(members, service.Engine.Sets); placement != nil {
			g.current, g.version = placement, inForce
		}
	}
}

// logChange logs the end of the change to targetVersion.
func (g *group) logChange(message string, now time.Time) {
	fields := g.progress.fields(now)
	fields["group"], fields["version"] = g.name, g.targetVersion
	g.leader.Log.State(message, fields)
}

// commonVersion returns the version that is in force at every rank. It reports false
// if the versions differ.
func commonVersion(ranks []mapchange.Rank) (int64, bool) {
	for i := range ranks {
		if ranks[i].Version != ranks[0].Version {
			return 0, false
		}
	}
	return ranks[0].Version, true
}

// placedMap returns the map that the ranks hold, or nil if the experts of a rank
// were not reported.
func placedMap(members []member, sets int) expertplan.Map {
	m := make(expertplan.Map, sets)
	for _, member := range members {
		if len(member.placement) != sets {
			return nil
		}
		for s, experts := range member.placement {
			m[s] = append(m[s], experts)
		}
	}
	return m
}

// outdated reports whether demand has shifted since the map in preparation was planned,
// and the change can still be abandoned for a better one.
func (g *group) outdated(ranks []mapchange.Rank) bool {
	return g.targetVersion != 0 && !mapchange.Changing(ranks) && g.window.Stable() && g.window.Shifts() != g.shifts
}

// plan plans a new map, and starts a change to it if it lowers the skew by at least
// minSkewGain.
func (g *group) plan(service *fleet.Service, ranks []mapchange.Rank, token int64, now time.Time) {
	engine := service.Engine
	loads := g.window.Loads(engine.Sets)
	if g.current == nil || loads == nil || len(loads[0]) != engine.Experts {
		return
	}
	speeds := make([]float64, len(ranks))
	for i := range ranks {
		speeds[i] = 1 / max(ranks[i].Pace, 1)
	}
	shape := expertplan.Shape{
		Ranks: len(ranks), Experts: engine.Experts, Places: engine.Places, Spare: engine.Spare, Loads: maxLoadsPerChange,
	}
	next, loaded := expertplan.Improve(g.current, loads, speeds, shape)
	before, after := expertplan.Skew(g.current, loads, speeds), expertplan.Skew(next, loads, speeds)
	if before-after < minSkewGain {
		return
	}
	g.startChange(next, token, now)
	g.leader.Log.State("map planned", eventlog.Fields{
		"group": g.name, "version": g.targetVersion, "skew_before": before, "skew_after": after, "experts_loaded": loaded,
	})
}

// reissueCurrent starts a change to the map in force under a new version, which
// finishes a change that was left incomplete.
func (g *group) reissueCurrent(token int64, now time.Time) {
	if g.current == nil {
		return
	}
	g.startChange(g.current, token, now)
	g.leader.Log.State("finishing an incomplete map change", eventlog.Fields{"group": g.name, "version": g.targetVersion})
}

// startChange makes next the map to put in force, under a new version.
func (g *group) startChange(next expertplan.Map, token int64, now time.Time) {
	g.versionsUsed++
	g.targetVersion, g.planned, g.shifts = token*versionsPerToken+g.versionsUsed, next, g.window.Shifts()
	g.progress = progress{planned: now}
}

// sendOrders sends all orders concurrently, records which ranks have accepted
// theirs, and reports whether all have.
func (g *group) sendOrders(ctx context.Context, members []member, ranks []mapchange.Rank, orders []mapchange.Order, token int64) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var wait sync.WaitGroup
	answers := make([]platform.OrderAnswer, len(orders))
	for i, order := range orders {
		rank := &ranks[order.Rank]
		rankOrder := platform.RankOrder{Order: order, Epoch: rank.Epoch, Expected: rank.Sequence, Token: token}
		switch order.Operation {
		case mapchange.Prepare:
			rankOrder.Map = g.planned
		case mapchange.Disarm:
			g.abandoned[order.Version] = true
		}
		wait.Go(func() {
			answer, err := g.leader.Ranks.SendOrder(ctx, members[order.Rank].target, rankOrder)
			if err != nil || answer != platform.OrderAccepted {
				g.logOrder(rankOrder, rank.Target, answer, err)
			}
			answers[i] = answer
		})
	}
	wait.Wait()
	allAccepted := true
	for i, order := range orders {
		rank := &ranks[order.Rank]
		g.progress.record(order.Operation, answers[i], time.Now())
		switch answers[i] {
		case platform.OrderAccepted:
			mapchange.Apply(rank, order)
			session := rankSession{rank.Epoch, rank.Born, token}
			g.accepted[rank.Target] = session
			if order.Operation == mapchange.Prepare {
				g.preparation[rank.Target] = preparation{session, order.Version}
			}
			continue
		case platform.OrderUnknown:
			g.lastUnanswered = time.Now()
		case platform.OrderFenced:
			g.leader.setFenced(token)
		}
		allAccepted = false
	}
	return allAccepted
}

func (g *group) logOrder(order platform.RankOrder, target string, answer platform.OrderAnswer, err error) {
	fields := eventlog.Fields{
		"group": g.name, "target": target, "operation": string(order.Operation), "version": order.Version,
		"step": order.Step, "epoch": order.Epoch, "token": order.Token, "answer": answer.String(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.leader.Log.Decision("order not accepted", fields)
}
