package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/schema"
)

var (
	name = catalog.TeamName{Team: "team", Name: "thing"}
	now  = time.Unix(1000, 0)
)

// fleet returns a table of count targets that are spread over the failure domains.
func fleet(cfg Config, count int, domains ...string) (*Table, *States) {
	var targets []*catalog.Target
	for i := range count {
		target := &catalog.Target{Name: fmt.Sprintf("t%03d", i)}
		target.Target = schema.Target{FailureDomain: domains[i%len(domains)], ColdLimit: 4}
		targets = append(targets, target)
	}
	cat := &catalog.Catalog{
		ModelTargets:   map[catalog.TeamName][]*catalog.Target{name: targets},
		ServiceTargets: map[catalog.TeamName][]*catalog.Target{name: targets},
	}
	states := NewStates()
	return NewTable(cfg, cat, states), states
}

func query(random uint64) *Query {
	return &Query{Class: schema.Interactive, Now: now, Random: random}
}

func TestSubsetsAreBoundedAndCoverAllTargets(t *testing.T) {
	const entries, targets, subset = 70, 600, 16
	seen := make(map[string]int)
	for i := range entries {
		table, _ := fleet(Config{Entry: fmt.Sprint("e", i), FailureDomain: "a", NearSubset: subset, FarSubset: 8}, targets, "a", "b", "c")
		pool := table.Model(name)
		assert.Equal(t, len(pool.Near), subset)
		assert.Equal(t, len(pool.Far), 8)
		for _, member := range pool.Near {
			assert.Equal(t, member.Target.FailureDomain, "a")
			seen[member.Target.Name]++
		}
	}
	most := 0
	for _, count := range seen {
		most = max(most, count)
	}
	assert.Equal(t, len(seen), targets/3)
	assert.Assert(t, most <= 3*entries*subset/(targets/3), "a target is in %d subsets", most)
}

func TestOwnDomainFirstAndOthersWhenItIsFull(t *testing.T) {
	table, _ := fleet(Config{Entry: "e", FailureDomain: "a", NearSubset: 8, FarSubset: 8}, 6, "a", "b", "c")
	pool := table.Model(name)
	picked := make(map[string]int)
	for range 16 {
		member := pool.Pick(LeastOutstanding{}, query(rand.Uint64()))
		picked[member.Target.FailureDomain]++
		member.State.Begin()
	}
	assert.Equal(t, picked["a"], 8) // two targets with a cold limit of four each
	assert.Equal(t, picked["b"]+picked["c"], 8)
}

func TestBatchLeavesHeadroomToUrgentClasses(t *testing.T) {
	table, _ := fleet(Config{Entry: "e", FailureDomain: "a", NearSubset: 8, FarSubset: 8}, 2, "a", "b")
	pool := table.Model(name)
	for range 4 {
		q := query(0)
		q.Class = schema.Batch
		pool.Pick(LeastOutstanding{}, q).State.Begin()
	}
	q := query(0)
	q.Class = schema.Batch
	assert.Equal(t, pool.Pick(LeastOutstanding{}, q).Target.FailureDomain, "b")
	member := pool.Near[0]
	member.State.Observe(Report{Limit: 5, Running: 4}, now)
	assert.Equal(t, pool.Pick(LeastOutstanding{}, query(0)).Target.FailureDomain, "a")
}

func TestTargetsThatLeaveAreNotPicked(t *testing.T) {
	for what, leave := range map[string]func(*Table, *States, string){
		"agent": func(_ *Table, s *States, target string) {
			s.Get(target).Observe(Report{Leaving: true, Limit: 64}, now)
		},
		"VM list":       func(_ *Table, s *States, target string) { s.Get(target).SetVMLeaving(true) },
		"settings":      func(t *Table, _ *States, target string) { t.target(target).State = schema.Out },
		"domain is out": func(t *Table, _ *States, target string) { t.target(target).DomainOut = true },
	} {
		t.Run(what, func(t *testing.T) {
			table, states := fleet(Config{Entry: "e", FailureDomain: "a", NearSubset: 8, FarSubset: 8}, 2, "a")
			leave(table, states, "t000")
			for i := range uint64(4) {
				member := table.Model(name).Pick(LeastOutstanding{}, query(i|i<<32))
				assert.Equal(t, member.Target.Name, "t001")
			}
			leave(table, states, "t001")
			fresh, _ := fleet(Config{Entry: "e", FailureDomain: "a", NearSubset: 8, FarSubset: 8}, 0, "a")
			assert.Assert(t, fresh.Model(name).Pick(LeastOutstanding{}, query(0)) == nil)
		})
	}
}

// target returns a target of the catalog, to change it before the pools are built.
func (t *Table) target(wanted string) *catalog.Target {
	for _, target := range t.catalog.ModelTargets[name] {
		if target.Name == wanted {
			return target
		}
	}
	return nil
}

func TestUnreachableTargetsComeLast(t *testing.T) {
	table, states := fleet(Config{Entry: "e", FailureDomain: "a", NearSubset: 8, FarSubset: 8}, 2, "a")
	states.Get("t000").RecordFailure(now, time.Second)
	assert.Equal(t, table.Model(name).Pick(LeastOutstanding{}, query(0)).Target.Name, "t001")
	states.Get("t001").RecordFailure(now, time.Second)
	assert.Assert(t, table.Model(name).Pick(LeastOutstanding{}, query(0)) != nil)
	q := query(0)
	q.Now = now.Add(2 * time.Second)
	q.Exclude = []string{"t001"}
	assert.Equal(t, table.Model(name).Pick(LeastOutstanding{}, q).Target.Name, "t000")
}

