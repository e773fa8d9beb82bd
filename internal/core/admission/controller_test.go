package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// warm returns a controller of a warm target with the given limit and queue.
func warm(limit, queue int) *Controller {
	c := NewController(start, Config{ColdLimit: 1, MaxLimit: limit, Queue: queue})
	c.cold, c.limit = false, float64(limit)
	return c
}

// serve starts and finishes waiting requests until none starts, and returns their
// IDs in the order of starting.
func serve(c *Controller) []uint64 {
	var order []uint64
	for {
		started := c.Next(start)
		if len(started) == 0 {
			return order
		}
		order = append(order, started...)
		for _, id := range started {
			c.End(start, id, Finished)
		}
	}
}

func TestAccountThatFloodsDoesNotStarveOthers(t *testing.T) {
	c := warm(1, 100)
	id := uint64(0)
	offer := func(team, account string, share float64, urgency int) uint64 {
		id++
		c.Offer(Request{ID: id, Team: team, Account: account, Share: share, Urgency: urgency})
		return id
	}
	for range 50 {
		offer("t", "flood", 1, 1)
	}
	small := []uint64{offer("t", "small", 1, 1), offer("t", "small", 1, 1)}
	other := offer("other", "x", 1, 1)
	urgent := offer("t", "flood", 1, 2)
	order := serve(c)
	position := make(map[uint64]int)
	for i, id := range order {
		position[id] = i
	}
	assert.Equal(t, len(order), 54)
	assert.Equal(t, position[urgent], 0)
	assert.Assert(t, position[other] <= 2, "position %d", position[other])
	assert.Assert(t, position[small[0]] <= 4, "position %d", position[small[0]])
	assert.Assert(t, position[small[1]] <= 6, "position %d", position[small[1]])
}

func TestTeamsAreServedByShare(t *testing.T) {
	c := warm(1, 100)
	team := make(map[uint64]string)
	for i := uint64(1); i <= 80; i++ {
		name, share := "large", 3.0
		if i%2 == 0 {
			name, share = "little", 1
		}
		team[i] = name
		c.Offer(Request{ID: i, Team: name, Share: share})
	}
	counts := make(map[string]int)
	for _, id := range serve(c)[:40] {
		counts[team[id]]++
	}
	assert.Assert(t, counts["large"] >= 29 && counts["large"] <= 31, "%v", counts)
}

func TestUrgentRequestsAndOtherAccountsDisplaceFromFullQueue(t *testing.T) {
	c := warm(1, 3)
	c.Offer(Request{ID: 1, Account: "a"})
	assert.DeepEqual(t, c.Next(start), []uint64{1})
	for id := uint64(2); id <= 4; id++ {
		assert.Equal(t, c.Offer(Request{ID: id, Account: "a"}).Verdict, Waiting)
	}
	refused := c.Offer(Request{ID: 5, Account: "a"})
	assert.Equal(t, refused.Verdict, Refused)
	assert.Assert(t, refused.RetryAfter > 0)
	assert.Equal(t, c.Offer(Request{ID: 6, Account: "b"}).Displaced, uint64(4))
	assert.Equal(t, c.Offer(Request{ID: 7, Account: "a", Urgency: 1}).Displaced, uint64(3))
	assert.Equal(t, c.Offer(Request{ID: 8, Account: "c"}).Verdict, Refused)
}

// TestFloodLeavesSlotsThatOthersUse checks that the slots of an account with few
// requests stay free beside an account that would fill the target, until the first
// account has sent nothing for two windows of the reserve.
func TestFloodLeavesSlotsThatOthersUse(t *testing.T) {
	c := warm(8, 20)
	now := start
	for id := uint64(1); id <= 2; id++ {
		c.Offer(Request{ID: id, Account: "few"})
	}
	assert.Equal(t, len(c.Next(now)), 2)
	for id := uint64(10); id < 20; id++ {
		c.Offer(Request{ID: id, Account: "flood"})
	}
	assert.Equal(t, len(c.Next(now)), 6)
	c.End(now, 1, Finished)
	c.End(now, 2, Finished)
	assert.Equal(t, len(c.Next(now)), 0)

	c.Offer(Request{ID: 3, Account: "few"})
	assert.DeepEqual(t, c.Next(now), []uint64{3})
	c.End(now, 3, Finished)

	now = now.Add(3 * reserveWindow)
	c.End(now, 10, Finished)
	assert.Equal(t, len(c.Next(now)), 3)
}

// TestOneAccountAloneUsesAllSlots checks that no slots are kept free for accounts
// that have sent nothing.
func TestOneAccountAloneUsesAllSlots(t *testing.T) {
	c := warm(8, 20)
	for id := uint64(1); id <= 10; id++ {
		c.Offer(Request{ID: id, Account: "only"})
	}
	assert.Equal(t, len(c.Next(start)), 8)
}

func TestSuspectRunsAlone(t *testing.T) {
	c := warm(4, 4)
	c.Offer(Request{ID: 1})
	assert.DeepEqual(t, c.Next(start), []uint64{1})
	c.Offer(Request{ID: 2, Suspect: true})
	c.Offer(Request{ID: 3})
	assert.Equal(t, c.Offer(Request{ID: 4, Suspect: true}).Verdict, Refused)
	assert.Equal(t, len(c.Next(start)), 0)
	c.End(start, 1, Finished)
	assert.DeepEqual(t, c.Next(start), []uint64{2})
	c.End(start, 2, Finished)
	assert.DeepEqual(t, c.Next(start), []uint64{3})
}

func TestLimitRisesWithFinishedRequestsAndFallsWithLatency(t *testing.T) {
	c := NewController(start, Config{ColdLimit: 2, MaxLimit: 10, Queue: 50})
	id := uint64(0)
	work := func() {
		id++
		c.Offer(Request{ID: id})
		for _, started := range c.Next(start) {
			c.End(start, started, Finished)
		}
	}
	assert.Equal(t, c.Limit(), 2)
	for range 30 {
		for range 10 {
			id++
			c.Offer(Request{ID: id})
		}
		for _, started := range c.Next(start) {
			c.End(start, started, Finished)
		}
	}
	work()
	assert.Equal(t, c.Limit(), 10)
	c.BetweenTokens(start.Add(time.Second), 0, 10*DefaultBetweenTokens)
	assert.Equal(t, c.Limit(), 9)
	c.End(start, 0, Broken)
	assert.Equal(t, c.Limit(), 9)
	id++
	c.Offer(Request{ID: id})
	started := c.Next(start)
	c.End(start, started[0], NotSent)
	assert.Equal(t, c.Limit(), 2)
}

func TestStalledWhenNoStreamAdvances(t *testing.T) {
	c := warm(4, 4)
	for id := uint64(1); id <= 3; id++ {
		c.Offer(Request{ID: id})
	}
	assert.Equal(t, len(c.Next(start)), 3)
	late := start.Add(10 * stallTimeout)
	assert.Assert(t, !c.Stalled(late), "no stream has begun")
	for id := uint64(1); id <= 2; id++ {
		c.FirstToken(start, id, time.Millisecond)
	}
	assert.Assert(t, !c.Stalled(late), "no stream waits for the target")
	c.AwaitingToken(start, 1)
	c.AwaitingToken(start, 2)
	assert.Assert(t, !c.Stalled(start.Add(stallTimeout-1)))
	assert.Assert(t, c.Stalled(start.Add(stallTimeout)))
	c.BetweenTokens(late, 1, time.Millisecond)
	c.AwaitingToken(late, 1)
	assert.Assert(t, !c.Stalled(late))
}
