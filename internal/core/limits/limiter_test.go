package limits

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quetzalbend/internal/core/schema"
)

// interval is the time between two rounds of reports in these tests.
const interval = time.Second

func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 8).Draw(t, "demands")
		limit := rapid.Float64Range(0.1, 200).Draw(t, "limit")
		var sum float64
		for i := range demands {
			others := append(append([]float64(nil), demands[:i]...), demands[i+1:]...)
			share := Share(limit, demands[i], others)
			sum += share
			equal := limit / float64(len(demands))
			if share < min(demands[i], equal)-1e-9 {
				t.Fatalf("share %g of %g for demand %g", share, limit, demands[i])
			}
			if more := Share(limit, demands[i]+1, others); more < share-1e-9 {
				t.Fatalf("share fell from %g to %g with more demand", share, more)
			}
		}
		if math.Abs(sum-limit) > 1e-6 {
			t.Fatalf("shares of %v add up to %g of %g", demands, sum, limit)
		}
	})
}

// cluster is a set of entries that exchange reports once an interval.
type cluster struct {
	now      time.Time
	limiters []*Limiter
	blocked  func(from, to int) bool // whether reports from one entry to the other are lost
	account  Subject
}

func newCluster(entries int, limits schema.Limits) *cluster {
	c := &cluster{now: time.Unix(1000, 0), blocked: func(int, int) bool { return false }}
	c.account = AccountSubject("team", "account", limits)
	c.limiters = make([]*Limiter, entries)
	for i := range entries {
		c.start(i)
	}
	for i := range entries {
		c.askHeld(i)
	}
	return c
}

// start replaces the limiter of entry i by that of a new process.
func (c *cluster) start(i int) {
	c.limiters[i] = New(Config{Name: fmt.Sprint(i), StaleAfter: 4 * interval, Guard: 3 * interval})
	var peers []string
	for j := range c.limiters {
		if j != i {
			peers = append(peers, fmt.Sprint(j))
		}
	}
	c.limiters[i].SetPeers(c.now, peers)
}

// report delivers a report of entry i to all others that it can reach.
func (c *cluster) report(i int) {
	report := c.limiters[i].Report(c.now)
	for j := range c.limiters {
		if i != j && !c.blocked(i, j) {
			c.deliver(i, j, report)
		}
	}
}

// deliver delivers a report of entry i to entry j.
func (c *cluster) deliver(i, j int, report Report) {
	to := c.limiters[j]
	to.Receive(c.now, fmt.Sprint(i), report.Usage)
	to.ReceiveNumbers(c.now, fmt.Sprint(i), report.Number, report.Received[fmt.Sprint(j)])
	c.limiters[i].Delivered(c.now, fmt.Sprint(j), report.Number)
}

// run offers rate[i] requests a second to entry i for some intervals and
// returns how many were admitted in each interval. The entries report one after
// the other, spread over the interval.
func (c *cluster) run(intervals int, rate []int) []int {
	admitted := make([]int, intervals)
	for n := range admitted {
		const steps = 120
		for step := range steps {
			c.now = c.now.Add(interval / steps)
			for i, l := range c.limiters {
				due := (step+1)*rate[i]/steps - step*rate[i]/steps
				for range due {
					if grant, _ := l.Admit(c.now, c.account, Subject{}, Subject{}); grant != nil {
						grant.Release(c.now, 0)
						admitted[n]++
					}
				}
				if step == i*steps/len(c.limiters) {
					c.report(i)
				}
			}
		}
	}
	return admitted
}

// assertEach checks that no interval admits more than limit and slack, which allows
// for what buckets had saved up.
func assertEach(t *testing.T, admitted []int, limit, slack int) {
	t.Helper()
	for n, count := range admitted {
		assert.Assert(t, count <= limit+slack, "%d admitted in interval %d: %v", count, n, admitted)
	}
}

func total(counts []int) int {
	var sum int
	for _, count := range counts {
		sum += count
	}
	return sum
}

