package agent

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/schema"
)

// catalog returns the settings in force, nil before the first ones came.
func (a *Agent) catalog() *catalog.Catalog { return a.view.Load() }

// followSettings keeps the catalog at the newest settings until ctx ends.
func (a *Agent) followSettings(ctx context.Context) {
	if a.rank != nil {
		defer a.rank.close()
	}
	for {
		changed := a.settings.Changed()
		if snapshot := a.settings.Snapshot(); snapshot != nil {
			a.takeCatalog(catalog.Rebuild(a.view.Load(), snapshot))
			if a.rank != nil {
				a.rank.follow(ctx, a.view.Load())
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// takeCatalog puts settings in force.
func (a *Agent) takeCatalog(view *catalog.Catalog) {
	a.view.Store(view)
	if target, known := view.Targets[a.config.Name]; known {
		a.configureGate(target)
	}
	out := a.isOut(view)
	if a.out.Swap(out) != out {
		log.WithFields(log.Fields{"target": a.config.Name, "out": out, "offset": view.Offset}).Info("settings changed the target's state")
		a.closeGate()
	}
}

func (a *Agent) configureGate(target *catalog.Target) {
	a.gate.update(func(c *admission.Controller, _ time.Time) {
		c.Configure(admission.Config{ColdLimit: target.ColdLimit, MaxLimit: target.MaxLimit, Queue: target.Queue})
	})
}

// isOut reports whether the settings keep new work from this target: its own
// state, or that of the failure domain it is in by either account.
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

// closeGate closes the gate for the weightiest reason there is, or opens it;
// the target then ramps up from the cold limit.
func (a *Agent) closeGate() {
	a.closing.Lock()
	defer a.closing.Unlock()
	a.streams.set(a.refusesNewWork())
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
