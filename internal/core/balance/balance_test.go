package balance

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func lognormal(r *rand.Rand, n int) []float64 {
	loads := make([]float64, n)
	for i := range loads {
		loads[i] = math.Exp(r.NormFloat64())
	}
	return loads
}

func ones(n int) []float64 {
	v := make([]float64, n)
	for i := range v {
		v[i] = 1
	}
	return v
}

func TestPackMeetsTheBoundAtTwoSlots(t *testing.T) {
	for seed := range uint64(5) {
		r := rand.New(rand.NewPCG(seed, 1))
		loads, speeds := lognormal(r, 256), ones(256)
		speeds[3] = 0.5
		shape, err := EvenShape(256, 256, 512)
		assert.NilError(t, err)
		bound := LowerBound(loads, speeds, 512)
		got := shape.Slowest(Pack(shape, loads, speeds), loads, speeds)
		assert.Assert(t, got <= bound*1.01, "seed %d: %.4f", seed, got/bound)
	}
}

// TestPlannedMapsAreValid checks on random shapes that a plan's map holds each
// expert, that the shares of an expert sum to 1, that no rank exceeds the time
// that the plan states, and that no map is faster than the lower bound.
func TestPlannedMapsAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 12).Draw(t, "ranks")
		experts := rapid.IntRange(1, 24).Draw(t, "experts")
		slots := experts + rapid.IntRange(0, 24).Draw(t, "spare")
		shape, err := EvenShape(ranks, experts, slots)
		assert.NilError(t, err)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		speeds := ones(ranks)
		speeds[random.IntN(ranks)] = 0.5
		current := Pack(shape, lognormal(random, experts), speeds).Placement
		loads := lognormal(random, experts)
		plan := NewPlanner(DefaultConfig(), shape, loads, speeds).Plan(current, 40)
		checkMap(t, shape, plan.Map, loads, speeds, plan.After)
		assert.Equal(t, shape.Moves(current, plan.Map.Placement), len(plan.Moves))
		assert.Assert(t, plan.After <= plan.Before*(1+1e-6))
	})
}

func checkMap(t *rapid.T, shape Shape, m Map, loads, speeds []float64, stated float64) {
	shares := make([]float64, shape.Experts)
	for slot, e := range m.Placement {
		if e != Empty {
			shares[e] += m.Shares[slot]
		}
	}
	for e, share := range shares {
		assert.Assert(t, math.Abs(share-1) < 1e-6, "expert %d has shares of %.6f", e, share)
	}
	slowest := shape.Slowest(m, loads, speeds)
	assert.Assert(t, slowest <= stated*(1+1e-5), "slowest %.6f, stated %.6f", slowest, stated)
	assert.Assert(t, slowest >= LowerBound(loads, speeds, shape.TotalSlots())*(1-1e-5))
}

func TestLowerBoundCountsSlots(t *testing.T) {
	loads, speeds := []float64{10, 1}, ones(4)
	assert.Assert(t, math.Abs(LowerBound(loads, speeds, 3)-5) < 1e-6)
	assert.Assert(t, math.Abs(LowerBound(loads, speeds, 4)-10.0/3) < 1e-6)
}

func TestUnprofitableMovesAreNotPlanned(t *testing.T) {
	shape, err := EvenShape(2, 4, 4)
	assert.NilError(t, err)
	current := Placement{0, 1, 2, 3}
	loads := []float64{3, 3, 1, 1}
	cfg := DefaultConfig()
	plan := NewPlanner(cfg, shape, loads, ones(2)).Plan(current, 40)
	assert.Equal(t, len(plan.Moves), 2)
	cfg.StallMS = 1e9
	plan = NewPlanner(cfg, shape, loads, ones(2)).Plan(current, 40)
	assert.Equal(t, len(plan.Moves), 0)
}

func TestEstimatorFollowsAJumpAtOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	e := NewEstimator(ones(32), 0)
	values := make([]float64, 32)
	observe := func(level float64) {
		for i := range values {
			values[i] = level * (1 + 0.02*random.NormFloat64())
		}
		e.Observe(values)
	}
	for range 100 {
		observe(1)
	}
	for _, v := range e.Values() {
		assert.Assert(t, math.Abs(v-1) < 0.02)
	}
	observe(3)
	for _, v := range e.Values() {
		assert.Assert(t, math.Abs(v-3) < 0.3)
	}
}

func TestExpertCoolsDownBeforeItReturns(t *testing.T) {
	shape, err := EvenShape(2, 4, 4)
	assert.NilError(t, err)
	loads, speeds := []float64{3, 3, 1, 1}, ones(2)
	bound := LowerBound(loads, speeds, 4)
	p := NewPlanner(DefaultConfig(), shape, loads, speeds)
	current := Placement{0, 1, 2, 3}
	moves := p.planMoves(current, bound).Moves
	assert.Assert(t, len(moves) > 0)

	for _, m := range moves {
		p.removedAt[rankExpert{int32(p.rankOf(m.Slot)), m.Expert}] = p.now
	}
	for _, again := range p.planMoves(current, bound).Moves {
		assert.Assert(t, !p.coolingDown(int32(p.rankOf(again.Slot)), again.Expert), "%+v returned", again)
	}
	for range p.cfg.CooldownReports {
		p.Observe(loads, speeds)
	}
	assert.DeepEqual(t, p.planMoves(current, bound).Moves, moves)
}
