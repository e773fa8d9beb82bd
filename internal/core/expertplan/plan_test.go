package expertplan

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// maxSkew is the highest skew that a plan may leave under the limits on the experts
// loaded in one change.
const maxSkew = 1.25

var testShape = Shape{Ranks: 16, Experts: 64, Places: 5, Spare: 2, Loads: 3}

// hotLoads returns loads with a few hot experts in each set, as after a shift in
// demand: one has load 12, one 5 and three 3.5; the others have 0.8 on average.
func hotLoads(random *rand.Rand, sets, experts int) [][]float64 {
	loads := make([][]float64, sets)
	for s := range loads {
		loads[s] = make([]float64, experts)
		for e := range loads[s] {
			loads[s][e] = 0.3 + random.Float64()
		}
		order := random.Perm(experts)
		for i, load := range []float64{12, 5, 3.5, 3.5, 3.5} {
			loads[s][order[i]] = load
		}
	}
	return loads
}

func evenSpeeds(ranks int) []float64 {
	speeds := make([]float64, ranks)
	for r := range speeds {
		speeds[r] = 1
	}
	return speeds
}

func checkMap(t *testing.T, current, next Map, shape Shape) {
	t.Helper()
	for s := range next {
		held := make([]bool, shape.Experts)
		for r, experts := range next[s] {
			assert.Assert(t, len(experts) <= shape.Places)
			loaded := 0
			for i, e := range experts {
				assert.Assert(t, !slices.Contains(experts[:i], e), "set %d rank %d holds expert %d twice", s, r, e)
				held[e] = true
				if !slices.Contains(current[s][r], e) {
					loaded++
				}
			}
			assert.Assert(t, loaded <= shape.Spare, "set %d rank %d loads %d experts", s, r, loaded)
		}
		assert.Assert(t, !slices.Contains(held, false), "set %d: no rank holds some expert", s)
	}
}

func TestImproveBalancesAShiftOfDemand(t *testing.T) {
	speeds := evenSpeeds(testShape.Ranks)
	firstSkew, secondSkew := 0.0, 0.0
	const seeds = 20
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		current := RoundRobin(4, testShape.Ranks, testShape.Experts)
		for range 3 {
			loads := hotLoads(random, 4, testShape.Experts)
			next, _ := Improve(current, loads, speeds, testShape)
			checkMap(t, current, next, testShape)
			firstSkew += Skew(next, loads, speeds) / (3 * seeds)
			again, _ := Improve(next, loads, speeds, testShape)
			checkMap(t, next, again, testShape)
			secondSkew += Skew(again, loads, speeds) / (3 * seeds)
			current = again
		}
	}
	t.Logf("mean skew after one change %.3f, after two %.3f", firstSkew, secondSkew)
	assert.Assert(t, firstSkew <= maxSkew, "skew %.3f after one change", firstSkew)
	assert.Assert(t, secondSkew <= maxSkew, "skew %.3f after two changes", secondSkew)
}

func TestImproveLeavesABalancedMapAlone(t *testing.T) {
	speeds := evenSpeeds(testShape.Ranks)
	current := RoundRobin(4, testShape.Ranks, testShape.Experts)
	loads := make([][]float64, 4)
	for s := range loads {
		loads[s] = slices.Repeat([]float64{1}, testShape.Experts)
	}
	_, loaded := Improve(current, loads, speeds, testShape)
	assert.Equal(t, loaded, 0)
}

func TestImproveGivesASlowRankLess(t *testing.T) {
	speeds := evenSpeeds(testShape.Ranks)
	speeds[3] = 0.5
	random := rand.New(rand.NewPCG(7, 1))
	current := RoundRobin(4, testShape.Ranks, testShape.Experts)
	loads := hotLoads(random, 4, testShape.Experts)
	before := Skew(current, loads, speeds)
	next, _ := Improve(current, loads, speeds, testShape)
	checkMap(t, current, next, testShape)
	assert.Assert(t, Skew(next, loads, speeds) < before/1.5)
}

func BenchmarkImprove(b *testing.B) {
	speeds := evenSpeeds(testShape.Ranks)
	random := rand.New(rand.NewPCG(7, 1))
	current := RoundRobin(4, testShape.Ranks, testShape.Experts)
	loads := hotLoads(random, 4, testShape.Experts)
	for b.Loop() {
		Improve(current, loads, speeds, testShape)
	}
}
