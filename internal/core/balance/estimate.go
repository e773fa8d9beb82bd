package balance

import (
	"math"
	"slices"
)

// Gains of the estimator, in parts of the difference between a report and what
// was expected, and the difference that it takes for a jump of the load.
const (
	levelGain    = 0.07
	trendGain    = levelGain * levelGain / (2 - levelGain)
	quickGain    = 0.5
	jumpDeviates = 5.0
	jumpPart     = 0.05
	noiseGain    = 0.05
	noiseFloor   = 0.002
)

// Estimator smooths noisy reports and looks ahead by their age, along the
// trend. A value that stays far outside the noise is followed at once; the
// noise is learnt from the reports themselves.
type Estimator struct {
	ahead  float64 // reports to look ahead
	level  []float64
	trend  []float64 // change of the level for each report
	quick  []float64 // quickly smoothed difference from the expected value
	last   []float64
	values []float64
	noise  float64 // standard deviation of a report, relative to its value
	jumped int
	ratios []float64
}

// NewEstimator returns an estimator that starts at the given values and looks
// the given number of reports ahead.
func NewEstimator(start []float64, ahead float64) *Estimator {
	return &Estimator{
		ahead:  ahead,
		level:  slices.Clone(start),
		trend:  make([]float64, len(start)),
		quick:  make([]float64, len(start)),
		last:   slices.Clone(start),
		values: slices.Clone(start),
		noise:  noiseFloor,
		ratios: make([]float64, 0, len(start)),
	}
}

// Values returns the current estimate. The caller must not change it.
func (e *Estimator) Values() []float64 { return e.values }

// Jumped returns the number of values that the last report moved at once.
func (e *Estimator) Jumped() int { return e.jumped }

// Noise returns the learnt relative standard deviation of a report.
func (e *Estimator) Noise() float64 { return e.noise }

// Observe takes one report, with a value for each expert or rank.
func (e *Estimator) Observe(report []float64) {
	e.learnNoise(report)
	e.jumped = 0
	width := jumpPart + jumpDeviates*e.noise*math.Sqrt(quickGain/(2-quickGain))
	for i, v := range report {
		expected := e.level[i] + e.trend[i]
		difference := v - expected
		e.quick[i] += quickGain * (difference - e.quick[i])
		if math.Abs(e.quick[i]) > width*max(expected, v) {
			e.jump(i, v)
			continue
		}
		e.level[i] = expected + levelGain*difference
		e.trend[i] += trendGain * difference
		e.values[i] = max(0, e.level[i]+e.ahead*e.trend[i])
	}
}

func (e *Estimator) jump(i int, value float64) {
	e.level[i] = value
	e.trend[i] = 0
	e.quick[i] = 0
	e.values[i] = value
	e.jumped++
}

// learnNoise follows the median change between consecutive reports.
func (e *Estimator) learnNoise(report []float64) {
	const medianToDeviation = 1.4826 / math.Sqrt2
	e.ratios = e.ratios[:0]
	for i, v := range report {
		if scale := (v + e.last[i]) / 2; scale > 0 {
			e.ratios = append(e.ratios, math.Abs(v-e.last[i])/scale)
		}
	}
	copy(e.last, report)
	if len(e.ratios) == 0 {
		return
	}
	slices.Sort(e.ratios)
	seen := e.ratios[len(e.ratios)/2] * medianToDeviation
	e.noise = max(noiseFloor, e.noise+noiseGain*(seen-e.noise))
}
