package ranks

import (
	"math/rand/v2"

	"quetzalbend/internal/core/balance"
)

// Load is the expert load of a group as a function of the step, and how engines
// report it.
type Load struct {
	Shape  balance.Shape
	At     func(step int64) (loads [][]float64, speeds []float64)
	Lag    int64   // age of a report in steps
	Every  int64   // steps between reports
	Noise  float64 // relative standard deviation of a reported load
	Random *rand.Rand
}

// Report is a load report, which lags behind and is noisy.
type Report struct {
	Loads  [][]float64 `json:"loads"`  // by layer and expert
	Speeds []float64   `json:"speeds"` // by rank
	Step   int64       `json:"step"`   // step at which the loads were measured
}

// meter measures the skew of the steps that a group runs: the ratio of the
// slowest rank's time to the average rank's.
type meter struct {
	load    Load
	version int64
	layers  []balance.Map
	report  *Report
	skewSum float64
	steps   int64
}

// measure adds the skew of one step, which used a map, to the sum.
func (m *meter) measure(step, version int64, payload []byte) {
	if m.layers == nil || version != m.version {
		layers, err := balance.DecodeLayers(payload, m.load.Shape)
		if err != nil {
			return
		}
		m.layers, m.version = layers, version
	}
	loads, speeds := m.load.At(step)
	slowest, mean := 0.0, 0.0
	for l, layer := range m.layers {
		slowest += m.load.Shape.Slowest(layer, loads[l], speeds)
		mean += balance.MeanTime(loads[l], speeds)
	}
	m.skewSum += slowest / mean
	m.steps++
	m.updateReport(step)
}

// updateReport replaces the report if a new one is due at a step.
func (m *meter) updateReport(step int64) {
	if step%m.load.Every != 0 || step < m.load.Lag {
		return
	}
	loads, speeds := m.load.At(step - m.load.Lag)
	report := &Report{Step: step - m.load.Lag, Speeds: append([]float64(nil), speeds...)}
	for _, layer := range loads {
		noisy := make([]float64, len(layer))
		for e, l := range layer {
			noisy[e] = max(0, l*(1+m.load.Noise*m.load.Random.NormFloat64()))
		}
		report.Loads = append(report.Loads, noisy)
	}
	m.report = report
}

// SetLoad sets the load that the group's engines report and whose skew is
// measured.
func (g *Group) SetLoad(load Load) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.meter = &meter{load: load}
}

// Report returns the newest load report, or false before there is one.
func (g *Group) Report() (Report, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.meter == nil || g.meter.report == nil {
		return Report{}, false
	}
	return *g.meter.report, true
}
