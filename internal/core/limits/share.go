package limits

import "slices"

// Share returns this entry's part of a limit that it divides with others, by
// the demand of each. Nobody gets less than an equal part unless it asks for
// less; what nobody asks for is divided equally. The shares that entries
// compute from the same demands add up to the limit. Share grows with own and
// falls with any of others.
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
