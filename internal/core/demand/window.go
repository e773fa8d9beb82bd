// Package demand estimates how much each expert is used at present, from the
// growing counts that the ranks of a group report.
package demand

import "time"

// span is how far back counts are used. Demand moves in steps, so that an
// estimate over a longer time would mix what was with what is.
const span = 450 * time.Millisecond

type sample struct {
	at    time.Time
	count []int64 // summed over the ranks
}

type rankCounts struct {
	born   int64
	epoch  int64
	counts []int64
}

// Window sums the growth of counts over the last span.
type Window struct {
	last    map[string]rankCounts // by rank
	total   []int64
	samples []sample
}

// NewWindow returns a window without any counts.
func NewWindow() *Window { return &Window{last: make(map[string]rankCounts)} }

// Add takes the counts of a rank. Counts begin anew at each start of a rank.
func (w *Window) Add(rank string, born, epoch int64, counts []int64) {
	if w.total == nil {
		w.total = make([]int64, len(counts))
	}
	if len(counts) != len(w.total) {
		return
	}
	last, known := w.last[rank]
	w.last[rank] = rankCounts{born, epoch, counts}
	if !known || last.born != born || last.epoch != epoch {
		return
	}
	for i := range counts {
		if growth := counts[i] - last.counts[i]; growth > 0 {
			w.total[i] += growth
		}
	}
}

// Close ends a round of Add over all ranks.
func (w *Window) Close(now time.Time) {
	w.samples = append(w.samples, sample{now, append([]int64(nil), w.total...)})
	for len(w.samples) > 2 && now.Sub(w.samples[1].at) >= span {
		w.samples = w.samples[1:]
	}
}

// Loads returns the growth over the span by set and expert, or nil while too
// little is known.
func (w *Window) Loads(sets int) [][]float64 {
	if len(w.samples) < 2 || sets == 0 || len(w.total)%sets != 0 {
		return nil
	}
	first, last := w.samples[0], w.samples[len(w.samples)-1]
	if last.at.Sub(first.at) < span/2 {
		return nil
	}
	experts := len(w.total) / sets
	loads := make([][]float64, sets)
	for s := range loads {
		loads[s] = make([]float64, experts)
		sum := 0.0
		for e := range loads[s] {
			loads[s][e] = float64(last.count[s*experts+e] - first.count[s*experts+e])
			sum += loads[s][e]
		}
		if sum < float64(minCounts*experts) {
			return nil
		}
	}
	return loads
}

// minCounts is how often an expert must have been chosen on average.
const minCounts = 20
