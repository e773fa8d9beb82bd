package balance

import "slices"

// Limits of the search for exchanges.
const (
	exchangeRanks        = 8  // ranks with room considered
	exchangeSlotsPerRank = 5  // slots considered of each such rank
	exchangeTrials       = 6  // most exchanges tried for one expert
	exchangeExperts      = 6  // experts with unserved load considered
	trialsPerPlan        = 24 // exchanges tried in one plan
)

// A move must serve at least minGainFraction of an expert's unserved load, of which
// at most minGainCapFraction of a rank's load limit counts.
const (
	minGainFraction    = 0.2
	minGainCapFraction = 0.25
)

// exchange moves the expert of the outer slot to the inner slot. The inner slot
// is on a rank of the tight group: the experts and ranks that unserved load
// reaches, which have no room left. The outer slot is on a rank with room
// outside that group. In place of its expert, the outer slot gets the expert
// that held the inner slot or, where that replica is not needed, the expert with
// unserved load, which the inner slot's rank also holds.
type exchange struct {
	inner, outer int32
	expert       int32   // expert that the outer slot gets
	score        float64 // load that the exchange is expected to serve
}

// exchangeFor looks for an exchange that serves more of one expert's load,
// applies it and returns its two moves. The last call of search must have found
// no room; this holds again on return.
func (s *solver) exchangeFor(expert int32) []Move {
	before := s.totalUnserved()
	threshold := s.minGain(expert)
	found := s.exchanges(expert)
	if len(found) == 0 {
		return nil
	}
	saved := s.save()
	for _, x := range found {
		if s.trialsLeft == 0 {
			break
		}
		s.trialsLeft--
		moves := s.applyExchange(x)
		s.augment()
		if s.totalUnserved() < before-threshold {
			return moves
		}
		s.restore(saved)
	}
	s.search()
	return nil
}

// minGain returns the load that a move for an expert must at least serve.
func (s *solver) minGain(expert int32) float64 {
	return s.epsilon + minGainFraction*min(s.unserved[expert], s.limit*minGainCapFraction)
}

// exchanges returns the most promising exchanges for an expert, best first.
func (s *solver) exchanges(expert int32) []exchange {
	outers := s.outerSlots(expert)
	found := make([]exchange, 0, exchangeTrials+1)
	for _, ownSlot := range s.expertSlots[expert] {
		rank := s.rankOf[ownSlot]
		for inner := s.firstSlot[rank]; inner < s.firstSlot[rank+1]; inner++ {
			for _, outer := range outers {
				found = s.exchangesBetween(found, inner, outer, expert)
			}
		}
	}
	return found
}

// outerSlots returns the least used slots of the ranks with the most room that lie
// outside the tight group and do not hold the expert.
func (s *solver) outerSlots(expert int32) []int32 {
	slots := make([]int32, 0, exchangeRanks*exchangeSlotsPerRank)
	for _, r := range s.ranksByRoom {
		if s.rankLevel[r] != 0 || s.room[r] <= s.epsilon || s.holds(r, expert) {
			continue
		}
		slots = s.leastUsed(slots, r)
		if len(slots) >= exchangeRanks*exchangeSlotsPerRank {
			break
		}
	}
	return slots
}

// leastUsed appends the slots of a rank that carry the least load.
func (s *solver) leastUsed(slots []int32, r int32) []int32 {
	start := len(slots)
	for slot := s.firstSlot[r]; slot < s.firstSlot[r+1]; slot++ {
		if s.placement[slot] == Empty {
			continue
		}
		at := len(slots)
		for at > start && s.flow[slots[at-1]] > s.flow[slot] {
			at--
		}
		if at-start < exchangeSlotsPerRank {
			slots = slices.Insert(slots, at, slot)
			slots = slots[:min(len(slots), start+exchangeSlotsPerRank)]
		}
	}
	return slots
}

// exchangesBetween inserts the exchanges of two slots that are allowed and
// promising into found.
func (s *solver) exchangesBetween(found []exchange, inner, outer, unservedExpert int32) []exchange {
	outerRank, innerRank := s.rankOf[outer], s.rankOf[inner]
	outerExpert, innerExpert := s.placement[outer], s.placement[inner]
	if innerExpert == Empty || innerExpert == outerExpert || s.holds(innerRank, outerExpert) || s.coolingDown(innerRank, outerExpert) {
		return found
	}
	if gain := s.swapGain(inner, outer, unservedExpert); gain > s.epsilon && !s.holds(outerRank, innerExpert) && !s.coolingDown(outerRank, innerExpert) {
		found = keepBest(found, exchange{inner, outer, innerExpert, gain})
	}
	if innerExpert == unservedExpert || len(s.expertSlots[innerExpert]) < 2 || s.coolingDown(outerRank, unservedExpert) {
		return found
	}
	gain := min(s.room[outerRank], s.unserved[unservedExpert]) - s.flow[inner]
	if gain > s.epsilon {
		found = keepBest(found, exchange{inner, outer, unservedExpert, gain})
	}
	return found
}

// swapGain returns how much more load of the unserved expert, which the inner
// slot's rank holds, is certain to be served if the two slots are swapped.
func (s *solver) swapGain(inner, outer, unservedExpert int32) float64 {
	space := s.room[s.rankOf[outer]] + s.flow[outer]
	if s.placement[inner] == unservedExpert {
		return min(s.flow[inner]+s.unserved[unservedExpert], space) - s.flow[inner]
	}
	freed := s.flow[inner] - s.flow[outer]
	return min(s.unserved[unservedExpert], freed) - max(0, s.flow[inner]-space)
}

// keepBest inserts x into a list of the best exchanges, best first.
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
	return contains(s.placement[s.firstSlot[rank]:s.firstSlot[rank+1]], expert)
}

// sortRanksByRoom sets ranksByRoom to the ranks with room, most room first.
func (s *solver) sortRanksByRoom() {
	s.ranksByRoom = s.ranksByRoom[:0]
	for r, room := range s.room {
		if room > s.epsilon {
			s.ranksByRoom = append(s.ranksByRoom, int32(r))
		}
	}
	slices.SortFunc(s.ranksByRoom, func(a, b int32) int {
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

// savedState is a copy of the solver's state that a trial exchange may modify.
type savedState struct {
	placement   Placement
	flow        []float64
	unserved    []float64
	room        []float64
	expertSlots [][]int32
}

func (s *solver) save() savedState {
	saved := savedState{
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

func (s *solver) restore(saved savedState) {
	copy(s.placement, saved.placement)
	copy(s.flow, saved.flow)
	copy(s.unserved, saved.unserved)
	copy(s.room, saved.room)
	for e, slots := range saved.expertSlots {
		s.expertSlots[e] = append(s.expertSlots[e][:0], slots...)
	}
}
