package agent

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/schema"
)

// catalog returns the settings in force, or nil before the first ones arrive.
func (a *Agent) catalog() *catalog.Catalog { return a.current.Load() }

// followSettings applies each new snapshot of the settings until ctx ends.
func (a *Agent) followSettings(ctx context.Context) {
	if a.rank != nil {
		defer a.rank.close()
	}
	for {
		changed := a.settings.Changed()
		if snapshot := a.settings.Snapshot(); snapshot != nil {
			a.applyCatalog(catalog.Rebuild(a.current.Load(), snapshot))
			if a.rank != nil {
				a.rank.update(ctx, a.current.Load())
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyCatalog puts new settings in force.
func (a *Agent) applyCatalog(current *catalog.Catalog) {
	a.current.Store(current)
	if target, known := current.Targets[a.config.Name]; known {
		a.configureGate(target)
	}
	takenOut := a.isTakenOut(current)
	if a.takenOut.Swap(takenOut) != takenOut {
		log.WithFields(log.Fields{"target": a.config.Name, "out": takenOut, "offset": current.Offset}).Info("settings changed the target's state")
		a.updateGate()
	}
}

func (a *Agent) configureGate(target *catalog.Target) {
	a.gate.updateAndStart(func(c *admission.Controller, _ time.Time) {
		c.Configure(admission.Config{ColdLimit: target.ColdLimit, MaxLimit: target.MaxLimit, Queue: target.Queue})
	})
}

// isTakenOut reports whether the settings take this target out: by its own state,
// or by the state of its failure domain. The start-up file and the target's
// setting both name a failure domain, and either one counts.
func (a *Agent) isTakenOut(view *catalog.Catalog) bool {
	if view.Domains[a.config.FailureDomain].State == schema.Out {
		return true
	}
	target, known := view.Targets[a.config.Name]
	return known && !target.Serving()
}

// refusesNewWork reports whether the target gets no new work, because the agent
// is shutting down, the settings take the target out, or the platform lists the
// VM as leaving. Entries are then told that the target is leaving.
func (a *Agent) refusesNewWork() bool {
	return a.shuttingDown.Load() || a.takenOut.Load() || a.vmLeaving.Load()
}

// updateGate closes the gate for the most important reason that holds, or opens
// it if there is none. An opened gate ramps up from the cold limit.
func (a *Agent) updateGate() {
	a.gateLock.Lock()
	defer a.gateLock.Unlock()
	a.streams.setLeaving(a.refusesNewWork())
	switch {
	case a.refusesNewWork():
		a.gate.close(reasonLeaving)
	case a.unreachable.Load():
		a.gate.close(reasonUnreachable)
	case a.stalled.Load():
		a.gate.close(reasonStalled)
	default:
		a.gate.updateAndStart(func(c *admission.Controller, _ time.Time) { c.RampUp() })
		a.gate.close("")
	}
}
