package expertplan

import (
	"math"
	"slices"
)

// placement is the placement of one set of experts while it is being balanced.
type placement struct {
	shape         Shape
	ranks         [][]int32 // experts at each rank
	holders       [][]int   // ranks that hold the expert, by expert
	resident      [][]int32 // experts at each rank before the change
	loads         []float64 // by expert
	speeds        []float64 // by rank
	mean          float64   // time of every rank if the set were balanced perfectly
	times         []float64 // load divided by speed, by rank
	powers        []float64 // of times relative to mean, with exponent 8, by rank
	powerSum      float64
	expertsToLoad []int  // experts of all sets that each rank must load for this change
	moveBuffer    []move // reused by moves
}

// move adds an expert to one rank, and may remove it from another rank and evict an
// expert in its place.
type move struct {
	expert int32
	from   int   // rank that drops the expert; -1: none, the expert gets one more copy
	to     int   // rank that gets the expert
	evict  int32 // expert that `to` drops; -1: none
	swap   bool  // `from` gets the evicted expert
	cost   float64
}

func newPlacement(ranks [][]int32, loads, speeds []float64) *placement {
	p := &placement{
		ranks: ranks, loads: loads, speeds: speeds, holders: make([][]int, len(loads)),
		times: make([]float64, len(ranks)), powers: make([]float64, len(ranks)),
	}
	for r, experts := range ranks {
		for _, e := range experts {
			p.holders[e] = append(p.holders[e], r)
		}
	}
	load, speed := 0.0, 0.0
	for r := range ranks {
		p.times[r] = p.rankTime(r)
		load += p.times[r] * speeds[r]
		speed += speeds[r]
	}
	p.mean = math.Max(load/speed, math.SmallestNonzeroFloat64)
	for r := range ranks {
		p.powers[r] = p.power(r)
	}
	p.sumPowers()
	return p
}

// rankTime computes a rank's load divided by its speed.
func (p *placement) rankTime(rank int) float64 {
	load := 0.0
	for _, e := range p.ranks[rank] {
		load += p.loads[e] / float64(len(p.holders[e]))
	}
	return load / p.speeds[rank]
}

func (p *placement) maxTime() float64 { return slices.Max(p.times) }

func (p *placement) power(rank int) float64 {
	power := p.times[rank] / p.mean
	power *= power
	power *= power
	return power * power
}

// sumPowers computes powerSum anew, without the rounding errors of updateTimes.
func (p *placement) sumPowers() {
	p.powerSum = 0
	for _, power := range p.powers {
		p.powerSum += power
	}
}

// cost returns the power mean with exponent 8 of the ranks' times, relative to mean. It
// weights heavily loaded ranks more than others, so that the ranks next to the most
// loaded one are relieved as well.
func (p *placement) cost() float64 {
	return math.Sqrt(math.Sqrt(math.Sqrt(max(p.powerSum, 0) / float64(len(p.times)))))
}

// bestMove returns the move of an expert of the most loaded rank that lowers the cost
// most, counting minGain for each expert that a rank must load. It reports false if
// no move lowers the cost.
func (p *placement) bestMove() (move, bool) {
	worst := 0
	for r := range p.times {
		if p.times[r] > p.times[worst] {
			worst = r
		}
	}
	current := p.cost()
	best := move{cost: math.Inf(1)}
	found := false
	for _, expert := range slices.Clone(p.ranks[worst]) {
		for to := range p.ranks {
			if to == worst || slices.Contains(p.ranks[to], expert) {
				continue
			}
			for _, m := range p.moves(expert, worst, to) {
				toLoad := p.newExperts(m)
				m.cost = p.costAfter(m) + minGain*float64(toLoad)
				if m.cost < current && (!found || m.cost < best.cost) {
					best, found = m, true
				}
			}
		}
	}
	return best, found
}

// moves returns the allowed moves that add an expert of rank `from` to rank `to`, until
// its next call.
func (p *placement) moves(expert int32, from, to int) []move {
	list := p.moveBuffer[:0]
	add := func(m move) {
		if p.allowed(m) {
			list = append(list, m)
		}
	}
	if len(p.ranks[to]) < p.shape.Places {
		add(move{expert: expert, from: -1, to: to, evict: -1})
		add(move{expert: expert, from: from, to: to, evict: -1})
	}
	for _, evict := range p.ranks[to] {
		if len(p.holders[evict]) > 1 {
			add(move{expert: expert, from: -1, to: to, evict: evict})
			add(move{expert: expert, from: from, to: to, evict: evict})
		}
		if !slices.Contains(p.ranks[from], evict) {
			add(move{expert: expert, from: from, to: to, evict: evict, swap: true})
		}
	}
	p.moveBuffer = list
	return list
}

