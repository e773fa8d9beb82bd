package agent

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/core/admission"
)

const (
	minReportInterval  = 5 * time.Millisecond // shortest time between load reports, used while calls wait for one
	idleIntervalFactor = 5                    // by which the interval grows while nothing runs
	reportResolution   = time.Millisecond     // of the age stated in a load report
)

// followLoad reads the engine's load until ctx ends: at the configured interval
// while requests run, sooner when calls wait for a report, and less often while
// nothing runs.
func (a *Agent) followLoad(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		answers := a.readLoad(ctx)
		if answers != reachable {
			reachable = answers
			a.reachable(answers)
		}
		a.updateStalled()
		a.waitForLoad(ctx)
	}
}

// updateStalled closes the gate while the engine's streams do not advance.
func (a *Agent) updateStalled() {
	stalled := a.gate.stalled()
	if a.stalled.Swap(stalled) == stalled {
		return
	}
	a.updateGate()
	log.WithFields(log.Fields{"target": a.config.Name, "stalled": stalled}).Warn("engine stall state changed")
}

// waitForLoad waits until the next load report is due.
func (a *Agent) waitForLoad(ctx context.Context) {
	interval := milliseconds(a.config.LoadIntervalMS)
	if view := a.gate.view(); view.Running == 0 && !view.AwaitingReport {
		interval *= idleIntervalFactor
	}
	shortest := time.NewTimer(min(minReportInterval, interval))
	defer shortest.Stop()
	select {
	case <-shortest.C:
	case <-ctx.Done():
		return
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.gate.reportWanted:
	case <-ctx.Done():
	}
}

// readLoad passes one load report to the gate and reports whether the engine
// answered. An error after ctx has ended counts as an answer.
func (a *Agent) readLoad(ctx context.Context) bool {
	asked := time.Now()
	load, err := a.engine.Load(ctx)
	if err != nil {
		return ctx.Err() != nil
	}
	a.gate.updateAndStart(func(c *admission.Controller, now time.Time) {
		c.Observe(now, admission.Report{
			Incarnation: load.Incarnation,
			Load:        load.Running + load.Waiting,
			Cold:        load.Cold,
			Sampled:     asked.Add(-milliseconds(load.ReportAgeMS) - reportResolution),
		})
	})
	return true
}

// reachable records whether the engine answers. The gate is closed while it does
// not, so that entries try other targets at once.
func (a *Agent) reachable(answers bool) {
	a.unreachable.Store(!answers)
	a.updateGate()
	entry := log.WithField("target", a.config.Name)
	if answers {
		entry.Info("engine is reachable")
		return
	}
	entry.Warn("engine is unreachable")
}
