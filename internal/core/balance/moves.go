package balance

import "slices"

// Move puts an expert into a slot.
type Move struct {
	Slot     int32
	Expert   int32
	Previous int32 // expert that held the slot, or Empty
}

// improve replaces the experts of slots until all load fits the solver's limit,
// no replacement helps or the budget is used up, and returns the moves. slotUse
// is the load that each slot has carried in the past: recently used slots are
// replaced last.
func (s *solver) improve(budget int, slotUse []float64, slotUseWeight float64) []Move {
	var moves []Move
	s.trialsLeft = trialsPerPlan
	for len(moves) < budget && s.totalUnserved() > s.epsilon {
		next := s.nextMoves(slotUse, slotUseWeight)
		if len(next) == 0 {
			break
		}
		moves = append(moves, next...)
	}
	return moves
}

// nextMoves applies the moves that serve more load of one expert, and returns
// them: a single replacement if any expert with unserved load has one,
// otherwise an exchange. Experts with more unserved load come first.
func (s *solver) nextMoves(slotUse []float64, slotUseWeight float64) []Move {
	experts := s.mostUnserved()
	for _, e := range experts {
		if move, ok := s.bestMove(e, slotUse, slotUseWeight); ok {
			s.apply(move)
			s.augment()
			return []Move{move}
		}
	}
	s.sortRanksByRoom()
	for _, e := range experts {
		if moves := s.exchangeFor(e); len(moves) > 0 {
			return moves
		}
	}
	return nil
}

// bestMove finds the replacement that serves most of an expert's load, less the
// weighted past use of the slot.
func (s *solver) bestMove(e int32, slotUse []float64, slotUseWeight float64) (Move, bool) {
	wanted := s.unserved[e]
	threshold := s.minGain(e)
	best := Move{Expert: e}
	bestScore := 0.0
	found := false
	for r := range s.speeds {
		if s.rankLevel[r] != 0 || s.room[r] <= threshold || s.holds(int32(r), e) || s.coolingDown(int32(r), e) {
			continue
		}
		for slot := s.firstSlot[r]; slot < s.firstSlot[r+1]; slot++ {
			netGain, ok := s.netGain(slot, wanted)
			if !ok || netGain <= threshold {
				continue
			}
			if score := netGain - slotUseWeight*min(slotUse[slot], wanted); !found || score > bestScore {
				best.Slot, best.Previous, bestScore, found = slot, s.placement[slot], score, true
			}
		}
	}
	return best, found
}

// mostUnserved returns the experts with the most unserved load, most first.
func (s *solver) mostUnserved() []int32 {
	experts := make([]int32, 0, exchangeExperts+1)
	for e, l := range s.unserved {
		if l <= s.epsilon {
			continue
		}
		at := len(experts)
		for at > 0 && s.unserved[experts[at-1]] < l {
			at--
		}
		if at < exchangeExperts {
			experts = slices.Insert(experts, at, int32(e))
			experts = experts[:min(len(experts), exchangeExperts)]
		}
	}
	return experts
}

// netGain returns how much of the wanted load a slot could carry, less the load
// that the slot's current expert could not place elsewhere. It reports false if
// the slot holds the only replica of its expert.
func (s *solver) netGain(slot int32, wanted float64) (float64, bool) {
	room := s.room[s.rankOf[slot]]
	x := s.placement[slot]
	if x == Empty {
		return min(wanted, room), true
	}
	if len(s.expertSlots[x]) < 2 {
		return 0, false
	}
	carried := s.flow[slot]
	if carried <= s.epsilon {
		return min(wanted, room), true
	}
	elsewhere := 0.0
	for _, other := range s.expertSlots[x] {
		if other != slot {
			elsewhere += max(0, s.room[s.rankOf[other]])
		}
	}
	return min(wanted, room+carried) - max(0, carried-elsewhere), true
}

// apply replaces the expert of a slot; the load that the slot carried becomes
// unserved.
func (s *solver) apply(m Move) {
	r := s.rankOf[m.Slot]
	if m.Previous != Empty {
		s.unserved[m.Previous] += s.flow[m.Slot]
		s.room[r] += s.flow[m.Slot]
		s.flow[m.Slot] = 0
		s.expertSlots[m.Previous] = removeSlot(s.expertSlots[m.Previous], m.Slot)
	}
	s.placement[m.Slot] = m.Expert
	s.expertSlots[m.Expert] = append(s.expertSlots[m.Expert], m.Slot)
}

func removeSlot(slots []int32, slot int32) []int32 {
	for i, s := range slots {
		if s == slot {
			return append(slots[:i], slots[i+1:]...)
		}
	}
	return slots
}
