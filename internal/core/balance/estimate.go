package balance

import (
	"math"
	"slices"
)

// Gains of the estimator, in parts of the difference between a report and what
// was expected, and the difference that it takes for a jump of the load.
const (
	levelGain    = 0.07
	levelGainMax = 0.3
	quickGain    = 0.5
	excessGain   = 0.2
	excessCap    = 25.0
	excessWeight = 0.8
	jumpDeviates = 3.5
	jumpPart     = 0.03
	restartShare = 16 // all values restart if more than one in this many jumps
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
	seen   []float64 // reports since the last restart
	values []float64
	noise  float64 // standard deviation of a report, relative to its value
	excess float64 // smoothed square of differences, in squares of the noise
	gain   float64
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
		seen:   make([]float64, len(start)),
		values: slices.Clone(start),
		noise:  noiseFloor,
		excess: 1,
		gain:   levelGain,
		ratios: make([]float64, 0, len(start)),
	}
}

// Values returns the current estimate. The caller must not change it.
func (e *Estimator) Values() []float64 { return e.values }

// Observe takes one report, with a value for each expert or rank.
func (e *Estimator) Observe(report []float64) {
	e.learnNoise(report)
	jumped := 0
	width := jumpPart + jumpDeviates*e.noise*math.Sqrt(quickGain/(2-quickGain))
	for i, v := range report {
		expected := e.level[i] + e.trend[i]
		e.quick[i] += quickGain * (v - expected - e.quick[i])
		if math.Abs(e.quick[i]) > width*max(expected, v) {
			e.restart(i, v)
			jumped++
		}
	}
	if jumped*restartShare > len(report) {
		for i, v := range report {
			e.restart(i, v)
		}
	}
	e.adapt(report)
	for i, v := range report {
		e.follow(i, v)
	}
}

// restart forgets the past of a value.
func (e *Estimator) restart(i int, value float64) {
	e.level[i] = value
	e.trend[i] = 0
	e.quick[i] = 0
	e.seen[i] = 0
}

// adapt raises the gain while differences from what was expected exceed the
// noise, so that a fast drift is followed at the price of more noise.
func (e *Estimator) adapt(report []float64) {
	total, count := 0.0, 0
	for i, v := range report {
		expected := e.level[i] + e.trend[i]
		if deviation := e.noise * expected; deviation > 0 {
			part := (v - expected) / deviation
			total += min(part*part, excessCap)
			count++
		}
	}
	if count > 0 {
		e.excess += excessGain * (total/float64(count) - e.excess)
	}
	e.gain = min(max(levelGain, levelGain*e.excess*excessWeight), levelGainMax)
}

// follow smooths a value: its plain mean after a restart, until the number of
// reports is what the gain stands for.
func (e *Estimator) follow(i int, value float64) {
	e.seen[i]++
	expected := e.level[i] + e.trend[i]
	gain := max(e.gain, 1/e.seen[i])
	e.level[i] = expected + gain*(value-expected)
	if gain == e.gain {
		e.trend[i] += gain * gain / (2 - gain) * (value - expected)
	}
	e.values[i] = max(0, e.level[i]+e.ahead*e.trend[i])
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
