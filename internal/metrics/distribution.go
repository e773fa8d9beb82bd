package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	gometrics "github.com/rcrowley/go-metrics"
)

// Range and precision of the histograms.
const (
	resolution        = 100 * time.Microsecond
	longestDuration   = 20 * time.Minute // longer durations are recorded as this
	significantDigits = 2
)

// windowLength is the period whose observations the quantiles are taken from.
const windowLength = time.Minute

// distribution is a histogram of durations, which it stores in ticks of one
// resolution. Quantiles are those of the last complete window, or of the current
// window if it is the first. Count, sum and maximum cover the whole life of the
// process.
type distribution struct {
	mu          sync.Mutex
	windowStart time.Time // of the current window
	current     *hdrhistogram.PackedHistogram
	previous    *hdrhistogram.PackedHistogram // nil in the first window
	count       int64
	sum         time.Duration
	maxTicks    int64
}

func newDistribution(now time.Time) *distribution {
	return &distribution{windowStart: now, current: newHistogram()}
}

func newHistogram() *hdrhistogram.PackedHistogram {
	return hdrhistogram.NewPacked(1, int64(longestDuration/resolution), significantDigits)
}

func (d *distribution) observe(duration time.Duration, now time.Time) {
	duration = min(max(duration, 0), longestDuration)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	d.record(int64(duration / resolution))
	d.sum += duration
}

// record adds a value, which must be within the histogram's range.
func (d *distribution) record(ticks int64) {
	if err := d.current.RecordValue(ticks); err != nil {
		return
	}
	d.count++
	d.maxTicks = max(d.maxTicks, ticks)
}

// rotate starts a new window if the current one is over.
func (d *distribution) rotate(now time.Time) {
	age := now.Sub(d.windowStart)
	if age < windowLength {
		return
	}
	d.previous = d.current
	if age >= 2*windowLength {
		d.previous = newHistogram()
	}
	d.current = newHistogram()
	d.windowStart = now.Add(-age % windowLength)
}

// quantiles returns the durations at percentiles (0 to 100), and the number and
// sum of all observations.
func (d *distribution) quantiles(percentiles []float64, now time.Time) ([]time.Duration, int64, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	values := make([]time.Duration, len(percentiles))
	for i, ticks := range d.quantileSource().ValueAtPercentilesSlice(percentiles) {
		values[i] = time.Duration(ticks) * resolution
	}
	return values, d.count, d.sum
}

// quantileSource returns the histogram of the last complete window, or of the
// current window if it is the first.
func (d *distribution) quantileSource() *hdrhistogram.PackedHistogram {
	if d.previous != nil {
		return d.previous
	}
	return d.current
}

// The methods below implement gometrics.Histogram. Values are in ticks. "Last
// window" means the histogram that quantileSource returns.

var _ gometrics.Histogram = (*distribution)(nil)

// Clear removes all observations.
func (d *distribution) Clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current, d.previous = newHistogram(), nil
	d.count, d.sum, d.maxTicks = 0, 0, 0
}

// Count returns the number of all observations.
func (d *distribution) Count() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// Max returns the largest of all values.
func (d *distribution) Max() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maxTicks
}

// Mean returns the mean of the values in the last window.
func (d *distribution) Mean() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quantileSource().Mean()
}

// Min returns the smallest value in the last window.
func (d *distribution) Min() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quantileSource().Min()
}

// Percentile returns the value at p (0 to 1) in the last window.
func (d *distribution) Percentile(p float64) float64 { return d.Percentiles([]float64{p})[0] }

// Percentiles returns the values at ps (0 to 1) in the last window.
func (d *distribution) Percentiles(ps []float64) []float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = float64(d.quantileSource().ValueAtPercentile(100 * p))
	}
	return values
}

// Sample returns an empty sample, as the histogram keeps no individual values.
func (d *distribution) Sample() gometrics.Sample { return gometrics.NilSample{} }

// Snapshot returns a copy that no longer changes.
func (d *distribution) Snapshot() gometrics.Histogram {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := &distribution{
		windowStart: d.windowStart, current: d.current.Clone(),
		count: d.count, sum: d.sum, maxTicks: d.maxTicks,
	}
	if d.previous != nil {
		snapshot.previous = d.previous.Clone()
	}
	return snapshot
}

// StdDev returns the standard deviation in the last window.
func (d *distribution) StdDev() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quantileSource().StdDev()
}

// Sum returns the sum of all values.
func (d *distribution) Sum() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int64(d.sum / resolution)
}

// Update adds one value.
func (d *distribution) Update(ticks int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(min(max(ticks, 0), int64(longestDuration/resolution)))
	d.sum += time.Duration(ticks) * resolution
}

// Variance returns the variance in the last window.
func (d *distribution) Variance() float64 {
	deviation := d.StdDev()
	return deviation * deviation
}
