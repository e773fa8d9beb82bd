package balance

import "slices"

// Limits of the search for exchanges.
const (
	exchangeRanks   = 8  // ranks with room that are looked at
	exchangeOuter   = 5  // slots of each such rank
	exchangeTrials  = 6  // exchanges tried out for one expert
	exchangeExperts = 6  // experts with unserved load that are looked at
	trialsPerPlan   = 24 // exchanges tried out in one plan
)

// A move must serve this part of an expert's unserved load, of which at most
// this part of a rank's load counts.
const (
	leastShare = 0.2
	leastCap   = 0.25
)

// exchange moves the expert of the outer slot, on a rank with room, to the
// inner slot, on a rank of the tight group, and puts another expert in its
// stead: the one that held the inner slot, or a neighbour of it where the
// inner slot's replica is not needed.
type exchange struct {
	inner, outer int32
	expert       int32
	score        float64
}

// exchangeFor looks for an exchange that serves more of one expert's load,
// applies it and returns its two moves. It needs the levels of a failed
// search, and leaves them valid.
func (s *solver) exchangeFor(needy int32) []Move {
	before := s.left()
	least := s.leastGain(needy)
	found := s.exchanges(needy)
	if len(found) == 0 {
		return nil
	}
	saved := s.save()
	for _, x := range found {
		if s.trials == 0 {
			break
		}
		s.trials--
		moves := s.applyExchange(x)
		s.augment()
		if s.left() < before-least {
			return moves
		}
		s.restore(saved)
	}
	s.search()
	return nil
}

// leastGain returns the load that a move for an expert must serve.
func (s *solver) leastGain(expert int32) float64 {
	return s.epsilon + leastShare*min(s.unserved[expert], s.limit*leastCap)
}

// exchanges returns the most promising exchanges for an expert, best first.
func (s *solver) exchanges(needy int32) []exchange {
	outers := s.outerSlots(needy)
	found := make([]exchange, 0, exchangeTrials+1)
	for _, near := range s.expertSlots[needy] {
		q := s.rankOf[near]
		for inner := s.first[q]; inner < s.first[q+1]; inner++ {
			for _, outer := range outers {
				found = s.exchangesBetween(found, inner, outer, needy)
			}
		}
	}
	return found
}

// outerSlots returns the least used slots of the ranks with most room.
func (s *solver) outerSlots(needy int32) []int32 {
	slots := make([]int32, 0, exchangeRanks*exchangeOuter)
	for _, r := range s.roomiest {
		if s.rankLevel[r] != 0 || s.room[r] <= s.epsilon || s.holds(r, needy) {
			continue
		}
		slots = s.leastUsed(slots, r)
		if len(slots) >= exchangeRanks*exchangeOuter {
			break
		}
	}
	return slots
}

// leastUsed adds the slots of a rank that carry least.
func (s *solver) leastUsed(slots []int32, r int32) []int32 {
	start := len(slots)
	for slot := s.first[r]; slot < s.first[r+1]; slot++ {
		if s.placement[slot] == Empty {
			continue
		}
		at := len(slots)
		for at > start && s.flow[slots[at-1]] > s.flow[slot] {
			at--
		}
		if at-start < exchangeOuter {
			slots = slices.Insert(slots, at, slot)
			slots = slots[:min(len(slots), start+exchangeOuter)]
		}
	}
	return slots
}

func (s *solver) exchangesBetween(found []exchange, inner, outer, needy int32) []exchange {
	r, q := s.rankOf[outer], s.rankOf[inner]
	x, y := s.placement[outer], s.placement[inner]
	if y == Empty || y == x || s.holds(q, x) || s.resting(q, x) {
		return found
	}
	if gain := s.swapGain(inner, outer, needy); gain > s.epsilon && !s.holds(r, y) && !s.resting(r, y) {
		found = keepBest(found, exchange{inner, outer, y, gain})
	}
	if y == needy || len(s.expertSlots[y]) < 2 || s.resting(r, needy) {
		return found
	}
	gain := min(s.room[r], s.unserved[needy]) - s.flow[inner]
	if gain > s.epsilon {
		found = keepBest(found, exchange{inner, outer, needy, gain})
	}
	return found
}

// swapGain returns the load of the needy expert, which the inner slot's rank
// holds, that swapping two slots is sure to serve.
func (s *solver) swapGain(inner, outer, needy int32) float64 {
	space := s.room[s.rankOf[outer]] + s.flow[outer]
	if s.placement[inner] == needy {
		return min(s.flow[inner]+s.unserved[needy], space) - s.flow[inner]
	}
	freed := s.flow[inner] - s.flow[outer]
	return min(s.unserved[needy], freed) - max(0, s.flow[inner]-space)
}

// keepBest inserts x into the list of the best, best first.
func keepBest(best []exchange, x exchange) []exchange {
	at := len(best)
	for at > 0 && best[at-1].score < x.score {
		at--
	}
	if at == exchangeTrials {
		return best
	}
	best = slices.Insert(best, at, x)
	return best[:min(len(best), exchangeTrials)]
}

func (s *solver) holds(rank, expert int32) bool {
	return contains(s.placement[s.first[rank]:s.first[rank+1]], expert)
}

// sortRoomiest orders the ranks by room, most first.
func (s *solver) sortRoomiest() {
	s.roomiest = s.roomiest[:0]
	for r, room := range s.room {
		if room > s.epsilon {
			s.roomiest = append(s.roomiest, int32(r))
		}
	}
	slices.SortFunc(s.roomiest, func(a, b int32) int {
		if s.room[a] != s.room[b] {
			if s.room[a] > s.room[b] {
				return -1
			}
			return 1
		}
		return int(a - b)
	})
}

func (s *solver) applyExchange(x exchange) []Move {
	first := Move{Slot: x.inner, Expert: s.placement[x.outer], Previous: s.placement[x.inner]}
	second := Move{Slot: x.outer, Expert: x.expert, Previous: first.Expert}
	s.apply(second)
	s.apply(first)
	return []Move{first, second}
}

// state is what a trial may change.
type state struct {
	placement   Placement
	flow        []float64
	unserved    []float64
	room        []float64
	expertSlots [][]int32
}

func (s *solver) save() state {
	saved := state{
		placement:   s.placement.Clone(),
		flow:        slices.Clone(s.flow),
		unserved:    slices.Clone(s.unserved),
		room:        slices.Clone(s.room),
		expertSlots: make([][]int32, len(s.expertSlots)),
	}
	backing := make([]int32, 0, len(s.placement))
	for e, slots := range s.expertSlots {
		start := len(backing)
		backing = append(backing, slots...)
		saved.expertSlots[e] = backing[start:len(backing):len(backing)]
	}
	return saved
}

func (s *solver) restore(saved state) {
	copy(s.placement, saved.placement)
	copy(s.flow, saved.flow)
	copy(s.unserved, saved.unserved)
	copy(s.room, saved.room)
	for e, slots := range saved.expertSlots {
		s.expertSlots[e] = append(s.expertSlots[e][:0], slots...)
	}
}
