package limits

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quetzalbend/internal/core/schema"
)

func TestMaxMinDividesTotalFairlyWithinDemands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 50), 1, 8).Draw(t, "demands")
		weights := make([]float64, len(demands))
		for i := range weights {
			weights[i] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
		}
		total := rapid.Float64Range(0, 200).Draw(t, "total")
		var sum, wanted, level float64
		parts := MaxMin(total, demands, weights)
		for i, part := range parts {
			sum += part
			wanted += demands[i]
			level = max(level, part/weights[i])
			if part > demands[i]+1e-9 {
				t.Fatalf("part %g for demand %g", part, demands[i])
			}
		}
		if math.Abs(sum-min(total, wanted)) > 1e-6 {
			t.Fatalf("parts add up to %g of %g, wanted %g", sum, total, wanted)
		}
		for i, part := range parts {
			if part < demands[i]-1e-9 && part/weights[i] < level-1e-6 {
				t.Fatalf("demand %d is not met although another has more: %v", i, parts)
			}
		}
	})
}

// fill offers n requests to the gate and returns the tickets of those let through.
func fill(g *Gate, now time.Time, work Work, n int) []*Ticket {
	var tickets []*Ticket
	for range n {
		if ticket, _ := g.Enter(now, work); ticket != nil {
			tickets = append(tickets, ticket)
		}
	}
	return tickets
}

// shortGate returns a gate that has estimated a capacity of 90.
func shortGate(now time.Time) *Gate {
	g := NewGate()
	probe := fill(g, now, Work{Team: "probe", Account: "p"}, 101)
	for i, ticket := range probe {
		shortage := NoShortage
		if i == 0 {
			shortage = Refused
		}
		ticket.Leave(now, shortage)
	}
	return g
}

func TestGateIsOpenUntilCapacityIsShort(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, len(fill(NewGate(), now, Work{Team: "a", Account: "x"}, 1000)), 1000)
	g := shortGate(now)
	assert.Assert(t, len(fill(g, now, Work{Team: "a", Account: "x"}, 1000)) <= 90)
	now = now.Add(2 * gateHoldTime)
	assert.Equal(t, len(fill(g, now, Work{Team: "a", Account: "y"}, 1000)), 1000)
}

// saturate offers more requests of each kind of work in turn than the gate lets
// through, while some finish, and returns how many of each kind run at the end.
func saturate(now time.Time, works []Work) []int {
	g := shortGate(now)
	running := make([][]*Ticket, len(works))
	for range 200 {
		now = now.Add(gateDivideInterval)
		for i, work := range works {
			running[i] = append(running[i], fill(g, now, work, 5)...)
			if len(running[i]) > 0 {
				running[i][0].Leave(now, NoShortage)
				running[i] = running[i][1:]
			}
		}
		g.capacity = 90
	}
	counts := make([]int, len(works))
	for i := range running {
		counts[i] = len(running[i])
	}
	return counts
}

func TestShortCapacityIsDividedByWeightAndAccount(t *testing.T) {
	now := time.Unix(1000, 0)
	counts := saturate(now, []Work{
		{Team: "a", Share: 2, Account: "x"},
		{Team: "b", Share: 1, Account: "y"},
		{Team: "b", Share: 1, Account: "z"},
	})
	assert.Assert(t, math.Abs(float64(counts[0])-60) <= 3, "%v", counts)
	assert.Assert(t, math.Abs(float64(counts[1])-15) <= 3, "%v", counts)
	assert.Assert(t, math.Abs(float64(counts[2])-15) <= 3, "%v", counts)
}

func TestBatchGetsOnlyTheCapacityLeftByOtherClasses(t *testing.T) {
	now := time.Unix(1000, 0)
	counts := saturate(now, []Work{
		{Team: "a", Share: 1, Account: "x", Class: schema.Batch},
		{Team: "a", Share: 1, Account: "x", Class: schema.Interactive},
	})
	assert.Assert(t, counts[0] <= 2, "%v", counts)
	assert.Assert(t, counts[1] >= 80, "%v", counts)
}

func TestSmallAccountIsLetThroughWhileAnotherFloods(t *testing.T) {
	now := time.Unix(1000, 0)
	g := shortGate(now)
	flood := Work{Team: "a", Account: "flood"}
	for range 100 {
		now = now.Add(gateDivideInterval)
		fill(g, now, flood, 50)
	}
	small := fill(g, now, Work{Team: "a", Account: "small"}, 1)
	assert.Equal(t, len(small), 1)
}

func TestAnAccountAloneIsNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate()
	alone := Work{Team: "a", Account: "x"}
	tickets := fill(g, now, alone, 10)
	tickets[0].Leave(now, Refused)
	assert.Equal(t, len(fill(g, now, alone, 50)), 50)
}

// Guards against a capacity that stays low after a brief shortage. Two accounts
// offer as many requests as they can to targets that were full for a moment and
// then run up to a hundred requests at once, each for half a second.
func TestCapacityRecoversAfterABriefShortage(t *testing.T) {
	const slots, duration = 100, 10 * time.Second
	now := time.Unix(1000, 0)
	g := NewGate()
	works := []Work{{Team: "a", Account: "x"}, {Team: "a", Account: "y"}}
	for _, ticket := range fill(g, now, works[0], 6) {
		ticket.Leave(now, Refused)
	}
	type end struct {
		at     time.Time
		ticket *Ticket
	}
	var running []end
	for deadline := now.Add(duration); now.Before(deadline); now = now.Add(gateDivideInterval) {
		for len(running) > 0 && !running[0].at.After(now) {
			running[0].ticket.Leave(now, NoShortage)
			running = running[1:]
		}
		for _, work := range works {
			for _, ticket := range fill(g, now, work, 20) {
				if len(running) >= slots {
					ticket.Leave(now, Refused)
					continue
				}
				running = append(running, end{now.Add(500 * time.Millisecond), ticket})
			}
		}
	}
	assert.Assert(t, len(running) >= slots/2, "%d of %d run", len(running), slots)
}

// Requests that wait at targets show that capacity is short before any target
// refuses; they reduce it less than refusals do.
func TestRequestsWaitingAtTargetsReduceTheCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	left := func(shortage Shortage) int {
		g := NewGate()
		fill(g, now, Work{Team: "a", Account: "y"}, 1)
		fill(g, now, Work{Team: "a", Account: "x"}, 100)[0].Leave(now, shortage)
		return len(fill(g, now, Work{Team: "a", Account: "x"}, 100))
	}
	assert.Equal(t, left(NoShortage), 100)
	assert.Equal(t, left(Queued), 0)
	assert.Equal(t, left(Refused), 0)

	capacity := func(shortage Shortage) float64 {
		g := NewGate()
		fill(g, now, Work{Team: "a", Account: "x"}, 100)[0].Leave(now, shortage)
		return g.capacity
	}
	assert.Assert(t, capacity(Refused) < capacity(Queued))
	assert.Assert(t, capacity(Queued) < 100)
}
