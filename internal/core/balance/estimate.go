package balance

import (
	"math"
	"slices"
)

// Parameters of the estimator. A gain is the fraction of a difference by which
// an estimate follows it. A value has jumped if its short-term error exceeds
// jumpMargin times the value plus jumpDeviations standard deviations of the error
// that noise alone would cause.
const (
	levelGain        = 0.07
	maxLevelGain     = 0.3
	shortTermGain    = 0.5
	errorRatioGain   = 0.2
	errorRatioCap    = 25.0
	errorRatioWeight = 0.8
	jumpDeviations   = 3.5
	jumpMargin       = 0.03
	restartAllOneIn  = 16 // all values restart if more than one in this many has jumped
	noiseGain        = 0.05
	noiseFloor       = 0.002
)

// Estimator smooths noisy reports and extrapolates them along their trend, to
// make up for the age of the reports. A value that jumps far beyond the noise
// restarts at its reported value. The noise is estimated from the reports.
type Estimator struct {
	lookahead      float64 // reports by which values are extrapolated
	level          []float64
	trend          []float64 // change of the level from one report to the next
	shortTermError []float64 // difference from the expected value, smoothed over few reports
	lastReport     []float64
	reportsSeen    []float64 // reports since the last restart
	values         []float64
	noise          float64 // standard deviation of a report, relative to its value
	errorRatio     float64 // smoothed square of differences, relative to the square of the noise
	gain           float64
	changes        []float64 // buffer for the relative changes from the last report
}

// NewEstimator returns an estimator that starts at the given values and
// extrapolates by the given number of reports.
func NewEstimator(start []float64, lookahead float64) *Estimator {
	return &Estimator{
		lookahead:      lookahead,
		level:          slices.Clone(start),
		trend:          make([]float64, len(start)),
		shortTermError: make([]float64, len(start)),
		lastReport:     slices.Clone(start),
		reportsSeen:    make([]float64, len(start)),
		values:         slices.Clone(start),
		noise:          noiseFloor,
		errorRatio:     1,
		gain:           levelGain,
		changes:        make([]float64, 0, len(start)),
	}
}

// Values returns the current estimate. The caller must not change it.
func (e *Estimator) Values() []float64 { return e.values }

// Observe processes one report, which has a value for each expert or rank.
func (e *Estimator) Observe(report []float64) {
	e.updateNoise(report)
	jumped := 0
	width := jumpMargin + jumpDeviations*e.noise*math.Sqrt(shortTermGain/(2-shortTermGain))
	for i, v := range report {
		expected := e.level[i] + e.trend[i]
		e.shortTermError[i] += shortTermGain * (v - expected - e.shortTermError[i])
		if math.Abs(e.shortTermError[i]) > width*max(expected, v) {
			e.restart(i, v)
			jumped++
		}
	}
	if jumped*restartAllOneIn > len(report) {
		for i, v := range report {
			e.restart(i, v)
		}
	}
	e.adaptGain(report)
	for i, v := range report {
		e.smooth(i, v)
	}
}

// restart drops the history of a value.
func (e *Estimator) restart(i int, value float64) {
	e.level[i] = value
	e.trend[i] = 0
	e.shortTermError[i] = 0
	e.reportsSeen[i] = 0
}

// adaptGain raises the gain while differences from the expected values exceed
// the noise, so that the estimate follows a fast drift at the price of more
// noise.
func (e *Estimator) adaptGain(report []float64) {
	total, count := 0.0, 0
	for i, v := range report {
		expected := e.level[i] + e.trend[i]
		if deviation := e.noise * expected; deviation > 0 {
			ratio := (v - expected) / deviation
			total += min(ratio*ratio, errorRatioCap)
			count++
		}
	}
	if count > 0 {
		e.errorRatio += errorRatioGain * (total/float64(count) - e.errorRatio)
	}
	e.gain = min(max(levelGain, levelGain*e.errorRatio*errorRatioWeight), maxLevelGain)
}

// smooth updates the level, trend and estimate of a value. After a restart the
// level is the plain mean of the reports, until there are so many that 1/n is
// below the gain; the trend is updated only from then on.
func (e *Estimator) smooth(i int, value float64) {
	e.reportsSeen[i]++
	expected := e.level[i] + e.trend[i]
	gain := max(e.gain, 1/e.reportsSeen[i])
	e.level[i] = expected + gain*(value-expected)
	if gain == e.gain {
		e.trend[i] += gain * gain / (2 - gain) * (value - expected)
	}
	e.values[i] = max(0, e.level[i]+e.lookahead*e.trend[i])
}

// updateNoise estimates the noise from the median change between consecutive
// reports.
func (e *Estimator) updateNoise(report []float64) {
	const medianToDeviation = 1.4826 / math.Sqrt2
	e.changes = e.changes[:0]
	for i, v := range report {
		if scale := (v + e.lastReport[i]) / 2; scale > 0 {
			e.changes = append(e.changes, math.Abs(v-e.lastReport[i])/scale)
		}
	}
	copy(e.lastReport, report)
	if len(e.changes) == 0 {
		return
	}
	slices.Sort(e.changes)
	observed := e.changes[len(e.changes)/2] * medianToDeviation
	e.noise = max(noiseFloor, e.noise+noiseGain*(observed-e.noise))
}
