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
	loadsInChange  = 2               // experts of all sets that a rank may load in one change
	minSkewGain    = 0.12            // that a change must bring
	prepareTimeout = 4 * time.Second // after which a map that is not prepared is given up
	versionsOfTerm = 1 << 20         // versions that one fencing token leaves room for
)

// acceptance names the rank's life and the token of an order that it accepted.
type acceptance struct {
	epoch, born, token int64
}

// group is what the leader knows of one lock-step group.
type group struct {
	leader *Leader
	name   string
	window *demand.Window

	epoch    int64
	token    int64
	used     int64 // versions used under token
	present  expertplan.Map
	version  int64 // of present; -1: unknown
	want     int64 // version being brought into force; 0: none
	planned  expertplan.Map
	since    time.Time             // when want was planned
	steps    int                   // how often demand had moved by then
	accepted map[string]acceptance // by rank
	copying  map[string]copying    // by rank
	givenUp  map[int64]bool        // versions that ranks were told to disarm
	lost     time.Time             // when an order got no answer last
}

// lossMemory is how long a lost order makes others likely to be lost.
const lossMemory = 2 * time.Second

// copying names a map that a rank has accepted to prepare.
type copying struct {
	life    acceptance
	version int64
}

func newGroup(leader *Leader, name string) *group {
	return &group{leader: leader, name: name, window: demand.NewWindow(), version: -1, accepted: make(map[string]acceptance), copying: make(map[string]copying), givenUp: make(map[int64]bool)}
}

func (g *group) wanted() mapchange.Plan {
	return mapchange.Plan{Want: g.want, Abandoned: g.givenUp, OrdersLost: time.Since(g.lost) < lossMemory}
}

func (g *group) asksPlaced() bool { return g.present == nil }

// step takes what the ranks report and gives the orders that are due.
func (g *group) step(ctx context.Context, service *fleet.Service, members []member, token int64) bool {
	slices.SortFunc(members, func(a, b member) int { return a.rank.Index - b.rank.Index })
	ranks := make([]mapchange.Rank, len(members))
	for i := range members {
		ranks[i] = members[i].rank
		life := acceptance{ranks[i].Epoch, ranks[i].Born, token}
		ranks[i].Touched = g.accepted[ranks[i].Target] == life
		ranks[i].Busy = ranks[i].Busy || g.want != 0 && g.copying[ranks[i].Target] == copying{life, g.want}
	}
	if !mapchange.Complete(ranks) {
		return false
	}
	now := time.Now()
	g.observe(ranks, now)
	g.follow(service, members, ranks, token, now)
	if g.overtaken(ranks) || g.givenUp[g.want] {
		g.want = 0
	}
	switch {
	case g.want != 0:
	case mapchange.Stuck(ranks, g.wanted()):
		g.keep(token, now)
	case !mapchange.Changing(ranks):
		g.plan(service, ranks, token, now)
	}
	g.advance(ctx, members, ranks, token)
	return g.want != 0 || mapchange.Changing(ranks)
}

// rounds bounds the orders that follow each other without a new read. A change
// takes three from the hold to its release.
const rounds = 6

// advance gives the orders that are due, and those that follow once these are
// accepted: while a pass is held, the group may soon have to wait for it.
func (g *group) advance(ctx context.Context, members []member, ranks []mapchange.Rank, token int64) {
	for range rounds {
		orders := mapchange.Next(ranks, g.wanted())
		if len(orders) == 0 || !g.give(ctx, members, ranks, orders, token) {
			return
		}
	}
}

func (g *group) observe(ranks []mapchange.Rank, now time.Time) {
	counted := false
	for i := range ranks {
		if len(ranks[i].Counts) > 0 {
			g.window.Add(ranks[i].Target, ranks[i].Born, ranks[i].Epoch, ranks[i].Counts)
			counted = true
		}
	}
	if counted {
		g.window.Close(now)
	}
}

// follow brings what the leader believes in line with what the ranks report.
func (g *group) follow(service *fleet.Service, members []member, ranks []mapchange.Rank, token int64, now time.Time) {
	if token != g.token {
		g.token, g.used, g.want = token, 0, 0
	}
	if epoch := ranks[0].Epoch; epoch != g.epoch {
		g.epoch, g.want, g.present, g.version = epoch, 0, nil, -1
		clear(g.givenUp)
	}
	inForce, same := commonVersion(ranks)
	if !same {
		return
	}
	switch {
	case g.want != 0 && inForce == g.want:
		g.leader.Log.State("map in force", eventlog.Fields{"group": g.name, "version": g.want, "ms": now.Sub(g.since).Milliseconds()})
		g.present, g.version, g.want = g.planned, inForce, 0
	case g.want != 0 && now.Sub(g.since) > prepareTimeout && !mapchange.Changing(ranks):
		g.leader.Log.State("map given up", eventlog.Fields{"group": g.name, "version": g.want})
		g.want = 0
	}
	if inForce != g.version {
		g.present, g.version = nil, -1
		if inForce == 0 {
			g.present, g.version = expertplan.RoundRobin(service.Engine.Sets, len(ranks), service.Engine.Experts), 0
		} else if placed := placedMap(members, service.Engine.Sets); placed != nil {
			g.present, g.version = placed, inForce
		}
	}
}

