package expertplan

import (
	"math"
	"slices"
)

// placement is one set while it is being balanced.
type placement struct {
	shape    Shape
	ranks    [][]int32 // experts at each rank
	resident [][]int32 // experts at each rank before the change
	loads    []float64 // by expert
	speeds   []float64 // by rank
	copies   []int     // by expert
	times    []float64 // load over speed, by rank
	loaded   []int     // experts of all sets that each rank loads in this change
}

// move gives expert to rank `to`, and takes others away.
type move struct {
	expert int32
	from   int   // rank that gives the expert up; -1: it keeps it
	to     int   // rank that gets the expert
	evict  int32 // expert that `to` gives up; -1: none
	swap   bool  // `from` gets the evicted expert
	cost   float64
}

func newPlacement(ranks [][]int32, loads, speeds []float64) *placement {
	p := &placement{ranks: ranks, loads: loads, speeds: speeds, copies: make([]int, len(loads)), times: make([]float64, len(ranks))}
	for _, experts := range ranks {
		for _, e := range experts {
			p.copies[e]++
		}
	}
	for r := range ranks {
		p.times[r] = p.time(r)
	}
	return p
}

func (p *placement) time(rank int) float64 {
	load := 0.0
	for _, e := range p.ranks[rank] {
		load += p.loads[e] / float64(p.copies[e])
	}
	return load / p.speeds[rank]
}

func (p *placement) most() float64 { return slices.Max(p.times) }

func (p *placement) mean() float64 {
	load, speed := 0.0, 0.0
	for r := range p.times {
		load += p.times[r] * p.speeds[r]
		speed += p.speeds[r]
	}
	return math.Max(load/speed, math.SmallestNonzeroFloat64)
}

// cost is the mean of the eighth powers of the ranks' times over their mean, and
// the eighth root of that: it weighs loaded ranks over others, so that ranks next
// to the most loaded one are relieved as well.
func (p *placement) cost() float64 {
	mean := p.mean()
	sum := 0.0
	for _, t := range p.times {
		power := t / mean
		power *= power
		power *= power
		power *= power
		sum += power
	}
	return math.Sqrt(math.Sqrt(math.Sqrt(sum / float64(len(p.times)))))
}

// bestMove returns the move that lowers the cost most, if one is worth its load.
func (p *placement) bestMove() (move, bool) {
	worst := 0
	for r := range p.times {
		if p.times[r] > p.times[worst] {
			worst = r
		}
	}
	present := p.cost()
	best := move{cost: math.Inf(1)}
	found := false
	for _, expert := range slices.Clone(p.ranks[worst]) {
		for to := range p.ranks {
			if to == worst || slices.Contains(p.ranks[to], expert) {
				continue
			}
			for _, m := range p.moves(expert, worst, to) {
				loads := p.newLoads(m)
				m.cost = p.after(m) + minGain*float64(loads)
				if m.cost < present && (!found || m.cost < best.cost) {
					best, found = m, true
				}
			}
		}
	}
	return best, found
}

// moves returns the allowed moves that give an expert of rank from to rank to.
func (p *placement) moves(expert int32, from, to int) []move {
	var list []move
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
		if p.copies[evict] > 1 {
			add(move{expert: expert, from: -1, to: to, evict: evict})
			add(move{expert: expert, from: from, to: to, evict: evict})
		}
		if !slices.Contains(p.ranks[from], evict) {
			add(move{expert: expert, from: from, to: to, evict: evict, swap: true})
		}
	}
	return list
}

// isNew reports whether rank must load the expert for this change.
func (p *placement) isNew(rank int, expert int32) bool {
	return !slices.Contains(p.resident[rank], expert)
}

func (p *placement) newLoads(m move) int {
	count := 0
	if p.isNew(m.to, m.expert) {
		count++
	}
	if m.swap && p.isNew(m.from, m.evict) {
		count++
	}
	return count
}

func (p *placement) allowed(m move) bool {
	if p.isNew(m.to, m.expert) && !p.canLoad(m.to, m.evict) {
		return false
	}
	return !m.swap || !p.isNew(m.from, m.evict) || p.canLoad(m.from, m.expert)
}

// canLoad reports whether rank may load one more expert once it has given up
// another.
func (p *placement) canLoad(rank int, given int32) bool {
	ofSet := 0
	for _, e := range p.ranks[rank] {
		if e != given && p.isNew(rank, e) {
			ofSet++
		}
	}
	return ofSet < p.shape.Spare && p.loaded[rank] < p.shape.Loads
}

// after returns the cost that a move would lead to.
func (p *placement) after(m move) float64 {
	p.change(m)
	cost := p.cost()
	p.revert(m)
	return cost
}

func (p *placement) apply(m move) {
	for _, rank := range []int{m.to, m.from} {
		if rank >= 0 {
			p.loaded[rank] -= p.loadsAt(rank)
		}
	}
	p.change(m)
	for _, rank := range []int{m.to, m.from} {
		if rank >= 0 {
			p.loaded[rank] += p.loadsAt(rank)
		}
	}
}

func (p *placement) loadsAt(rank int) int {
	count := 0
	for _, e := range p.ranks[rank] {
		if p.isNew(rank, e) {
			count++
		}
	}
	return count
}

func (p *placement) change(m move) {
	p.give(m.to, m.expert)
	if m.from >= 0 {
		p.take(m.from, m.expert)
	}
	if m.evict >= 0 {
		p.take(m.to, m.evict)
	}
	if m.swap {
		p.give(m.from, m.evict)
	}
	p.refresh(m)
}

func (p *placement) revert(m move) {
	if m.swap {
		p.take(m.from, m.evict)
	}
	if m.evict >= 0 {
		p.give(m.to, m.evict)
	}
	if m.from >= 0 {
		p.give(m.from, m.expert)
	}
	p.take(m.to, m.expert)
	p.refresh(m)
}

func (p *placement) give(rank int, expert int32) {
	p.ranks[rank] = append(p.ranks[rank], expert)
	p.copies[expert]++
}

func (p *placement) take(rank int, expert int32) {
	at := slices.Index(p.ranks[rank], expert)
	last := len(p.ranks[rank]) - 1
	p.ranks[rank][at] = p.ranks[rank][last]
	p.ranks[rank] = p.ranks[rank][:last]
	p.copies[expert]--
}

// refresh reckons the times of the ranks that a move has changed.
func (p *placement) refresh(m move) {
	for r := range p.ranks {
		touched := r == m.to || r == m.from || slices.Contains(p.ranks[r], m.expert)
		if touched || m.evict >= 0 && slices.Contains(p.ranks[r], m.evict) {
			p.times[r] = p.time(r)
		}
	}
}
