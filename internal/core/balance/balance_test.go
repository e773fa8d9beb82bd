package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func lognormal(r *rand.Rand, n int, sigma float64) []float64 {
	loads := make([]float64, n)
	for i := range loads {
		loads[i] = math.Exp(sigma * r.NormFloat64())
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
		loads, speeds := lognormal(r, 256, 1), ones(256)
		speeds[3] = 0.5
		shape, err := EvenShape(256, 256, 512)
		assert.NilError(t, err)
		m := Pack(shape, loads, speeds)
		bound := LowerBound(loads, speeds, 512)
		got := shape.Slowest(m, loads, speeds)
		t.Logf("pack %.4f", got/bound)
		assert.Assert(t, got <= bound*1.01, "seed %d: %.4f", seed, got/bound)
	}
}

func TestPlanTrial(t *testing.T) {
	for seed := range uint64(4) {
		r := rand.New(rand.NewPCG(seed, 1))
		loads, speeds := lognormal(r, 256, 1), ones(256)
		shape, _ := EvenShape(256, 256, 512)
		m := Pack(shape, loads, speeds)
		loads = lognormal(r, 256, 1)
		p := NewPlanner(DefaultConfig(), shape, loads, speeds)
		pl := m.Placement
		for range 8 {
			s := time.Now()
			plan := p.Plan(pl, 40)
			t.Logf("now %.4f after %.4f moves %d in %v", plan.Now/MeanTime(loads, speeds), plan.After/MeanTime(loads, speeds), len(plan.Moves), time.Since(s))
			pl = plan.Map.Placement
		}
	}
}
