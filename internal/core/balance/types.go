package balance

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Empty marks a slot that holds no expert.
const Empty int32 = -1

// Shape is the number of experts of a layer and the slots of the ranks for
// them.
type Shape struct {
	Experts int
	Slots   []int // slots of each rank
}

// EvenShape spreads slots over ranks as evenly as possible.
func EvenShape(ranks, experts, slots int) (Shape, error) {
	if ranks < 1 || experts < 1 {
		return Shape{}, errors.Errorf("shape of %d ranks and %d experts: both must be at least 1", ranks, experts)
	}
	if slots < experts {
		return Shape{}, errors.Errorf("%d slots cannot hold %d experts", slots, experts)
	}
	shape := Shape{Experts: experts, Slots: make([]int, ranks)}
	for r := range shape.Slots {
		shape.Slots[r] = slots / ranks
		if r < slots%ranks {
			shape.Slots[r]++
		}
	}
	return shape, nil
}

// Ranks returns the number of ranks.
func (s Shape) Ranks() int { return len(s.Slots) }

// TotalSlots returns the number of slots over all ranks.
func (s Shape) TotalSlots() int {
	total := 0
	for _, n := range s.Slots {
		total += n
	}
	return total
}

// Placement holds the expert in each slot. Slots are numbered across ranks:
// first those of rank 0, then those of rank 1, and so on.
type Placement []int32

// Clone returns a copy.
func (p Placement) Clone() Placement { return append(Placement(nil), p...) }

// Map is an expert map of one layer: a placement and, for each slot, the
// fraction of its expert's load that the slot carries.
type Map struct {
	Placement Placement `json:"placement"`
	Shares    []float64 `json:"shares"` // sum to 1 over the slots of an expert
}

// EncodeLayers returns the wire form of the maps of all layers.
func EncodeLayers(layers []Map) ([]byte, error) {
	data, err := json.Marshal(layers)
	return data, errors.Wrap(err, "encode expert map")
}

// DecodeLayers parses the wire form of the maps of all layers and checks it
// against the shape of a layer.
func DecodeLayers(data []byte, shape Shape) ([]Map, error) {
	var layers []Map
	if err := json.Unmarshal(data, &layers); err != nil {
		return nil, errors.Wrap(err, "decode expert map")
	}
	for l, m := range layers {
		if len(m.Placement) != shape.TotalSlots() || len(m.Shares) != len(m.Placement) {
			return nil, errors.Errorf("expert map: layer %d has %d slots and %d shares, want %d", l, len(m.Placement), len(m.Shares), shape.TotalSlots())
		}
		for slot, e := range m.Placement {
			if e < Empty || int(e) >= shape.Experts {
				return nil, errors.Errorf("expert map: layer %d slot %d holds expert %d of %d", l, slot, e, shape.Experts)
			}
		}
	}
	return layers, nil
}

// Moves returns the number of slots of next that need weights which their rank
// does not hold under p.
func (s Shape) Moves(p, next Placement) int {
	moves := 0
	first := 0
	for _, n := range s.Slots {
		moves += countMissing(p[first:first+n], next[first:first+n])
		first += n
	}
	return moves
}

// listMoves returns the moves that lead from p to next.
func (s Shape) listMoves(p, next Placement) []Move {
	var moves []Move
	first := 0
	for _, n := range s.Slots {
		for slot := first; slot < first+n; slot++ {
			e := next[slot]
			if e != Empty && e != p[slot] && !contains(p[first:first+n], e) {
				moves = append(moves, Move{Slot: int32(slot), Expert: e, Previous: p[slot]})
			}
		}
		first += n
	}
	return moves
}

// MovesByRank returns the number of moves from p to next for each rank.
func (s Shape) MovesByRank(p, next Placement) []int {
	moves := make([]int, len(s.Slots))
	first := 0
	for r, n := range s.Slots {
		moves[r] = countMissing(p[first:first+n], next[first:first+n])
		first += n
	}
	return moves
}

// countMissing returns the number of wanted slots whose expert is not held.
func countMissing(held, wanted Placement) int {
	count := 0
	for i, e := range wanted {
		if e == Empty || held[i] == e {
			continue
		}
		if !contains(held, e) {
			count++
		}
	}
	return count
}

func contains(p Placement, expert int32) bool {
	for _, e := range p {
		if e == expert {
			return true
		}
	}
	return false
}

// RankTimes returns the time that each rank needs for the loads under m.
func (s Shape) RankTimes(m Map, loads, speeds []float64) []float64 {
	times := make([]float64, len(s.Slots))
	slot := 0
	for r, n := range s.Slots {
		work := 0.0
		for range n {
			if e := m.Placement[slot]; e != Empty {
				work += m.Shares[slot] * loads[e]
			}
			slot++
		}
		times[r] = work / speeds[r]
	}
	return times
}

// Slowest returns the time of the slowest rank for the loads under m.
func (s Shape) Slowest(m Map, loads, speeds []float64) float64 {
	slowest := 0.0
	for _, t := range s.RankTimes(m, loads, speeds) {
		slowest = max(slowest, t)
	}
	return slowest
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
