package skew

import (
	"fmt"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	plotPoints = 1000
)

// draw plots the skew of each policy over the trace and writes the plot to o.Plot.
func draw(o Options, results []Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Step time skew: %d ranks, %d experts, %s", o.Ranks, o.Experts, o.Drift)
	p.X.Label.Text = "step"
	p.Y.Label.Text = "slowest rank / mean"
	p.Legend.Top = true
	for i, r := range results {
		if len(r.trace) == 0 {
			continue
		}
		line, err := plotter.NewLine(points(r.trace, o.ReportSteps))
		if err != nil {
			return errors.Wrap(err, "draw skew")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, o.Plot), "write %s", o.Plot)
}

func points(trace []float64, reportSteps int) plotter.XYs {
	stride := max(1, len(trace)/plotPoints)
	var xys plotter.XYs
	for i := 0; i < len(trace); i += stride {
		xys = append(xys, plotter.XY{X: float64(i * reportSteps), Y: trace[i]})
	}
	return xys
}
