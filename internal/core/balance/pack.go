package balance

import (
	"cmp"
	"slices"
)

// Pack places all experts from scratch, regardless of the current placement,
// and returns the better of two packings with its best shares.
func Pack(shape Shape, loads, speeds []float64) Map {
	replicas := replicaCounts(shape, loads, speeds)
	best, bestTime := Shares(shape, packLargestFirst(shape, loads, speeds, replicas), loads, speeds)
	if other, ok := packAlias(shape, loads, speeds); ok {
		if m, t := Shares(shape, other, loads, speeds); t < bestTime {
			best = m
		}
	}
	return best
}

// replicaCounts distributes the slots: each expert gets as many as the lower
// bound needs, and each further slot goes to the expert with the largest load
// per replica.
func replicaCounts(shape Shape, loads, speeds []float64) []int {
	limit := LowerBound(loads, speeds, shape.TotalSlots())
	counts := make([]int, shape.Experts)
	spare := shape.TotalSlots()
	for e, l := range loads {
		counts[e] = min(slotsNeeded([]float64{l}, limit), shape.Ranks())
		spare -= counts[e]
	}
	for ; spare < 0; spare++ {
		shrinkLargest(counts)
	}
	for ; spare > 0; spare-- {
		hottest := -1
		for e, l := range loads {
			if counts[e] == shape.Ranks() {
				continue
			}
			if hottest < 0 || l/float64(counts[e]) > loads[hottest]/float64(counts[hottest]) {
				hottest = e
			}
		}
		if hottest < 0 {
			break
		}
		counts[hottest]++
	}
	return counts
}

// shrinkLargest reduces the largest count by one.
func shrinkLargest(counts []int) {
	largest := 0
	for e, n := range counts {
		if n > counts[largest] {
			largest = e
		}
	}
	counts[largest]--
}

// piece is the load of one replica of an expert.
type piece struct {
	expert int32
	load   float64
}

// packLargestFirst places the replicas, largest first, each on the rank with a
// free slot that is least loaded afterwards.
func packLargestFirst(shape Shape, loads, speeds []float64, replicas []int) Placement {
	var pieces []piece
	for e, n := range replicas {
		for range n {
			pieces = append(pieces, piece{int32(e), loads[e] / float64(n)})
		}
	}
	slices.SortStableFunc(pieces, func(a, b piece) int { return cmp.Compare(b.load, a.load) })
	f := newFiller(shape)
	for i, p := range pieces {
		first := i == 0 || !f.placed[p.expert]
		if !f.place(p, speeds) && first {
			f.placeAnywhere(p)
		}
	}
	f.fillMissing()
	return f.placement
}

// filler builds a placement slot by slot.
type filler struct {
	shape     Shape
	placement Placement
	first     []int     // first slot, by rank
	used      []int     // number of filled slots, by rank
	work      []float64 // load placed, by rank
	placed    []bool    // by expert
}

func newFiller(shape Shape) *filler {
	f := &filler{
		shape:     shape,
		placement: make(Placement, shape.TotalSlots()),
		first:     make([]int, shape.Ranks()),
		used:      make([]int, shape.Ranks()),
		work:      make([]float64, shape.Ranks()),
		placed:    make([]bool, shape.Experts),
	}
	next := 0
	for r, n := range shape.Slots {
		f.first[r] = next
		next += n
	}
	for i := range f.placement {
		f.placement[i] = Empty
	}
	return f
}

// place puts a piece on the rank that is fastest with it, among the ranks that
// have a free slot and do not hold the expert. It reports false if there is
// none.
func (f *filler) place(p piece, speeds []float64) bool {
	best := -1
	bestTime := 0.0
	for r, n := range f.shape.Slots {
		if f.used[r] == n {
			continue
		}
		t := (f.work[r] + p.load) / speeds[r]
		if best >= 0 && t >= bestTime {
			continue
		}
		if contains(f.placement[f.first[r]:f.first[r]+f.used[r]], p.expert) {
			continue
		}
		best, bestTime = r, t
	}
	if best < 0 {
		return false
	}
	f.put(best, p)
	return true
}

func (f *filler) put(rank int, p piece) {
	f.placement[f.first[rank]+f.used[rank]] = p.expert
	f.used[rank]++
	f.work[rank] += p.load
	f.placed[p.expert] = true
}

// placeAnywhere puts an expert into any free slot.
func (f *filler) placeAnywhere(p piece) {
	for r, n := range f.shape.Slots {
		if f.used[r] < n {
			f.put(r, p)
			return
		}
	}
}

// fillMissing gives each expert without a slot an empty slot or one of an
// expert that has several.
func (f *filler) fillMissing() {
	counts := make([]int, f.shape.Experts)
	for _, e := range f.placement {
		if e != Empty {
			counts[e]++
		}
	}
	for e, n := range counts {
		for i := 0; n == 0 && i < len(f.placement); i++ {
			old := f.placement[i]
			if old != Empty && counts[old] < 2 {
				continue
			}
			if old != Empty {
				counts[old]--
			}
			f.placement[i] = int32(e)
			counts[e], n = 1, 1
		}
	}
}

// packAlias fills one rank after the other up to the lower bound: with small
// experts first, then with a part of the largest one. With two slots per rank
// and as many experts as ranks this is Walker's alias construction and leaves
// no imbalance. It reports false if the slots do not suffice.
func packAlias(shape Shape, loads, speeds []float64) (Placement, bool) {
	limit := LowerBound(loads, speeds, shape.TotalSlots())
	rest := make([]piece, shape.Experts)
	for e, l := range loads {
		rest[e] = piece{int32(e), l}
	}
	sortPieces(rest)
	f := newFiller(shape)
	order := ranksBySpeed(speeds)
	for i, r := range order {
		room := limit * speeds[r]
		last := i == len(order)-1
		for f.used[r] < shape.Slots[r] && len(rest) > 0 {
			finalSlot := f.used[r] == shape.Slots[r]-1
			var p piece
			if rest[0].load <= room && (!finalSlot || last) {
				p, rest = rest[0], rest[1:]
			} else {
				p, rest = takePart(rest, room)
			}
			if contains(f.placement[f.first[r]:f.first[r]+f.used[r]], p.expert) {
				break
			}
			room -= p.load
			f.put(r, p)
		}
	}
	if len(rest) > 0 && rest[len(rest)-1].load > tolerance*limit {
		return nil, false
	}
	for _, done := range f.placed {
		if !done {
			return nil, false
		}
	}
	return f.placement, true
}

func sortPieces(pieces []piece) {
	slices.SortStableFunc(pieces, func(a, b piece) int { return cmp.Compare(a.load, b.load) })
}

// takePart cuts a piece of at most room from the largest piece. It returns the
// piece and the other pieces, still in order.
func takePart(rest []piece, room float64) (piece, []piece) {
	largest := rest[len(rest)-1]
	rest = rest[:len(rest)-1]
	if largest.load <= room {
		return largest, rest
	}
	remainder := piece{largest.expert, largest.load - room}
	at, _ := slices.BinarySearchFunc(rest, remainder, func(a, b piece) int { return cmp.Compare(a.load, b.load) })
	return piece{largest.expert, room}, slices.Insert(rest, at, remainder)
}

// ranksBySpeed returns the ranks, slowest first.
func ranksBySpeed(speeds []float64) []int {
	order := make([]int, len(speeds))
	for r := range order {
		order[r] = r
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(speeds[a], speeds[b]) })
	return order
}
