package limits

import "slices"

// Share returns this entry's share of a limit that is divided among it and others
// by max-min fairness: no entry gets less than an equal share unless its demand is
// lower, and what exceeds all demands is divided equally. The shares that entries
// compute from the same demands add up to the limit. An entry's share does not
// fall when its own demand grows, and does not grow with another entry's demand.
func Share(limit, own float64, others []float64) float64 {
	demands := make([]float64, 0, len(others)+1)
	demands = append(demands, own)
	demands = append(demands, others...)
	slices.Sort(demands)
	left := limit
	for i, demand := range demands {
		remaining := float64(len(demands) - i)
		level := left / remaining
		if demand >= level {
			return min(own, level)
		}
		left -= demand
	}
	return own + left/float64(len(demands))
}
