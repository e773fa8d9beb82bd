// Package demand estimates how much each expert is currently used, from the
// cumulative counts that the ranks of a group report.
//
// Package maplead uses the estimates as the loads for which package expertplan
// places the experts, in changes that a gateway leads. Package mapgroup does not
// use it: it plans with the load reports of the engines.
package demand

import (
	"math"
	"time"
)

const (
	// maxSpan is the longest time over which the increase of counts is summed, unless a
	// single round is longer.
	maxSpan = 600 * time.Millisecond
	// shiftThreshold is the fraction of all counted choices that must go to other
	// experts than before for demand to count as shifted. Demand shifts abruptly and is
	// constant between shifts, so counts from before a shift say nothing about current
	// demand.
	shiftThreshold = 0.15
	// minCounts is how often each expert must have been chosen on average in a round
	// for the round to be used.
	minCounts = 20
)

// interval is the increase of counts in one round, which lasts from the end of the
// round before it to its own end.
type interval struct {
	from, to time.Time
	increase []float64 // by set and expert, summed over the ranks
	total    float64
}

// rankCounts are the last reported counts of a rank, for one start of the rank in
// one epoch of its group.
type rankCounts struct {
	born   int64
	epoch  int64
	counts []int64
}

// Window holds the recent increase of counts since demand last shifted.
type Window struct {
	last      map[string]rankCounts // by rank
	increase  []float64             // in the current round
	roundEnd  time.Time             // end of the last round
	intervals []interval
	stable    bool // the newest interval has the same demand as those before it
	shifts    int  // number of times that demand has shifted
}

// NewWindow returns a window without any counts.
func NewWindow() *Window { return &Window{last: make(map[string]rankCounts)} }

// Add adds the increase of a rank's counts to the current round. Counts begin at zero
// again at each start of a rank. The first counts after a start, or in a new epoch,
// add nothing: they are what later counts are compared with.
func (w *Window) Add(rank string, born, epoch int64, counts []int64) {
	if w.increase == nil {
		w.increase = make([]float64, len(counts))
	}
	if len(counts) != len(w.increase) {
		return
	}
	last, known := w.last[rank]
	w.last[rank] = rankCounts{born, epoch, counts}
	if !known || last.born != born || last.epoch != epoch {
		return
	}
	for i := range counts {
		if increase := counts[i] - last.counts[i]; increase > 0 {
			w.increase[i] += float64(increase)
		}
	}
}

// EndRound ends the current round, in which Add was called for all ranks.
func (w *Window) EndRound(now time.Time) {
	next := interval{from: w.roundEnd, to: now, increase: w.increase}
	for _, increase := range next.increase {
		next.total += increase
	}
	w.roundEnd = now
	w.increase = make([]float64, len(next.increase))
	if next.from.IsZero() || next.total < float64(minCounts*len(next.increase)) {
		return
	}
	if len(w.intervals) > 0 && w.shiftedFraction(next) > shiftThreshold {
		w.intervals = nil
		w.shifts++
	}
	w.stable = len(w.intervals) > 0
	w.intervals = append(w.intervals, next)
	for len(w.intervals) > 1 && now.Sub(w.intervals[0].from) > maxSpan {
		w.intervals = w.intervals[1:]
	}
}

// Stable reports whether Loads reflects current demand.
func (w *Window) Stable() bool { return w.stable }

// Shifts returns the number of times that demand has shifted so far.
func (w *Window) Shifts() int { return w.shifts }

// shiftedFraction returns the fraction of the choices in next that went to other
// experts than in the window.
func (w *Window) shiftedFraction(next interval) float64 {
	sum, total := w.sum()
	shiftedFraction := 0.0
	for i := range sum {
		shiftedFraction += math.Abs(sum[i]/total-next.increase[i]/next.total) / 2
	}
	return shiftedFraction
}

// sum returns the increase in the window by set and expert, and its total.
func (w *Window) sum() ([]float64, float64) {
	sum := make([]float64, len(w.increase))
	total := 0.0
	for _, past := range w.intervals {
		for i, increase := range past.increase {
			sum[i] += increase
		}
		total += past.total
	}
	return sum, total
}

// Loads returns the increase in the window by set and expert, or nil while demand is
// shifting or too few counts are known.
func (w *Window) Loads(sets int) [][]float64 {
	if !w.stable || sets == 0 || len(w.increase)%sets != 0 {
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
