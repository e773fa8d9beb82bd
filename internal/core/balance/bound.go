package balance

import (
	"math"
	"slices"
)

// MeanTime returns the time of each rank if the load were spread perfectly.
func MeanTime(loads, speeds []float64) float64 { return sum(loads) / sum(speeds) }

// LowerBound returns the smallest step time T such that T is at least MeanTime
// and the sum over experts of ceil(load / T) is at most the number of slots. No
// map can be faster, whatever its shares. Where ranks differ in speed, each
// slot is assumed to carry up to T times the fastest rank's speed.
func LowerBound(loads, speeds []float64, slots int) float64 {
	mean := MeanTime(loads, speeds)
	fastest := slices.Max(speeds)
	if slotsNeeded(loads, mean*fastest) <= slots {
		return mean
	}
	low, high := mean, math.Max(mean, slices.Max(loads)/fastest)
	const rounds = 50
	for range rounds {
		middle := (low + high) / 2
		if slotsNeeded(loads, middle*fastest) <= slots {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// slotsNeeded returns the number of slots that the loads need if a slot carries
// at most limit. Each expert needs at least one.
func slotsNeeded(loads []float64, limit float64) int {
	const tolerance = 1e-9
	count := 0
	for _, l := range loads {
		count += max(1, int(math.Ceil(l/limit-tolerance)))
	}
	return count
}
