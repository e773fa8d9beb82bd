package agent

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/core/admission"
)

const (
	hurriedInterval  = 5 * time.Millisecond // between two reports that are waited for
	idleIntervals    = 5                    // report intervals between two reports while nothing runs
	reportResolution = time.Millisecond     // of the age that a report gives
)

// followLoad reads the engine's load until ctx ends: at the set interval while
// requests run, at once when some wait for news, and seldom otherwise.
func (a *Agent) followLoad(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		works := a.readLoad(ctx)
		if works != reachable {
			reachable = works
			a.reachable(works)
		}
		a.watchStall()
		a.waitForLoad(ctx)
	}
}

// watchStall keeps new calls from a target whose streams do not advance.
func (a *Agent) watchStall() {
	stalled := a.gate.stalled()
	if a.stalled.Swap(stalled) == stalled {
		return
	}
	a.closeGate()
	log.WithFields(log.Fields{"target": a.config.Name, "stalled": stalled}).Warn("the engine's streams changed their pace")
}

func (a *Agent) waitForLoad(ctx context.Context) {
	interval := milliseconds(a.config.LoadIntervalMS)
	if view := a.gate.view(); view.Running == 0 && !view.AwaitingReport {
		interval *= idleIntervals
	}
	hurried := time.NewTimer(min(hurriedInterval, interval))
	defer hurried.Stop()
	select {
	case <-hurried.C:
	case <-ctx.Done():
		return
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.gate.news:
	case <-ctx.Done():
	}
}

// readLoad brings one report to the gate and reports whether it came.
func (a *Agent) readLoad(ctx context.Context) bool {
	asked := time.Now()
	load, err := a.engine.Load(ctx)
	if err != nil {
		return ctx.Err() != nil
	}
	a.gate.update(func(c *admission.Controller, now time.Time) {
		c.Observe(now, admission.Report{
			Incarnation: load.Incarnation,
			Load:        load.Running + load.Waiting,
			Cold:        load.Cold,
			Sampled:     asked.Add(-milliseconds(load.ReportAgeMS) - reportResolution),
		})
	})
	return true
}

// reachable notes whether the engine answers at all. One that does not gets no
// calls, so that entries try other targets at once.
func (a *Agent) reachable(works bool) {
	a.unreachable.Store(!works)
	a.closeGate()
	entry := log.WithField("target", a.config.Name)
	if works {
		entry.Info("the engine answers")
		return
	}
	entry.Warn("the engine does not answer")
}
