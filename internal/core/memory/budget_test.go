package memory

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const process, body = 100 << 20, 1 << 20
	budget := NewBudget(process)
	count := 0
	for budget.Reserve().TryGrow(body) {
		count++
		assert.Assert(t, count*body < process/2, "%d bodies", count)
	}
	assert.Assert(t, count >= 20, "%d bodies", count)
	small := budget.Reserve()
	assert.Assert(t, small.TryGrow(LargeBytes))
	before := budget.Used()
	small.Shrink(10)
	assert.Equal(t, budget.Used(), before-10)
	small.Release()
	small.Release()
	assert.Equal(t, budget.Used(), before-LargeBytes)
}

func TestProcessWithoutALimitTakesAll(t *testing.T) {
	assert.Assert(t, NewBudget(0).Reserve().TryGrow(1<<40))
}

// fill grows until the budget allows no more.
func fill(grow func() bool) {
	for allowed := true; allowed; {
		allowed = grow()
	}
}

func TestAnswersGetMemoryThatRequestsMustLeave(t *testing.T) {
	const process, large, small = 100 << 20, 1 << 20, 32 << 10
	budget := NewBudget(process)
	sent, allowed := budget.ReserveAnswer(small, small/2)
	assert.Assert(t, allowed)
	fill(func() bool { return budget.Reserve().TryGrow(large) })
	fill(func() bool { return budget.Reserve().TryGrow(small) })
	_, allowed = budget.ReserveAnswer(small, 0)
	assert.Assert(t, !allowed, "a request is sent for whose answer there is no memory")
	assert.Assert(t, sent.TryGrow(small), "the answer of a request that was sent finds no memory")
	budget.used.Store(budget.limit)
	reservedAhead := &Reservation{budget: budget, answer: true, held: small, ahead: small / 2}
	assert.Assert(t, reservedAhead.TryGrow(small/2), "what was reserved before the request was sent")
	assert.Assert(t, !reservedAhead.TryGrow(1))
}

func TestSmallRequestsAreSentWhileLargeAnswersHoldAllThatTheyMay(t *testing.T) {
	const process, large, small = 100 << 20, 1 << 20, 32 << 10
	budget := NewBudget(process)
	fill(func() bool {
		answer, allowed := budget.ReserveAnswer(small, 0)
		return allowed && answer.TryGrow(large)
	})
	_, allowed := budget.ReserveAnswer(small, small)
	assert.Assert(t, allowed)
	assert.Assert(t, budget.Reserve().TryGrow(small))
}

func TestSourceWithLargeAnswersLeavesMemoryToOthers(t *testing.T) {
	const process, large = 100 << 20, 1 << 20
	budget := NewBudget(process)
	var faulty, sound Source
	from := func(source *Source) *Reservation {
		answer, allowed := budget.ReserveAnswer(1, 0)
		assert.Assert(t, allowed)
		answer.SetSource(source)
		return answer
	}
	fill(func() bool { return from(&faulty).TryGrow(large) })
	assert.Assert(t, budget.Used() <= budget.limit/2+large)
	answer := from(&sound)
	assert.Assert(t, answer.TryGrow(large))
	held := sound.used.Load()
	answer.Shrink(large / 2)
	assert.Equal(t, sound.used.Load(), held-large/2)
	answer.Release()
	assert.Equal(t, sound.used.Load(), int64(0))
}