func TestLimitHoldsOverAllEntries(t *testing.T) {
	c := newCluster(6, schema.Limits{RequestsPerSecond: 60})
	for _, rate := range [][]int{{20, 20, 20, 20, 20, 20}, {200, 0, 0, 0, 0, 0}, {5, 5, 200, 200, 0, 1}} {
		c.run(10, rate)
		admitted := c.run(20, rate)
		sum := total(admitted)
		assert.Assert(t, sum <= 20*60+60, "rates %v: %d admitted in 20 s", rate, sum)
		assert.Assert(t, sum >= 20*60*8/10, "rates %v: %d admitted in 20 s", rate, sum)
	}
}

func TestLimitHoldsWhenDemandMoves(t *testing.T) {
	c := newCluster(3, schema.Limits{RequestsPerSecond: 90})
	c.run(10, []int{300, 0, 0})
	assertEach(t, c.run(10, []int{300, 300, 300}), 90, 9)
}

func TestDemandThatAPeerHasNotReceivedDoesNotRaiseTheShare(t *testing.T) {
	c := newCluster(2, schema.Limits{RequestsPerSecond: 100})
	c.run(10, []int{500, 0})
	c.blocked = func(from, _ int) bool { return from == 1 }
	assertEach(t, c.run(3, []int{500, 500}), 100, 10)
}

func TestLimitHoldsAcrossAPartition(t *testing.T) {
	const limit, slack = 60, 15
	c := newCluster(6, schema.Limits{RequestsPerSecond: limit})
	c.run(20, []int{200, 0, 0, 0, 0, 0})
	c.blocked = func(from, to int) bool { return (from < 3) != (to < 3) }
	rate := []int{200, 0, 0, 0, 200, 200}
	admitted := c.run(20, rate)
	assertEach(t, admitted, limit, slack)
	assert.Assert(t, total(admitted[10:]) >= 10*limit*8/10, "%v", admitted)

	c.blocked = func(int, int) bool { return false }
	rate = []int{200, 200, 200, 0, 0, 0}
	admitted = c.run(20, rate)
	assertEach(t, admitted, limit, slack)
	assert.Assert(t, total(admitted[10:]) >= 10*limit*8/10, "%v", admitted)
}

// The two entries notice the partition half an interval apart.
func TestSharesGrowOnlyOnceTheOtherSideHasShrunk(t *testing.T) {
	c := newCluster(2, schema.Limits{RequestsPerSecond: 100})
	c.run(10, []int{500, 0})
	c.blocked = func(int, int) bool { return true }
	assertEach(t, c.run(20, []int{500, 500}), 100, 10)
}

func TestOneWayPartitionCountsAsPartition(t *testing.T) {
	for cutFrom := range 2 {
		c := newCluster(2, schema.Limits{RequestsPerSecond: 100})
		c.run(10, []int{500, 0})
		c.blocked = func(from, _ int) bool { return from == cutFrom }
		assertEach(t, c.run(20, []int{500, 500}), 100, 10)
	}
}

func TestShareDoesNotGrowWhileAReportIsStored(t *testing.T) {
	c := newCluster(2, schema.Limits{RequestsPerSecond: 100})
	for range 12 {
		c.run(1, []int{200, 200})
	}
	l := c.limiters[0]
	usage := make([]Usage, 0, DefaultMaxReport)
	for i := range DefaultMaxReport - 1 {
		usage = append(usage, Usage{Subject: fmt.Sprint(i)})
	}
	usage = append(usage, Usage{Subject: c.account.Name, Demand: Amounts{Requests: 200}})
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		for range 300 {
			l.Receive(c.now, "1", usage)
		}
	}()
	for reading := true; reading; {
		select {
		case <-stored:
			reading = false
		default:
		}
		l.Delivered(c.now, "1", 0)
		shard := l.shardOf(c.account.Name)
		shard.mu.Lock()
		s := shard.subjects[c.account.Name]
		l.updateShares(s)
		if s.share[Requests] > 50.5 {
			t.Errorf("share of %g", s.share[Requests])
			reading = false
		}
		shard.mu.Unlock()
	}
	<-stored
}

