// Package demand estimates how much each expert is used at present, from the
// growing counts that the ranks of a group report.
package demand

import (
	"math"
	"time"
)

const (
	// span is how far back counts are used at most.
	span = 600 * time.Millisecond
	// shift is the part of all choices that must have gone to other experts
	// than before for demand to count as moved. Demand moves in steps and lies
	// still between them, so what was counted before a step says nothing of now.
	shift = 0.15
	// minCounts is how often an expert must have been chosen on average.
	minCounts = 20
)

// interval is the growth of counts between two rounds of reading.
type interval struct {
	from, to time.Time
	growth   []float64 // summed over the ranks
	total    float64
}

type rankCounts struct {
	born   int64
	epoch  int64
	counts []int64
}

// Window holds the growth of counts since demand last moved.
type Window struct {
	last      map[string]rankCounts // by rank
	growth    []float64             // in the present round
	round     time.Time             // end of the last round
	intervals []interval
	steady    bool // the newest interval is like those before it
	steps     int  // how often demand has moved
}

// NewWindow returns a window without any counts.
func NewWindow() *Window { return &Window{last: make(map[string]rankCounts)} }

// Add takes the counts of a rank. Counts begin anew at each start of a rank.
func (w *Window) Add(rank string, born, epoch int64, counts []int64) {
	if w.growth == nil {
		w.growth = make([]float64, len(counts))
	}
	if len(counts) != len(w.growth) {
		return
	}
	last, known := w.last[rank]
	w.last[rank] = rankCounts{born, epoch, counts}
	if !known || last.born != born || last.epoch != epoch {
		return
	}
	for i := range counts {
		if growth := counts[i] - last.counts[i]; growth > 0 {
			w.growth[i] += float64(growth)
		}
	}
}

// EndRound ends a round of Add over all ranks.
func (w *Window) EndRound(now time.Time) {
	next := interval{from: w.round, to: now, growth: w.growth}
	for _, growth := range next.growth {
		next.total += growth
	}
	w.round = now
	w.growth = make([]float64, len(next.growth))
	if next.from.IsZero() || next.total < float64(minCounts*len(next.growth)) {
		return
	}
	if len(w.intervals) > 0 && w.moved(next) > shift {
		w.intervals = nil
		w.steps++
	}
	w.steady = len(w.intervals) > 0
	w.intervals = append(w.intervals, next)
	for len(w.intervals) > 1 && now.Sub(w.intervals[0].from) > span {
		w.intervals = w.intervals[1:]
	}
}

// Stable reports whether Loads tells of demand as it is now.
func (w *Window) Stable() bool { return w.steady }

// Shifts returns how often demand has moved so far.
func (w *Window) Shifts() int { return w.steps }

// moved returns the part of the choices in next that went to other experts than
// those in the window.
func (w *Window) moved(next interval) float64 {
	sum, total := w.sum()
	moved := 0.0
	for i := range sum {
		moved += math.Abs(sum[i]/total-next.growth[i]/next.total) / 2
	}
	return moved
}

func (w *Window) sum() ([]float64, float64) {
	sum := make([]float64, len(w.growth))
	total := 0.0
	for _, part := range w.intervals {
		for i, growth := range part.growth {
			sum[i] += growth
		}
		total += part.total
	}
	return sum, total
}

// Loads returns the growth by set and expert, or nil while demand is moving or
// too little is known.
func (w *Window) Loads(sets int) [][]float64 {
	if !w.steady || sets == 0 || len(w.growth)%sets != 0 {
		return nil
	}
	sum, _ := w.sum()
	experts := len(sum) / sets
	loads := make([][]float64, sets)
	for s := range loads {
		loads[s] = sum[s*experts : (s+1)*experts]
	}
	return loads
}
