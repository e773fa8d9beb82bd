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
	"quetzalbend/platform"

	"quetzalbend/internal/core/mapchange"
)

const (
	electionGroup  = "maps"
	joinInterval   = 350 * time.Millisecond
	joinTimeout    = 500 * time.Millisecond
	memberLifetime = time.Second // without a join, until another member leads
	idleInterval   = 80 * time.Millisecond
	countInterval  = 80 * time.Millisecond // between reads of counts
	changeInterval = 25 * time.Millisecond // while orders are under way
	standbyPause   = 100 * time.Millisecond
	readTimeout    = 250 * time.Millisecond
	orderTimeout   = 25 * time.Millisecond
)

// Election names the member that leads. platform.Store is one.
type Election interface {
	Join(ctx context.Context, group, topic, member string, generation int64, ttl time.Duration) (platform.Membership, error)
	Leave(ctx context.Context, group, member string) error
}

// Ranks reads ranks and gives them orders.
type Ranks interface {
	State(ctx context.Context, target fleet.Target, ask ranklink.Ask) (mapchange.Rank, [][]int32, error)
	Give(ctx context.Context, target fleet.Target, order platform.RankOrder) (platform.OrderAnswer, error)
}

// Leader leads the changes of maps while it is elected.
type Leader struct {
	Election Election
	Topic    string
	Member   string // of this life of the process: a token must not serve two lives
	Ranks    Ranks
	Log      *eventlog.Log
	// Targets returns the targets of each service whose engine has expert maps.
	Targets func() map[*fleet.Service][]fleet.Target

	mu         sync.Mutex
	generation int64 // last one heard of
	token      int64 // fencing token while this member leads; 0: another leads
	fenced     int64 // highest token that a rank has refused

	groups  map[string]*group
	counted time.Time // when counts were read last
}

// Run leads whenever this member is elected, until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	l.groups = make(map[string]*group)
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return l.stand(ctx) })
	work.Go(func() error { return l.lead(ctx) })
	return work.Wait()
}

// stand keeps this member in the election.
func (l *Leader) stand(ctx context.Context) error {
	for ctx.Err() == nil {
		l.join(ctx)
		pause.For(ctx, joinInterval)
	}
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), joinTimeout)
	defer cancel()
	if err := l.Election.Leave(leaveCtx, electionGroup, l.Member); err != nil {
		l.Log.Problem("election not left", err, nil)
	}
	return nil
}

func (l *Leader) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	l.mu.Lock()
	generation := l.generation
	l.mu.Unlock()
	membership, err := l.Election.Join(ctx, electionGroup, l.Topic, l.Member, generation, memberLifetime)
	if err != nil {
		l.Log.Decision("election not joined", eventlog.Fields{"error": err.Error()})
		return // the group's leader goes on until another one has fenced it
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation = membership.Generation
	was := l.token
	switch {
	case !membership.Leads:
		l.token = 0
	case l.token == 0 && membership.Generation > l.fenced:
		l.token = membership.Generation // kept while this member leads
	}
	if (l.token == 0) != (was == 0) {
		l.Log.State("leadership of maps", eventlog.Fields{"leads": l.token != 0, "token": l.token})
	}
}

func (l *Leader) leads() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token
}

// setFenced stops leading: a rank has seen a higher token.
func (l *Leader) setFenced(token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fenced = max(l.fenced, token)
	if l.token <= l.fenced {
		l.token = 0
	}
}

func (l *Leader) lead(ctx context.Context) error {
	for ctx.Err() == nil {
		token := l.leads()
		if token == 0 {
			clear(l.groups)
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

// cycle reads all ranks of a service and gives the orders that are due. It
// reports whether orders are under way.
func (l *Leader) cycle(ctx context.Context, service *fleet.Service, targets []fleet.Target, token int64) bool {
	members := l.read(ctx, targets)
	active := false
	for name, ranks := range members {
		g := l.groups[name]
		if g == nil {
			g = newGroup(l, name)
			l.groups[name] = g
		}
		if g.step(ctx, service, ranks, token) {
			active = true
		}
	}
	return active
}

// member is one rank as it was read, with the target that it runs on.
type member struct {
	target fleet.Target
	rank   mapchange.Rank
	placed [][]int32 // experts held by set; nil: not asked for
}

// read reads all ranks at once, and returns those that answered by group.
func (l *Leader) read(ctx context.Context, targets []fleet.Target) map[string][]member {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ask := ranklink.Ask{Counts: time.Since(l.counted) >= countInterval}
	if ask.Counts {
		l.counted = time.Now()
	}
	for _, g := range l.groups {
		ask.Placed = ask.Placed || g.asksPlaced()
	}
	targets = onePerAddress(targets)
	members := make([]*member, len(targets))
	reads := &errgroup.Group{}
	for i, target := range targets {
		reads.Go(func() error {
			rank, placed, err := l.Ranks.State(ctx, target, ask)
			if err != nil {
				l.Log.Decision("rank not read", eventlog.Fields{"target": target.ID, "error": err.Error()})
				return nil
			}
			rank.Target = target.Address
			members[i] = &member{target, rank, placed}
			return nil
		})
	}
	if err := reads.Wait(); err != nil {
		return nil
	}
	groups := make(map[string][]member)
	for _, m := range members {
		if m != nil {
			groups[m.rank.Group] = append(groups[m.rank.Group], *m)
		}
	}
	return groups
}

// onePerAddress drops all but the youngest of the targets that were registered
// at one address: a target that starts again may get a new id before the record
// of its former life is gone.
func onePerAddress(targets []fleet.Target) []fleet.Target {
	youngest := make(map[string]fleet.Target, len(targets))
	for _, target := range targets {
		if known, ok := youngest[target.Address]; !ok || target.Born > known.Born {
			youngest[target.Address] = target
		}
	}
	return slices.Collect(maps.Values(youngest))
}
