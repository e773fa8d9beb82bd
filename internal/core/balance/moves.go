package balance

import "slices"

// Move puts an expert into a slot.
type Move struct {
	Slot     int32
	Expert   int32
	Previous int32 // expert that held the slot, or Empty
}

// improve replaces slots, one at a time, until all load fits the solver's
// limit or no replacement helps, and returns the moves. kept gives the load
// that a slot has carried in the past: a slot that was of use lately is given
// up last.
func (s *solver) improve(budget int, kept []float64, keptWeight float64) []Move {
	var moves []Move
	s.trials = trialsPerPlan
	for len(moves) < budget && s.left() > s.epsilon {
		next := s.nextMoves(kept, keptWeight)
		if len(next) == 0 {
			break
		}
		moves = append(moves, next...)
	}
	return moves
}

// nextMoves helps the neediest expert that can be helped.
func (s *solver) nextMoves(kept []float64, keptWeight float64) []Move {
	needy := s.neediest()
	for _, e := range needy {
		if move, ok := s.bestMove(e, kept, keptWeight); ok {
			s.apply(move)
			s.augment()
			return []Move{move}
		}
	}
	s.sortRoomiest()
	for _, e := range needy {
		if moves := s.exchangeFor(e); len(moves) > 0 {
			return moves
		}
	}
	return nil
}

// bestMove finds the replacement that serves most of an expert's load.
func (s *solver) bestMove(e int32, kept []float64, keptWeight float64) (Move, bool) {
	wanted := s.unserved[e]
	least := s.leastGain(e)
	best := Move{Expert: e}
	bestScore := 0.0
	found := false
	for r := range s.speeds {
		if s.rankLevel[r] != 0 || s.room[r] <= least || s.holds(int32(r), e) || s.resting(int32(r), e) {
			continue
		}
		for slot := s.first[r]; slot < s.first[r+1]; slot++ {
			gain, ok := s.gain(slot, wanted)
			if !ok || gain <= least {
				continue
			}
			if score := gain - keptWeight*min(kept[slot], wanted); !found || score > bestScore {
				best.Slot, best.Previous, bestScore, found = slot, s.placement[slot], score, true
			}
		}
	}
	return best, found
}

// neediest returns the experts with most unserved load, most first.
func (s *solver) neediest() []int32 {
	needy := make([]int32, 0, exchangeExperts+1)
	for e, l := range s.unserved {
		if l <= s.epsilon {
			continue
		}
		at := len(needy)
		for at > 0 && s.unserved[needy[at-1]] < l {
			at--
		}
		if at < exchangeExperts {
			needy = slices.Insert(needy, at, int32(e))
			needy = needy[:min(len(needy), exchangeExperts)]
		}
	}
	return needy
}

// gain returns the unserved load that an expert could place in a slot, less
// what the slot's present expert could not place elsewhere.
func (s *solver) gain(slot int32, wanted float64) (float64, bool) {
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

// apply replaces the expert of a slot and takes the slot's load off.
func (s *solver) apply(m Move) {
	r := s.rankOf[m.Slot]
	if m.Previous != Empty {
		s.unserved[m.Previous] += s.flow[m.Slot]
		s.room[r] += s.flow[m.Slot]
		s.flow[m.Slot] = 0
		s.expertSlots[m.Previous] = without(s.expertSlots[m.Previous], m.Slot)
	}
	s.placement[m.Slot] = m.Expert
	s.expertSlots[m.Expert] = append(s.expertSlots[m.Expert], m.Slot)
}

func without(slots []int32, slot int32) []int32 {
	for i, s := range slots {
		if s == slot {
			return append(slots[:i], slots[i+1:]...)
		}
	}
	return slots
}
