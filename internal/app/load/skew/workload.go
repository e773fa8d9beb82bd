package skew

import (
	"math"
	"math/rand/v2"
)

// Drifts of the load.
const (
	driftSeason    = "season"
	driftDaily     = "daily"
	driftShift     = "shift"
	driftAlternate = "alternate"
)

const (
	alternations   = 3 // default number of periods in a trace of alternating topics
	seasonWaves    = 3
	topics         = 3
	stragglerSpeed = 0.5
)

// workload gives the true load of each expert of one layer at each step. The
// loads add up to the number of ranks.
type workload struct {
	options Options
	common  []float64           // by expert: the part of its log popularity that does not drift
	topics  [topics][]float64   // by topic and expert
	waves   [seasonWaves][]wave // by expert
	loads   []float64           // result of at
}

// wave is one sinusoidal component of an expert's drift.
type wave struct {
	amplitude float64
	cycles    float64 // over the whole trace
	phase     float64
}

func newWorkload(o Options, random *rand.Rand) *workload {
	w := &workload{options: o, loads: make([]float64, o.Experts)}
	w.common = normals(random, o.Experts)
	for i := range w.topics {
		w.topics[i] = normals(random, o.Experts)
	}
	for i := range w.waves {
		w.waves[i] = make([]wave, o.Experts)
		for e := range w.waves[i] {
			w.waves[i][e] = wave{
				amplitude: random.NormFloat64() / math.Sqrt(seasonWaves),
				cycles:    0.25 + 1.25*random.Float64(),
				phase:     2 * math.Pi * random.Float64(),
			}
		}
	}
	return w
}

// normals returns n values of the standard normal distribution.
func normals(random *rand.Rand, n int) []float64 {
	values := make([]float64, n)
	for i := range values {
		values[i] = random.NormFloat64()
	}
	return values
}

// at returns the loads at a step. The next call overwrites the slice.
func (w *workload) at(step int) []float64 {
	commonWeight := math.Sqrt(1 - w.options.TopicWeight)
	driftWeight := math.Sqrt(w.options.TopicWeight)
	total := 0.0
	for e := range w.loads {
		popularity := commonWeight*w.common[e] + driftWeight*w.drift(e, step)
		w.loads[e] = math.Exp(w.options.Spread * popularity)
		total += w.loads[e]
	}
	scale := float64(w.options.Ranks) / total
	for e := range w.loads {
		w.loads[e] *= scale
	}
	return w.loads
}

// drift returns the part of an expert's log popularity that depends on the step.
func (w *workload) drift(e, step int) float64 {
	fraction := float64(step) / float64(w.options.Steps)
	switch w.options.Drift {
	case driftDaily:
		angle := 2 * math.Pi * float64(step) / float64(w.options.period())
		return w.topics[0][e]*math.Cos(angle) + w.topics[1][e]*math.Sin(angle)
	case driftShift:
		return w.topics[min(topics-1, int(fraction*topics))][e]
	case driftAlternate:
		fraction := w.secondTopicShare(step)
		return w.topics[0][e]*(1-fraction) + w.topics[1][e]*fraction
	default:
		value := 0.0
		for i := range w.waves {
			v := w.waves[i][e]
			value += math.Sqrt2 * v.amplitude * math.Sin(2*math.Pi*v.cycles*fraction+v.phase)
		}
		return value
	}
}

// secondTopicShare returns the share of the second of two alternating topics at
// a step.
func (w *workload) secondTopicShare(step int) float64 {
	half := max(1, w.options.period()/2)
	progress := min(1, float64(step%half+1)/float64(max(1, w.options.Transition)))
	if step/half%2 == 1 {
		return progress
	}
	if step < half {
		return 0
	}
	return 1 - progress
}

// speeds returns the speed of each rank at a step.
func (o *Options) speeds(step int) []float64 {
	speeds := make([]float64, o.Ranks)
	for r := range speeds {
		speeds[r] = 1
	}
	if o.Straggler && step >= o.Steps/3 && step < 2*o.Steps/3 {
		speeds[o.Ranks/2] = stragglerSpeed
	}
	return speeds
}
