package expertplan

import (
	"math/rand/v2"
	"testing"
)

// groupAfterShift returns the map of a group that is balanced for one demand, and the
// loads of another, in which a few experts of each set are far more in demand.
func groupAfterShift(sets, ranks, experts, places int) (Map, [][]float64, []float64, Shape) {
	random := rand.New(rand.NewPCG(3, 1))
	speeds := evenSpeeds(ranks)
	shape := Shape{Ranks: ranks, Experts: experts, Places: places, Spare: 2, Loads: 2}
	m := RoundRobin(sets, ranks, experts)
	for range 3 {
		m, _ = Improve(m, shiftedLoads(random, sets, experts), speeds, shape)
	}
	return m, shiftedLoads(random, sets, experts), speeds, shape
}

func shiftedLoads(random *rand.Rand, sets, experts int) [][]float64 {
	loads := make([][]float64, sets)
	for s := range loads {
		loads[s] = make([]float64, experts)
		for e := range loads[s] {
			loads[s][e] = 50 + 100*random.Float64()
		}
		for hot := 1; hot <= 5; hot++ {
			loads[s][random.IntN(experts)] = 1200 / float64(hot)
		}
	}
	return loads
}

func BenchmarkImproveAfterAShift(b *testing.B) {
	m, loads, speeds, shape := groupAfterShift(12, 72, 144, 3)
	for b.Loop() {
		Improve(m, loads, speeds, shape)
	}
}