func TestConcurrencyAndTokenLimitsAreEnforced(t *testing.T) {
	l := New(Config{})
	now := time.Unix(1000, 0)
	account := AccountSubject("team", "account", schema.Limits{Concurrent: 2, TokensPerSecond: 100})
	first, _ := l.Admit(now, account, Subject{}, Subject{})
	second, _ := l.Admit(now, account, Subject{}, Subject{})
	_, refusal := l.Admit(now, account, Subject{}, Subject{})
	assert.Equal(t, refusal.Code, CodeConcurrency)
	first.Release(now, 400)
	second.Release(now, 0)
	_, refusal = l.Admit(now, account, Subject{}, Subject{})
	assert.Equal(t, refusal.Code, CodeTokenRate)
	assert.Equal(t, refusal.RetryAfter, 3*time.Second)
	now = now.Add(refusal.RetryAfter)
	third, refusal := l.Admit(now, account, Subject{}, Subject{})
	assert.Assert(t, refusal == nil)
	third.Release(now, 0)
}

func TestRefusalByTheTeamDoesNotChargeTheAccount(t *testing.T) {
	l := New(Config{})
	now := time.Unix(1000, 0)
	team := TeamSubject("team", schema.Limits{RequestsPerSecond: 1})
	account := AccountSubject("team", "account", schema.Limits{RequestsPerSecond: 2, Concurrent: 1})
	grant, _ := l.Admit(now, account, team, Subject{})
	grant.Release(now, 0)
	for range 10 {
		_, refusal := l.Admit(now, account, team, Subject{})
		assert.Equal(t, refusal.Subject, "team")
	}
	grant, refusal := l.Admit(now, account, Subject{}, Subject{})
	assert.Assert(t, refusal == nil)
	grant.Release(now, 0)
}

func TestIdleSubjectsAreRemoved(t *testing.T) {
	l := New(Config{})
	now := time.Unix(1000, 0)
	for i := range 45_000 {
		grant, _ := l.Admit(now, AccountSubject("team", fmt.Sprint(i), schema.Limits{RequestsPerSecond: 5}), Subject{}, Subject{})
		grant.Release(now, 1)
	}
	now = now.Add(interval)
	assert.Assert(t, len(l.Report(now).Usage) <= DefaultMaxReport)
	l.Report(now.Add(2 * idleTimeout))
	var left int
	for i := range l.shards {
		left += len(l.shards[i].subjects)
	}
	assert.Equal(t, left, 0)
}

// Each entry forgets an account while it is idle.
func TestLowRateHoldsForAccountsThatAreIdleBetweenRequests(t *testing.T) {
	const entries, duration = 8, 30 * time.Minute
	limit := schema.Limits{RequestsPerSecond: 0.01}
	for _, pause := range []time.Duration{65, 90, 400} {
		c := newCluster(entries, limit)
		admitted := 0
		for start, next := c.now, c.now; c.now.Sub(start) < duration; c.round() {
			if c.now.Before(next) {
				continue
			}
			next = next.Add(pause * time.Second)
			for _, l := range c.limiters {
				if grant, _ := l.Admit(c.now, c.account, Subject{}, Subject{}); grant != nil {
					grant.Release(c.now, 0)
					admitted++
				}
			}
		}
		allowed := limit.RequestsPerSecond*duration.Seconds() + entries // a request may be saved up at each
		assert.Assert(t, float64(admitted) <= allowed, "pauses of %d s: %d of %g", pause, admitted, allowed)
	}
}

func BenchmarkAdmit(b *testing.B) {
	l := New(Config{})
	now := time.Unix(1000, 0)
	team := TeamSubject("team", schema.Limits{Concurrent: 1000})
	subjects := make([]Subject, 45_000)
	for i := range subjects {
		subjects[i] = AccountSubject("team", fmt.Sprint(i), schema.Limits{RequestsPerSecond: 1e6})
	}
	b.ReportAllocs()
	var i int
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if grant, _ := l.Admit(now, subjects[i%len(subjects)], team, Subject{}); grant != nil {
			grant.Release(now, 10)
		}
		i++
	}
}

// Eight entries before an account that may run two requests at once.
func TestSmallConcurrencyLimitHoldsOverManyEntries(t *testing.T) {
	const entries, limit = 8, 2
	c := newCluster(entries, schema.Limits{Concurrent: limit})
	for range 5 {
		for i := range entries {
			c.report(i)
		}
	}
	running := 0
	for _, limiter := range c.limiters {
		if _, refusal := limiter.Admit(c.now, c.account, Subject{}, Subject{}); refusal == nil {
			running++
		}
	}
	assert.Assert(t, running <= limit, "%d requests run where %d may", running, limit)
}
