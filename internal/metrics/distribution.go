package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	gometrics "github.com/rcrowley/go-metrics"
)

// Geometry of the histograms.
const (
	resolution        = 100 * time.Microsecond
	longestDuration   = 20 * time.Minute
	significantDigits = 2
)

// window is how long the observations behind the quantiles are gathered.
const window = time.Minute

// distribution is a histogram of durations in units of resolution. Quantiles
// are those of the last whole window, or of the running one if it is the first.
// Count and sum are over the whole life of the process.
type distribution struct {
	mu       sync.Mutex
	started  time.Time // of the running window
	running  *hdrhistogram.PackedHistogram
	whole    *hdrhistogram.PackedHistogram // nil in the first window
	count    int64
	sum      time.Duration
	maxTicks int64
}

func newDistribution(now time.Time) *distribution {
	return &distribution{started: now, running: newHistogram()}
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

// record adds one value within the histogram's range.
func (d *distribution) record(ticks int64) {
	if err := d.running.RecordValue(ticks); err != nil {
		return
	}
	d.count++
	d.maxTicks = max(d.maxTicks, ticks)
}

// rotate starts a new window if the running one is over.
func (d *distribution) rotate(now time.Time) {
	age := now.Sub(d.started)
	if age < window {
		return
	}
	d.whole = d.running
	if age >= 2*window {
		d.whole = newHistogram()
	}
	d.running = newHistogram()
	d.started = now.Add(-age % window)
}

// quantiles returns the durations at percentiles (0 to 100), the number of
// observations ever and their sum.
func (d *distribution) quantiles(percentiles []float64, now time.Time) ([]time.Duration, int64, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	values := make([]time.Duration, len(percentiles))
	for i, ticks := range d.source().ValueAtPercentilesSlice(percentiles) {
		values[i] = time.Duration(ticks) * resolution
	}
	return values, d.count, d.sum
}

func (d *distribution) source() *hdrhistogram.PackedHistogram {
	if d.whole != nil {
		return d.whole
	}
	return d.running
}

// The methods below implement gometrics.Histogram. Values are in units of
// resolution.

var _ gometrics.Histogram = (*distribution)(nil)

// Clear forgets all observations.
func (d *distribution) Clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running, d.whole = newHistogram(), nil
	d.count, d.sum, d.maxTicks = 0, 0, 0
}

// Count returns the number of observations ever.
func (d *distribution) Count() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// Max returns the largest value ever.
func (d *distribution) Max() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maxTicks
}

// Mean returns the mean of the values in the last window.
func (d *distribution) Mean() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source().Mean()
}

// Min returns the smallest value in the last window.
func (d *distribution) Min() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source().Min()
}

// Percentile returns the value at p (0 to 1) in the last window.
func (d *distribution) Percentile(p float64) float64 { return d.Percentiles([]float64{p})[0] }

// Percentiles returns the values at ps (0 to 1) in the last window.
func (d *distribution) Percentiles(ps []float64) []float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = float64(d.source().ValueAtPercentile(100 * p))
	}
	return values
}

// Sample returns an empty sample: the histogram keeps no single values.
func (d *distribution) Sample() gometrics.Sample { return gometrics.NilSample{} }

// Snapshot returns a copy that no longer changes.
func (d *distribution) Snapshot() gometrics.Histogram {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := &distribution{
		started: d.started, running: d.running.Clone(),
		count: d.count, sum: d.sum, maxTicks: d.maxTicks,
	}
	if d.whole != nil {
		snapshot.whole = d.whole.Clone()
	}
	return snapshot
}

// StdDev returns the standard deviation in the last window.
func (d *distribution) StdDev() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source().StdDev()
}

// Sum returns the sum of all values ever.
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
