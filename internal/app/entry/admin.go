package entry

import (
	"net/http"
	"time"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/metrics"
)

// newAdminHandler returns the handler of this entry's administration API.
func (e *Entry) newAdminHandler() http.Handler {
	return adminhttp.NewHandler(adminhttp.Config{
		Node:                         e.cfg.Name,
		FailureDomain:                e.cfg.FailureDomain,
		BootstrapOperatorTokenSHA256: e.cfg.BootstrapOperatorTokenSHA256,
		Settings:                     e.node,
		Catalog:                      e.tables.catalog,
		Targets:                      e.tables.loads,
		Explain:                      e.tables.explain,
		Counter:                      adminRefusals{e.registry},
	})
}

// explain returns how this entry rates the targets for a kind of request.
func (t *tables) explain(asked adminhttp.RouteQuery) []routing.Explanation {
	table := t.Table()
	if table == nil {
		return nil
	}
	pool := table.Model(asked.Name)
	if asked.Kind == schema.ServiceTarget {
		pool = table.Service(asked.Name)
	}
	return pool.Explain(&routing.Query{Class: asked.Class, Now: time.Now()})
}

// loads returns the state of those targets that this entry has a load report of.
func (t *tables) loads() map[string]adminhttp.Load {
	current := t.catalog()
	if current == nil {
		return nil
	}
	now := time.Now()
	loads := make(map[string]adminhttp.Load)
	for name := range current.Targets {
		state := t.states.Get(name)
		if report, ok := state.LastReport(); ok {
			loads[name] = loadOf(state, report, now)
		}
	}
	return loads
}

func loadOf(state *routing.State, report routing.Report, now time.Time) adminhttp.Load {
	return adminhttp.Load{
		Reachable:       !state.Avoided(now),
		Cold:            report.Cold,
		Leaving:         state.Leaving(now),
		Running:         report.Running,
		Queued:          report.Queued,
		Limit:           report.Limit,
		FirstTokenMS:    report.FirstTokenMS,
		BetweenTokensMS: report.BetweenTokensMS,
	}
}

// adminRefusals counts the requests that the administration API refuses.
type adminRefusals struct{ metrics *metrics.Registry }

// Refused implements adminhttp.Counter.
func (r adminRefusals) Refused(code string) {
	r.metrics.Refused("admin_"+code, metrics.Key{})
}
