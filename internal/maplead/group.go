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
	version        int64          // of current; -1: unknown
	targetVersion  int64          // version being put in force; 0: none
	planned        expertplan.Map // map of version targetVersion
	shifts         int            // number of demand shifts when that map was planned
	abandoned      map[int64]bool // versions for which disarm orders were sent
	lastUnanswered time.Time      // when an order other than prepare last got no answer; it may have been carried out
	unreadSince    time.Time      // since when the ranks have not been read completely; zero: they have been

	mu          sync.Mutex             // of the fields below, which prepare orders update when they end
	progress    progress               // of the change to version targetVersion
	accepted    map[string]acceptance  // by the rank's address: first order that it has accepted in its session
	preparation map[string]preparation // by the rank's address: last map that the rank agreed to prepare
	preparing   map[string]int64       // by the rank's address: version of the prepare order in flight
}

// acceptance is when a rank accepted the first order of a session.
type acceptance struct {
	session rankSession
	at      time.Time
}

// preparation identifies a map that a rank has agreed to prepare, and the session in
// which it did.
type preparation struct {
	session rankSession
	version int64
}

func newGroup(leader *Leader, name string) *group {
	return &group{
		leader: leader, name: name, window: demand.NewWindow(), version: -1,
		accepted: make(map[string]acceptance), preparation: make(map[string]preparation),
		preparing: make(map[string]int64), abandoned: make(map[int64]bool),
	}
}

func (g *group) needsPlacement() bool { return g.current == nil }

// update processes the ranks' reports and sends the orders that are due. endRound ends
// a round of counts. It reports whether a change is planned or in progress.
func (g *group) update(ctx context.Context, service *fleet.Service, members []member, token int64, endRound bool) bool {
	sortByIndex(members)
	ranks := g.currentRanks(members, token)
	now := time.Now()
	if !g.complete(ranks, now) {
		return g.targetVersion != 0 || mapchange.Changing(ranks)
	}
	g.observe(ranks, endRound, now)
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

func sortByIndex(members []member) {
	slices.SortFunc(members, func(a, b member) int { return a.rank.Index - b.rank.Index })
}

// currentRanks returns the members' ranks, with what the leader knows of its own orders.
func (g *group) currentRanks(members []member, token int64) []mapchange.Rank {
	g.mu.Lock()
	defer g.mu.Unlock()
	ranks := make([]mapchange.Rank, len(members))
	for i := range members {
		r := &ranks[i]
		*r = members[i].rank
		session := rankSession{r.Epoch, r.Born, token}
		first := g.accepted[r.Target]
		r.Touched = r.Touched || first.session == session && members[i].readAt.After(first.at)
		r.Busy = r.Busy || g.targetVersion != 0 &&
			(g.preparing[r.Target] == g.targetVersion || g.preparation[r.Target] == preparation{session, g.targetVersion})
	}
	return ranks
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

// observe adds the counts that the ranks report to the demand window, and may end a
// round of it.
func (g *group) observe(ranks []mapchange.Rank, endRound bool, now time.Time) {
	shifts := g.window.Shifts()
	for i := range ranks {
		if len(ranks[i].Counts) > 0 {
			g.window.Add(ranks[i].Target, ranks[i].Born, ranks[i].Epoch, ranks[i].Counts)
		}
	}
	if endRound {
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
	case g.targetVersion != 0 && now.Sub(g.plannedAt()) > prepareTimeout && !mapchange.Changing(ranks):
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

// plannedAt returns when the map of targetVersion was planned.
func (g *group) plannedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.progress.planned
}

// logChange logs the end of the change to targetVersion.
func (g *group) logChange(message string, now time.Time) {
	g.mu.Lock()
	fields := g.progress.fields(now)
	g.mu.Unlock()
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
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress = progress{planned: now}
}
