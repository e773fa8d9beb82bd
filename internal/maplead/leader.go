package maplead

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/ranklink"
	"quetzalbend/internal/supervise"
	"quetzalbend/platform"

	"quetzalbend/internal/core/mapchange"
)

const (
	electionGroup  = "maps"
	joinInterval   = 350 * time.Millisecond
	joinTimeout    = 500 * time.Millisecond
	memberLifetime = time.Second           // time without a join after which another member leads
	idleInterval   = 80 * time.Millisecond // between reads of the ranks while no change is in progress
	countInterval  = 80 * time.Millisecond // between reads of counts
	changeInterval = 25 * time.Millisecond // between reads of the ranks during a change
	standbyPause   = 100 * time.Millisecond

	generationsPerEra = 1 << 24 // fencing tokens reserved for each era of the store
)

// Election elects the member that leads. platform.Store implements it.
type Election interface {
	Join(ctx context.Context, group, topic, member string, generation int64, ttl time.Duration) (platform.Membership, error)
	Leave(ctx context.Context, group, member string) error
}

// Ranks reads the state of ranks and sends them orders.
type Ranks interface {
	State(ctx context.Context, target fleet.Target, options ranklink.StateOptions) (mapchange.Rank, [][]int32, error)
	SendOrder(ctx context.Context, target fleet.Target, order platform.RankOrder) (platform.OrderAnswer, error)
}

// Leader leads the changes of maps while it is elected.
type Leader struct {
	Election Election
	Topic    string
	Member   string // unique to each start of the process: a restarted process must not use its previous token
	Ranks    Ranks
	Log      *eventlog.Log
	// Targets returns the targets of each service whose engine has expert maps.
	Targets func() map[*fleet.Service][]fleet.Target

	mu          sync.Mutex
	era         int64 // of the store that holds the election
	generation  int64 // last generation that the election reported in that era
	token       int64 // fencing token while this member leads; 0: it does not lead
	fencedToken int64 // highest token that a rank has refused as out of date

	knownToken int64 // token under which groups and reports were filled
	groups     map[string]*group
	reports    *reports
	countsRead time.Time // when counts were last read
}

// Run leads whenever this member is elected, until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	l.forget(0)
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return supervise.Loop(ctx, l.Log, "map election", l.stayInElection, nil) })
	work.Go(func() error { return supervise.Loop(ctx, l.Log, "map leader", l.lead, func() { l.abdicate(ctx) }) })
	return work.Wait()
}

// abdicate gives up the leadership after a panic in the middle of a change. What this member
// knew of its orders is lost, and those that are still on their way carry its token, so it
// may lead again only under another one.
func (l *Leader) abdicate(ctx context.Context) {
	l.setFenced(l.leaderToken())
	l.forget(0)
	l.leave(ctx)
}

// stayInElection keeps this member in the election.
func (l *Leader) stayInElection(ctx context.Context) error {
	for ctx.Err() == nil {
		l.join(ctx)
		pause.For(ctx, joinInterval)
	}
	l.leave(ctx)
	return nil
}

func (l *Leader) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), joinTimeout)
	defer cancel()
	if err := l.Election.Leave(ctx, electionGroup, l.Member); err != nil {
		l.Log.Problem("cannot leave the election", err, nil)
	}
}

func (l *Leader) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	l.mu.Lock()
	generation := l.generation
	l.mu.Unlock()
	membership, err := l.Election.Join(ctx, electionGroup, l.Topic, l.Member, generation, memberLifetime)
	if err != nil {
		l.Log.Decision("cannot join the election", eventlog.Fields{"error": err.Error()})
		return // a leader that cannot reach the store continues until a rank refuses its token
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newEra := membership.Era != l.era
	l.era, l.generation = membership.Era, membership.Generation
	previous := l.token
	switch token := fencingToken(membership); {
	case !membership.Leads:
		l.token = 0
	case (l.token == 0 || newEra) && token > l.fencedToken:
		l.token = token // stays the same while this member leads in this era
	}
	if l.token != previous {
		l.Log.State("map leadership changed", eventlog.Fields{"leads": l.token != 0, "token": l.token})
	}
}

// fencingToken returns the token of a member that leads. Generations are assigned again
// in a new era of the store, so its tokens are higher than all of earlier ones.
func fencingToken(m platform.Membership) int64 { return m.Era*generationsPerEra + m.Generation }

// leaderToken returns the fencing token, or 0 if this member does not lead.
func (l *Leader) leaderToken() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token
}

// setFenced stops this member from leading under the token, since a rank has seen
// a higher one.
func (l *Leader) setFenced(token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencedToken = max(l.fencedToken, token)
	if l.token <= l.fencedToken {
		l.token = 0
	}
}

// lead reads the ranks and sends orders while this member leads, until ctx ends.
func (l *Leader) lead(ctx context.Context) error {
	for ctx.Err() == nil {
		token := l.leaderToken()
		if token != l.knownToken {
			l.forget(token)
		}
		if token == 0 {
			pause.For(ctx, standbyPause)
			continue
		}
		wait := idleInterval
		for service, targets := range l.Targets() {
			if l.cycle(ctx, service, targets, token) {
				wait = changeInterval
			}
		}
		pause.For(ctx, wait)
	}
	return nil
}

// forget forgets all that is known of the ranks: under another token, other leaders may
// have sent orders in between.
func (l *Leader) forget(token int64) {
	l.knownToken, l.groups, l.reports = token, make(map[string]*group), newReports(l.Ranks, l.Log)
}

// cycle reads all ranks of a service and sends the orders that are due. It reports
// whether a change is planned or in progress in any of its groups.
func (l *Leader) cycle(ctx context.Context, service *fleet.Service, targets []fleet.Target, token int64) bool {
	targets = onePerAddress(targets)
	options := ranklink.StateOptions{Counts: time.Since(l.countsRead) >= countInterval}
	if options.Counts {
		l.countsRead = time.Now()
	}
	for _, g := range l.groups {
		options.Placement = options.Placement || g.needsPlacement()
	}
	l.reports.refresh(ctx, targets, options, readWait)
	active := false
	for name, ranks := range l.reports.members(targets, time.Now()) {
		g := l.groups[name]
		if g == nil {
			g = newGroup(l, name)
			l.groups[name] = g
		}
		if g.update(ctx, service, ranks, token, options.Counts) {
			active = true
		}
	}
	return active
}

// onePerAddress keeps only the youngest of the targets registered at the same
// address: a target that restarts may get a new id before the record of its previous
// incarnation is gone.
func onePerAddress(targets []fleet.Target) []fleet.Target {
	youngest := make(map[string]fleet.Target, len(targets))
	for _, target := range targets {
		if known, ok := youngest[target.Address]; !ok || target.Born > known.Born {
			youngest[target.Address] = target
		}
	}
	return slices.Collect(maps.Values(youngest))
}
