package balance

// tolerance is the load, relative to the mean load of a rank, below which a
// flow counts as zero.
const tolerance = 1e-7

// solver finds the best shares of a placement as a maximum flow from experts
// over their slots to ranks, where the capacity of a rank is time × speed.
type solver struct {
	shape       Shape
	placement   Placement
	rankOf      []int32   // rank by slot
	firstSlot   []int32   // first slot by rank, followed by the number of slots
	expertSlots [][]int32 // slots by expert
	loads       []float64
	speeds      []float64
	flow        []float64 // load by slot
	unserved    []float64 // load not yet assigned to a slot, by expert
	room        []float64 // remaining capacity by rank
	limit       float64   // time allowed to each rank
	epsilon     float64

	expertLevel []int32 // level in the level graph; 0: not reached
	rankLevel   []int32 // likewise
	expertNext  []int32 // index in expertSlots of the next slot to push load to
	rankNext    []int32 // next slot to push load away from
	queue       []int32
	ranksByRoom []int32                       // ranks with room, by decreasing room
	coolingDown func(rank, expert int32) bool // reports whether the expert may not return to the rank yet
	trialsLeft  int                           // exchanges that may still be tried
}

func newSolver(shape Shape, placement Placement, loads, speeds []float64) *solver {
	ranks, slots := shape.Ranks(), len(placement)
	s := &solver{
		shape:       shape,
		placement:   placement.Clone(),
		rankOf:      make([]int32, slots),
		firstSlot:   make([]int32, ranks+1),
		expertSlots: make([][]int32, shape.Experts),
		loads:       loads,
		speeds:      speeds,
		flow:        make([]float64, slots),
		unserved:    append([]float64(nil), loads...),
		room:        make([]float64, ranks),
		epsilon:     tolerance * MeanTime(loads, speeds),
		expertLevel: make([]int32, shape.Experts),
		rankLevel:   make([]int32, ranks),
		expertNext:  make([]int32, shape.Experts),
		rankNext:    make([]int32, ranks),
		queue:       make([]int32, 0, shape.Experts),
	}
	slot := int32(0)
	for r, n := range shape.Slots {
		s.firstSlot[r] = slot
		for range n {
			s.rankOf[slot] = int32(r)
			slot++
		}
	}
	s.firstSlot[ranks] = slot
	for i, e := range s.placement {
		if e != Empty {
			s.expertSlots[e] = append(s.expertSlots[e], int32(i))
		}
	}
	return s
}

// raiseLimit raises the time allowed to each rank and serves the load that then
// fits. The limit must not be lower than the current one.
func (s *solver) raiseLimit(limit float64) {
	for r, speed := range s.speeds {
		s.room[r] += (limit - s.limit) * speed
	}
	s.limit = limit
	s.augment()
}

// augment serves as much unserved load as possible.
func (s *solver) augment() {
	for s.search() {
		copy(s.rankNext, s.firstSlot[:len(s.rankNext)])
		clear(s.expertNext)
		for e, left := range s.unserved {
			if left > s.epsilon {
				s.unserved[e] -= s.pushExpert(int32(e), left)
			}
		}
	}
}

// search builds the level graph: it assigns levels to all experts and ranks
// that unserved load can reach, and reports whether one of those ranks has
// room.
func (s *solver) search() bool {
	clear(s.expertLevel)
	clear(s.rankLevel)
	s.queue = s.queue[:0]
	for e, left := range s.unserved {
		if left > s.epsilon {
			s.expertLevel[e] = 1
			s.queue = append(s.queue, int32(e))
		}
	}
	room := false
	for head := 0; head < len(s.queue); head++ {
		e := s.queue[head]
		level := s.expertLevel[e] + 1
		for _, slot := range s.expertSlots[e] {
			r := s.rankOf[slot]
			if s.rankLevel[r] != 0 {
				continue
			}
			s.rankLevel[r] = level
			room = room || s.room[r] > s.epsilon
			s.reachExperts(r, level+1)
		}
	}
	return room
}

