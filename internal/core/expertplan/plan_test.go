package expertplan

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// goalSkew is what a plan must reach, with the loads of an expert that one
// change may take.
const goalSkew = 1.25

var testShape = Shape{Ranks: 16, Experts: 64, Places: 5, Spare: 2, Loads: 3}

// hotLoads returns loads of which a few experts have most, as after a shift of
// demand: the hottest has 12 times the mean, the second 5 times, three 3.5 times.
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

func checkMap(t *testing.T, present, next Map, shape Shape) {
	t.Helper()
	for s := range next {
		held := make([]bool, shape.Experts)
		for r, experts := range next[s] {
			assert.Assert(t, len(experts) <= shape.Places)
			fresh := 0
			for i, e := range experts {
				assert.Assert(t, !slices.Contains(experts[:i], e), "set %d rank %d holds %d twice", s, r, e)
				held[e] = true
				if !slices.Contains(present[s][r], e) {
					fresh++
				}
			}
			assert.Assert(t, fresh <= shape.Spare, "set %d rank %d loads %d", s, r, fresh)
		}
		assert.Assert(t, !slices.Contains(held, false), "set %d: an expert is nowhere", s)
	}
}

func TestImproveBalancesAShiftOfDemand(t *testing.T) {
	speeds := evenSpeeds(testShape.Ranks)
	first, second := 0.0, 0.0
	const seeds = 20
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		present := RoundRobin(4, testShape.Ranks, testShape.Experts)
		for range 3 {
			loads := hotLoads(random, 4, testShape.Experts)
			next, _ := Improve(present, loads, speeds, testShape)
			checkMap(t, present, next, testShape)
			first += Skew(next, loads, speeds) / (3 * seeds)
			again, _ := Improve(next, loads, speeds, testShape)
			checkMap(t, next, again, testShape)
			second += Skew(again, loads, speeds) / (3 * seeds)
			present = again
		}
	}
	t.Logf("mean skew after one change %.3f, after two %.3f", first, second)
	assert.Assert(t, first <= goalSkew, "skew %.3f after one change", first)
	assert.Assert(t, second <= goalSkew, "skew %.3f after two changes", second)
}

func TestImproveLeavesABalancedMapAlone(t *testing.T) {
	speeds := evenSpeeds(testShape.Ranks)
	present := RoundRobin(4, testShape.Ranks, testShape.Experts)
	loads := make([][]float64, 4)
	for s := range loads {
		loads[s] = slices.Repeat([]float64{1}, testShape.Experts)
	}
	_, loaded := Improve(present, loads, speeds, testShape)
	assert.Equal(t, loaded, 0)
}

func TestImproveGivesASlowRankLess(t *testing.T) {
	speeds := evenSpeeds(testShape.Ranks)
	speeds[3] = 0.5
	random := rand.New(rand.NewPCG(7, 1))
	present := RoundRobin(4, testShape.Ranks, testShape.Experts)
	loads := hotLoads(random, 4, testShape.Experts)
	before := Skew(present, loads, speeds)
	next, _ := Improve(present, loads, speeds, testShape)
	checkMap(t, present, next, testShape)
	assert.Assert(t, Skew(next, loads, speeds) < before/1.5)
}

func BenchmarkImprove(b *testing.B) {
	speeds := evenSpeeds(testShape.Ranks)
	random := rand.New(rand.NewPCG(7, 1))
	present := RoundRobin(4, testShape.Ranks, testShape.Experts)
	loads := hotLoads(random, 4, testShape.Experts)
	for b.Loop() {
		Improve(present, loads, speeds, testShape)
	}
}
