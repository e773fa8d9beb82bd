package expertplan

import "slices"

// Map lists the experts of each set at each rank.
type Map [][][]int32

// RoundRobin returns the map that a group starts with.
func RoundRobin(sets, ranks, experts int) Map {
	m := make(Map, sets)
	for s := range m {
		m[s] = make([][]int32, ranks)
		for e := range experts {
			m[s][e%ranks] = append(m[s][e%ranks], int32(e))
		}
	}
	return m
}

// Clone returns a deep copy.
func (m Map) Clone() Map {
	clone := make(Map, len(m))
	for s := range m {
		clone[s] = make([][]int32, len(m[s]))
		for r := range m[s] {
			clone[s][r] = slices.Clone(m[s][r])
		}
	}
	return clone
}

// Shape bounds a map.
type Shape struct {
	Ranks   int
	Experts int // in a set
	Places  int // experts that a rank can hold in a set
	Spare   int // experts of a set that a rank can load in one change
	Loads   int // experts of all sets that a rank may load in one change
}

const (
	minGain  = 0.01 // of a set's mean rank load that one load of an expert must save
	maxMoves = 200  // of one set in one plan
)

// Skew returns the load of the most loaded rank over the mean, averaged over the
// sets. loads are by set and expert; speeds are by rank, 1 for a usual one.
func Skew(m Map, loads [][]float64, speeds []float64) float64 {
	sum := 0.0
	for s := range m {
		p := newPlacement(m[s], loads[s], speeds)
		sum += p.most() / p.mean()
	}
	return sum / float64(len(m))
}

// Improve returns a map that is better balanced than the present one, and the
// number of experts that ranks must load for it.
func Improve(present Map, loads [][]float64, speeds []float64, shape Shape) (Map, int) {
	next := present.Clone()
	loaded := make([]int, shape.Ranks) // experts of all sets that each rank loads
	total := 0
	for _, s := range worstFirst(present, loads, speeds) {
		p := newPlacement(next[s], loads[s], speeds)
		p.resident = present[s]
		p.shape = shape
		p.loaded = loaded
		for range maxMoves {
			best, found := p.bestMove()
			if !found {
				break
			}
			p.apply(best)
		}
		next[s] = p.ranks
	}
	for _, count := range loaded {
		total += count
	}
	return next, total
}

func worstFirst(m Map, loads [][]float64, speeds []float64) []int {
	order := make([]int, len(m))
	skews := make([]float64, len(m))
	for s := range m {
		order[s] = s
		p := newPlacement(m[s], loads[s], speeds)
		skews[s] = p.most() / p.mean()
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case skews[a] > skews[b]:
			return -1
		case skews[a] < skews[b]:
			return 1
		}
		return a - b
	})
	return order
}
