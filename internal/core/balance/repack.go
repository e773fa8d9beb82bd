package balance

import "slices"

// repackNear places all experts again but keeps as much as it can of the current
// placement. It pairs, for each rank, an expert that fits as a whole with a
// part of one that does not (Walker's alias construction), and prefers the
// experts that the rank already holds. It reports false if a rank does not have
// exactly two slots, if experts outnumber the ranks or if an expert gets no
// slot.
func repackNear(shape Shape, current Placement, loads, speeds []float64) (Placement, bool) {
	if shape.Experts > shape.Ranks() {
		return nil, false
	}
	for _, n := range shape.Slots {
		if n != 2 {
			return nil, false
		}
	}
	p := newPairing(current, loads, speeds)
	for p.fillRanks(p.keepBoth) > 0 {
	}
	p.fillRanks(p.keepOne)
	p.fillRanks(p.fillAnyPair)
	return p.finish()
}

// pairing is the state of one run of repackNear.
type pairing struct {
	current    Placement
	next       Placement
	speeds     []float64
	unplaced   []float64 // load of each expert that is not yet placed
	placed     []int     // number of slots of each expert
	filled     []bool    // by rank
	limit      float64
	negligible float64
}

func newPairing(current Placement, loads, speeds []float64) *pairing {
	p := &pairing{
		current:  current,
		next:     make(Placement, len(current)),
		speeds:   speeds,
		unplaced: slices.Clone(loads),
		placed:   make([]int, len(loads)),
		filled:   make([]bool, len(speeds)),
		limit:    MeanTime(loads, speeds),
	}
	p.negligible = tolerance * p.limit
	for i := range p.next {
		p.next[i] = Empty
	}
	return p
}

// fillRanks calls fill for each rank that is not filled yet, and returns the
// number of ranks that it filled.
func (p *pairing) fillRanks(fill func(rank int) bool) int {
	count := 0
	for r, done := range p.filled {
		if !done && fill(r) {
			p.filled[r] = true
			count++
		}
	}
	return count
}

// keepBoth fills a rank with the two experts that it holds.
func (p *pairing) keepBoth(rank int) bool {
	a, b := p.current[2*rank], p.current[2*rank+1]
	return p.pair(rank, a, b) || p.pair(rank, b, a)
}

// keepOne fills a rank with one of its experts and, as the other, the largest
// or the smallest.
func (p *pairing) keepOne(rank int) bool {
	for _, e := range p.current[2*rank : 2*rank+2] {
		if p.pair(rank, e, p.largest()) || p.pair(rank, p.smallest(), e) {
			return true
		}
	}
	return false
}

// fillAnyPair fills a rank regardless of the experts that it holds. It always
// returns true.
func (p *pairing) fillAnyPair(rank int) bool {
	if p.pair(rank, p.smallest(), p.largest()) {
		return true
	}
	p.put(2*rank, p.largest(), p.limit*p.speeds[rank])
	return true
}

// pair places the whole unplaced load of small and fills the rest of the rank
// with large. It reports false if that does not fill the rank exactly.
func (p *pairing) pair(rank int, small, large int32) bool {
	room := p.limit * p.speeds[rank]
	if small == Empty || large == Empty || small == large {
		return false
	}
	if p.unplaced[small] <= p.negligible || p.unplaced[small] > room || p.unplaced[large] < room-p.unplaced[small]-p.negligible {
		return false
	}
	room -= p.unplaced[small]
	p.put(2*rank, small, p.unplaced[small])
	p.put(2*rank+1, large, room)
	return true
}

func (p *pairing) put(slot int, expert int32, amount float64) {
	if expert == Empty || amount <= p.negligible {
		return
	}
	p.next[slot] = expert
	p.unplaced[expert] = max(0, p.unplaced[expert]-amount)
	p.placed[expert]++
}

func (p *pairing) largest() int32 {
	best := Empty
	for e, l := range p.unplaced {
		if l > p.negligible && (best == Empty || l > p.unplaced[best]) {
			best = int32(e)
		}
	}
	return best
}

func (p *pairing) smallest() int32 {
	best := Empty
	for e, l := range p.unplaced {
		if l > p.negligible && (best == Empty || l < p.unplaced[best]) {
			best = int32(e)
		}
	}
	return best
}

// finish moves kept experts to the slots that they had, fills free slots with
// the experts that they currently hold, and checks that each expert has a slot.
func (p *pairing) finish() (Placement, bool) {
	for r := range p.filled {
		p.alignPair(p.next[2*r:2*r+2], p.current[2*r:2*r+2])
	}
	for e, n := range p.placed {
		if n == 0 && !contains(p.next, int32(e)) {
			return nil, false
		}
	}
	return p.next, true
}

func (p *pairing) alignPair(next, held Placement) {
	if (next[0] != Empty && next[0] == held[1]) || (next[1] != Empty && next[1] == held[0]) {
		next[0], next[1] = next[1], next[0]
	}
	for i := range next {
		if next[i] == Empty && !contains(next, held[i]) {
			next[i] = held[i]
		}
	}
}

// relabel permutes the contents of next among ranks of similar speed with the
// same number of slots, so that each rank keeps many of its experts and few
// weights move.
func relabel(shape Shape, current, next Placement, speeds []float64) Placement {
	first := make([]int, shape.Ranks()+1)
	for r, n := range shape.Slots {
		first[r+1] = first[r] + n
	}
	taken := make([]bool, shape.Ranks())
	out := make(Placement, len(next))
	for r := range shape.Slots {
		held := current[first[r]:first[r+1]]
		best, bestMoves := -1, 0
		for other := range shape.Slots {
			if taken[other] || shape.Slots[other] != shape.Slots[r] || !similarSpeed(speeds[other], speeds[r]) {
				continue
			}
			if moves := countMissing(held, next[first[other]:first[other+1]]); best < 0 || moves < bestMoves {
				best, bestMoves = other, moves
			}
		}
		if best < 0 {
			return next
		}
		taken[best] = true
		alignTo(out[first[r]:first[r+1]], next[first[best]:first[best+1]], held)
	}
	return out
}

// similarSpeed reports whether two speeds are about equal.
func similarSpeed(a, b float64) bool {
	const maxDifference = 0.05
	return a <= b*(1+maxDifference) && b <= a*(1+maxDifference)
}

// alignTo fills out with the wanted experts. An expert that is held already
// keeps its slot.
func alignTo(out, wanted, held Placement) {
	for i := range out {
		out[i] = Empty
		if contains(wanted, held[i]) {
			out[i] = held[i]
		}
	}
	free := 0
	for _, e := range wanted {
		if e == Empty || contains(out, e) {
			continue
		}
		for out[free] != Empty {
			free++
		}
		out[free] = e
	}
}