func commonVersion(ranks []mapchange.Rank) (int64, bool) {
	for i := range ranks {
		if ranks[i].Version != ranks[0].Version {
			return 0, false
		}
	}
	return ranks[0].Version, true
}

// placedMap returns the map that the ranks hold, or nil if one has not told.
func placedMap(members []member, sets int) expertplan.Map {
	m := make(expertplan.Map, sets)
	for _, member := range members {
		if len(member.placed) != sets {
			return nil
		}
		for s, experts := range member.placed {
			m[s] = append(m[s], experts)
		}
	}
	return m
}

// overtaken reports whether demand has moved since the wanted map was planned,
// and the change can still be given up for a better one.
func (g *group) overtaken(ranks []mapchange.Rank) bool {
	return g.want != 0 && !mapchange.Changing(ranks) && g.window.Settled() && g.window.Steps() != g.steps
}

// plan plans a new map if it is worth its cost.
func (g *group) plan(service *fleet.Service, ranks []mapchange.Rank, token int64, now time.Time) {
	engine := service.Engine
	loads := g.window.Loads(engine.Sets)
	if g.present == nil || loads == nil || len(loads[0]) != engine.Experts {
		return
	}
	speeds := make([]float64, len(ranks))
	for i := range ranks {
		speeds[i] = 1 / max(ranks[i].Pace, 1)
	}
	shape := expertplan.Shape{
		Ranks: len(ranks), Experts: engine.Experts, Places: engine.Places, Spare: engine.Spare, Loads: loadsInChange,
	}
	next, loaded := expertplan.Improve(g.present, loads, speeds, shape)
	before, after := expertplan.Skew(g.present, loads, speeds), expertplan.Skew(next, loads, speeds)
	if before-after < minSkewGain {
		return
	}
	g.setWant(next, token, now)
	g.leader.Log.State("map planned", eventlog.Fields{
		"group": g.name, "version": g.want, "skew_before": before, "skew_after": after, "experts_loaded": loaded,
	})
}

// keep wants the map in force under a new version, which ends a change that was
// left half done.
func (g *group) keep(token int64, now time.Time) {
	if g.present == nil {
		return
	}
	g.setWant(g.present, token, now)
	g.leader.Log.State("change left half done", eventlog.Fields{"group": g.name, "version": g.want})
}

func (g *group) setWant(next expertplan.Map, token int64, now time.Time) {
	g.used++
	g.want, g.planned, g.since, g.steps = token*versionsOfTerm+g.used, next, now, g.window.Steps()
}

// give gives all orders at once, notes which ranks have accepted theirs, and
// reports whether all have.
func (g *group) give(ctx context.Context, members []member, ranks []mapchange.Rank, orders []mapchange.Order, token int64) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var wait sync.WaitGroup
	answers := make([]platform.OrderAnswer, len(orders))
	for i, order := range orders {
		rank := &ranks[order.Rank]
		full := platform.RankOrder{Order: order, Epoch: rank.Epoch, Expected: rank.Sequence, Token: token}
		switch order.Operation {
		case mapchange.Prepare:
			full.Map = g.planned
		case mapchange.Disarm:
			g.givenUp[order.Version] = true
		}
		wait.Go(func() {
			answer, err := g.leader.Ranks.Give(ctx, members[order.Rank].target, full)
			if err != nil || answer != platform.OrderAccepted {
				g.logOrder(full, rank.Target, answer, err)
			}
			answers[i] = answer
		})
	}
	wait.Wait()
	all := true
	for i, order := range orders {
		rank := &ranks[order.Rank]
		switch answers[i] {
		case platform.OrderAccepted:
			mapchange.Apply(rank, order)
			life := acceptance{rank.Epoch, rank.Born, token}
			g.accepted[rank.Target] = life
			if order.Operation == mapchange.Prepare {
				g.copying[rank.Target] = copying{life, order.Version}
			}
			continue
		case platform.OrderUnknown:
			g.lost = time.Now()
		case platform.OrderFenced:
			g.leader.setFenced(token)
		}
		all = false
	}
	return all
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