// isNew reports whether the rank must load the expert for this change, since it
// did not hold the expert before.
func (p *placement) isNew(rank int, expert int32) bool {
	return !slices.Contains(p.resident[rank], expert)
}

// newExperts returns the number of experts that ranks must load for a move.
func (p *placement) newExperts(m move) int {
	count := 0
	if p.isNew(m.to, m.expert) {
		count++
	}
	if m.swap && p.isNew(m.from, m.evict) {
		count++
	}
	return count
}

// allowed reports whether a move stays within the limits on the experts that a rank
// may load in one change.
func (p *placement) allowed(m move) bool {
	if p.isNew(m.to, m.expert) && !p.canLoad(m.to, m.evict) {
		return false
	}
	return !m.swap || !p.isNew(m.from, m.evict) || p.canLoad(m.from, m.expert)
}

// canLoad reports whether the rank may load one more expert once it has dropped
// removed.
func (p *placement) canLoad(rank int, removed int32) bool {
	newInSet := 0
	for _, e := range p.ranks[rank] {
		if e != removed && p.isNew(rank, e) {
			newInSet++
		}
	}
	return newInSet < p.shape.Spare && p.expertsToLoad[rank] < p.shape.Loads
}

// costAfter returns the cost of the placement after a move.
func (p *placement) costAfter(m move) float64 {
	before := p.powerSum
	p.change(m)
	cost := p.cost()
	p.revert(m)
	p.powerSum = before
	return cost
}

// apply makes a move and updates expertsToLoad.
func (p *placement) apply(m move) {
	for _, rank := range []int{m.to, m.from} {
		if rank >= 0 {
			p.expertsToLoad[rank] -= p.newExpertsAt(rank)
		}
	}
	p.change(m)
	p.sumPowers()
	for _, rank := range []int{m.to, m.from} {
		if rank >= 0 {
			p.expertsToLoad[rank] += p.newExpertsAt(rank)
		}
	}
}

// newExpertsAt returns the number of experts of this set that the rank must load.
func (p *placement) newExpertsAt(rank int) int {
	count := 0
	for _, e := range p.ranks[rank] {
		if p.isNew(rank, e) {
			count++
		}
	}
	return count
}

func (p *placement) change(m move) {
	p.add(m.to, m.expert)
	if m.from >= 0 {
		p.remove(m.from, m.expert)
	}
	if m.evict >= 0 {
		p.remove(m.to, m.evict)
	}
	if m.swap {
		p.add(m.from, m.evict)
	}
	p.updateTimes(m)
}

func (p *placement) revert(m move) {
	if m.swap {
		p.remove(m.from, m.evict)
	}
	if m.evict >= 0 {
		p.add(m.to, m.evict)
	}
	if m.from >= 0 {
		p.add(m.from, m.expert)
	}
	p.remove(m.to, m.expert)
	p.updateTimes(m)
}

func (p *placement) add(rank int, expert int32) {
	p.ranks[rank] = append(p.ranks[rank], expert)
	p.holders[expert] = append(p.holders[expert], rank)
}

func (p *placement) remove(rank int, expert int32) {
	p.ranks[rank] = removeUnordered(p.ranks[rank], expert)
	p.holders[expert] = removeUnordered(p.holders[expert], rank)
}

// removeUnordered removes an element that the list contains.
func removeUnordered[E comparable](list []E, element E) []E {
	last := len(list) - 1
	list[slices.Index(list, element)] = list[last]
	return list[:last]
}

// updateTimes recomputes the times of the ranks that a move affects.
func (p *placement) updateTimes(m move) {
	p.updateTime(m.to)
	if m.from >= 0 {
		p.updateTime(m.from)
	}
	for _, rank := range p.holders[m.expert] {
		p.updateTime(rank)
	}
	if m.evict >= 0 {
		for _, rank := range p.holders[m.evict] {
			p.updateTime(rank)
		}
	}
}

func (p *placement) updateTime(rank int) {
	p.times[rank] = p.rankTime(rank)
	power := p.power(rank)
	p.powerSum += power - p.powers[rank]
	p.powers[rank] = power
}