// reachExperts assigns the level to the experts whose load could move away from
// the rank.
func (s *solver) reachExperts(rank, level int32) {
	for slot := s.firstSlot[rank]; slot < s.firstSlot[rank+1]; slot++ {
		x := s.placement[slot]
		if x == Empty || s.flow[slot] <= s.epsilon || s.expertLevel[x] != 0 {
			continue
		}
		s.expertLevel[x] = level
		s.queue = append(s.queue, x)
	}
}

// pushExpert pushes up to amount of an expert's load along the level graph and
// returns the load placed.
func (s *solver) pushExpert(e int32, amount float64) float64 {
	placed := 0.0
	slots := s.expertSlots[e]
	for int(s.expertNext[e]) < len(slots) {
		slot := slots[s.expertNext[e]]
		r := s.rankOf[slot]
		if s.rankLevel[r] == s.expertLevel[e]+1 {
			pushed := s.pushRank(r, amount-placed)
			s.flow[slot] += pushed
			placed += pushed
			if amount-placed <= s.epsilon {
				return placed
			}
		}
		s.expertNext[e]++
	}
	return placed
}

// pushRank places up to amount on a rank, in its room or in place of load that
// other experts can move elsewhere, and returns the load placed.
func (s *solver) pushRank(r int32, amount float64) float64 {
	placed := min(amount, max(0, s.room[r]))
	s.room[r] -= placed
	for amount-placed > s.epsilon && s.rankNext[r] < s.firstSlot[r+1] {
		slot := s.rankNext[r]
		x := s.placement[slot]
		if x != Empty && s.flow[slot] > s.epsilon && s.expertLevel[x] == s.rankLevel[r]+1 {
			pushed := s.pushExpert(x, min(amount-placed, s.flow[slot]))
			s.flow[slot] -= pushed
			placed += pushed
			if amount-placed <= s.epsilon {
				return placed
			}
		}
		s.rankNext[r]++
	}
	return placed
}

// totalUnserved returns the load that is not served.
func (s *solver) totalUnserved() float64 {
	total := 0.0
	for _, l := range s.unserved {
		if l > s.epsilon {
			total += l
		}
	}
	return total
}

// solve finds the smallest time, at least the given one, at which all load is
// served. While some load cannot be served, the experts and ranks that it
// reaches form the tightest group, and the mean time of that group is the next
// limit to try.
func (s *solver) solve(limit float64) float64 {
	const rounds = 64
	s.raiseLimit(max(limit, s.limit))
	for range rounds {
		if s.totalUnserved() <= s.epsilon {
			break
		}
		next := s.groupMean()
		if next <= s.limit {
			break
		}
		s.raiseLimit(next)
	}
	return s.limit
}

// groupMean returns the mean time of the group that the last search reached.
func (s *solver) groupMean() float64 {
	work, speed := 0.0, 0.0
	for e, level := range s.expertLevel {
		if level != 0 {
			work += s.loads[e]
		}
	}
	for r, level := range s.rankLevel {
		if level != 0 {
			speed += s.speeds[r]
		}
	}
	return work / speed
}

// result returns the map whose shares follow the flow.
func (s *solver) result() Map {
	m := Map{Placement: s.placement.Clone(), Shares: make([]float64, len(s.placement))}
	for e, slots := range s.expertSlots {
		total := 0.0
		for _, slot := range slots {
			total += s.flow[slot]
		}
		for _, slot := range slots {
			if total > s.epsilon && s.loads[e] > 0 {
				m.Shares[slot] = s.flow[slot] / total
			} else {
				m.Shares[slot] = 1 / float64(len(slots))
			}
		}
	}
	return m
}

// Shares returns the map with the best shares for a placement, and the time of
// its slowest rank.
func Shares(shape Shape, placement Placement, loads, speeds []float64) (Map, float64) {
	s := newSolver(shape, placement, loads, speeds)
	slowest := s.solve(MeanTime(loads, speeds))
	return s.result(), slowest
}
