package affinity

import (
	"maps"
	"slices"
	"time"
)

const (
	millisecondsPerSecond = 1000
	p50                   = 0.50
	p95                   = 0.95
)

func (s *simulation) result(policy string) Result {
	finished := float64(len(s.latencies))
	busiest, sum := time.Duration(0), time.Duration(0)
	for _, t := range s.targets {
		busiest = max(busiest, t.busy)
		sum += t.busy
	}
	return Result{
		Policy:    policy,
		HitRate:   float64(s.hits) / finished,
		Imbalance: float64(busiest) * float64(len(s.targets)) / float64(sum),
		P50MS:     quantile(s.latencies, p50),
		P95MS:     quantile(s.latencies, p95),
		Waited:    float64(s.waited) / finished,
	}
}

// quantile returns a quantile of the values in milliseconds; it sorts them.
func quantile(values []time.Duration, fraction float64) float64 {
	slices.Sort(values)
	return float64(values[int(fraction*float64(len(values)-1))]) / float64(time.Millisecond)
}

func sortedNames(targets map[string]*target) []string { return slices.Sorted(maps.Keys(targets)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
