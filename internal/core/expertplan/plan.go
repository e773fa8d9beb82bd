package expertplan

import "slices"

// Map lists the experts of each set at each rank.
type Map [][][]int32

// RoundRobin returns the map that a group starts with: in each set, the experts are
// assigned to the ranks in turn.
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

// Clone returns a deep copy of the map.
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

// Shape gives the size of a group and the limits on its maps.
type Shape struct {
	Ranks   int
	Experts int // in each set
	Places  int // most experts of one set that a rank can hold
	Spare   int // most experts of one set that a rank can load in one change
	Loads   int // most experts of all sets together that a rank may load in one change
}

const (
	minGain  = 0.01 // reduction of the cost, relative to the mean time, that loading one expert must bring
	maxMoves = 200  // moves of one set in one plan
)

// Skew returns the time of the most loaded rank divided by the mean time, averaged
// over the sets. loads are by set and expert; speeds are by rank, with 1 for the
// usual speed.
func Skew(m Map, loads [][]float64, speeds []float64) float64 {
	sum := 0.0
	for s := range m {
		p := newPlacement(m[s], loads[s], speeds)
		sum += p.maxTime() / p.mean
	}
	return sum / float64(len(m))
}

// Improve returns a map that is better balanced than the current one, if it finds
// one, and the number of experts that ranks must load for it.
func Improve(current Map, loads [][]float64, speeds []float64, shape Shape) (Map, int) {
	next := current.Clone()
	expertsToLoad := make([]int, shape.Ranks) // experts of all sets that each rank must load
	total := 0
	for _, s := range mostSkewedFirst(current, loads, speeds) {
		p := newPlacement(next[s], loads[s], speeds)
		p.resident = current[s]
		p.shape = shape
		p.expertsToLoad = expertsToLoad
		for range maxMoves {
			best, found := p.bestMove()
			if !found {
				break
			}
			p.apply(best)
		}
		next[s] = p.ranks
	}
	for _, count := range expertsToLoad {
		total += count
	}
	return next, total
}

// mostSkewedFirst returns the indexes of the sets by decreasing skew.
func mostSkewedFirst(m Map, loads [][]float64, speeds []float64) []int {
	order := make([]int, len(m))
	skews := make([]float64, len(m))
	for s := range m {
		order[s] = s
		p := newPlacement(m[s], loads[s], speeds)
		skews[s] = p.maxTime() / p.mean
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