func TestKeyHasOneHomeAtAllEntries(t *testing.T) {
	one, _ := fleet(Config{Entry: "one", FailureDomain: "a"}, 9, "a", "b", "c")
	two, _ := fleet(Config{Entry: "two", FailureDomain: "b"}, 9, "a", "b", "c")
	homes := make(map[string]bool)
	for i := range 100 {
		key := fmt.Sprint("key", i)
		home := one.ForKey(name, key)[0].Target.Name
		assert.Equal(t, home, two.ForKey(name, key)[0].Target.Name)
		homes[home] = true
	}
	assert.Equal(t, len(homes), 9)
}

func TestReportedLoadLosesWeightWithAge(t *testing.T) {
	state := &State{}
	state.Observe(Report{Running: 10, Limit: 10}, now)
	assert.Equal(t, state.expectedRequests(now), 10.0)
	assert.Equal(t, state.expectedRequests(now.Add(reportLifetime/2)), 5.0)
	assert.Equal(t, state.expectedRequests(now.Add(2*reportLifetime)), 0.0)
}

func TestAffinityKeepsAConversationUntilItsHomeIsLoaded(t *testing.T) {
	table, _ := fleet(Config{Entry: "e", FailureDomain: "a", NearSubset: 8, FarSubset: 8}, 8, "a")
	strategy := Affinity{Fallback: LeastOutstanding{}}
	q := query(0)
	q.Affinity = "conversation"
	home := table.Model(name).Pick(strategy, q)
	for i := range uint64(20) {
		q.Random = i * 0x9e3779b97f4a7c15
		assert.Equal(t, table.Model(name).Pick(strategy, q), home)
	}
	home.State.Begin()
	home.State.Begin()
	assert.Assert(t, table.Model(name).Pick(strategy, q) != home)
}

func TestRoundRobinTakesTurns(t *testing.T) {
	table, _ := fleet(Config{Entry: "e", FailureDomain: "a", NearSubset: 8, FarSubset: 8}, 3, "a")
	strategy := &RoundRobin{}
	picked := make(map[string]int)
	for range 9 {
		picked[table.Model(name).Pick(strategy, query(0)).Target.Name]++
	}
	assert.DeepEqual(t, picked, map[string]int{"t000": 3, "t001": 3, "t002": 3})
}

func BenchmarkPick(b *testing.B) {
	table, _ := fleet(Config{Entry: "e", FailureDomain: "a", NearSubset: 16, FarSubset: 8}, 240, "a", "b", "c")
	strategy := Affinity{Fallback: LeastOutstanding{}}
	q := query(1)
	q.Affinity = "conversation"
	b.ReportAllocs()
	for b.Loop() {
		table.Model(name).Pick(strategy, q)
	}
}

func TestExplainNamesTierAndIneligibleReason(t *testing.T) {
	table, states := fleet(Config{Entry: "e", FailureDomain: "a", NearSubset: 1, FarSubset: 1}, 4, "a", "b")
	pool := table.Model(name)
	near := pool.Near[0].Target.Name
	states.Get(near).SetVMLeaving(true)
	tiers := make(map[Tier]int)
	for _, explanation := range pool.Explain(query(0)) {
		tiers[explanation.Tier]++
		assert.Equal(t, explanation.IneligibleReason == ineligibleLeaving, explanation.Target == near)
	}
	assert.DeepEqual(t, tiers, map[Tier]int{TierNear: 1, TierFar: 1, TierRest: 2})
}

func TestRoutesMatchWholeSegments(t *testing.T) {
	routes := []schema.Route{{Method: "GET", PathPrefix: "/status"}, {Method: "GET", PathPrefix: "/"}}
	assert.Equal(t, MatchRoute(routes, "GET", "/status"), &routes[0])
	assert.Equal(t, MatchRoute(routes, "GET", "/status/7"), &routes[0])
	assert.Equal(t, MatchRoute(routes, "GET", "/statuses"), &routes[1])
	assert.Assert(t, MatchRoute(routes, "POST", "/status") == nil)
}

func TestLeavingReportExpires(t *testing.T) {
	state := NewStates().Get("t")
	reported := time.Unix(100, 0)
	state.Observe(Report{Leaving: true}, reported)
	assert.Assert(t, state.Leaving(reported.Add(time.Second)))
	assert.Assert(t, !state.Leaving(reported.Add(leavingLifetime)))
}

func TestTargetThatFailsRepeatedlyIsAvoidedLonger(t *testing.T) {
	state := &State{}
	at := now
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		state.RecordFailure(at, time.Second)
		state.RecordFailure(at, time.Second) // while the target is already avoided
		assert.Assert(t, state.Avoided(at.Add(want*time.Second-1)))
		assert.Assert(t, !state.Avoided(at.Add(want*time.Second)))
		at = at.Add(want * time.Second)
	}
	state.Observe(Report{}, at)
	state.RecordFailure(at, time.Second)
	assert.Assert(t, !state.Avoided(at.Add(time.Second)))
}
