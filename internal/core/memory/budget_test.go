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
	small.Grow(10)
	small.Release()
	small.Release()
	assert.Equal(t, budget.Used(), before-LargeBytes)
}

func TestProcessWithoutALimitTakesAll(t *testing.T) {
	assert.Assert(t, NewBudget(0).Reserve().TryGrow(1<<40))
}
