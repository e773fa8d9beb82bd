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
	out := a.isOut(current)
	if a.out.Swap(out) != out {
		log.WithFields(log.Fields{"target": a.config.Name, "out": out, "offset": current.Offset}).Info("settings changed the target's state")
		a.updateGate()
	}
}

func (a *Agent) configureGate(target *catalog.Target) {
	a.gate.update(func(c *admission.Controller, _ time.Time) {
		c.Configure(admission.Config{ColdLimit: target.ColdLimit, MaxLimit: target.MaxLimit, Queue: target.Queue})
	})
}

// isOut reports whether the settings keep new work from this target: by its own
// state, or by that of its failure domain according to the start-up file or the
// settings.
func (a *Agent) isOut(view *catalog.Catalog) bool {
	if view.Domains[a.config.FailureDomain].State == schema.Out {
		return true
	}
	target, known := view.Targets[a.config.Name]
	return known && !target.Serving()
}

// refusesNewWork reports whether the target is leaving for any reason.
func (a *Agent) refusesNewWork() bool {
	return a.leaving.Load() || a.out.Load() || a.vmLeaving.Load()
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
		a.gate.update(func(c *admission.Controller, _ time.Time) { c.RampUp() })
		a.gate.close("")
	}
}
