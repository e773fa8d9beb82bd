package entry

import (
	"sync"
	"sync/atomic"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// tables holds the routing table of the settings in force.
type tables struct {
	cfg     routing.Config
	states  *routing.States
	current atomic.Pointer[routing.Table]
	mu      sync.Mutex // serializes publish
}

// Table returns the table in force, or nil before the first settings.
func (t *tables) Table() *routing.Table { return t.current.Load() }

// catalog returns the catalog in force, or nil before the first settings.
func (t *tables) catalog() *catalog.Catalog {
	if table := t.Table(); table != nil {
		return table.Catalog()
	}
	return nil
}

// publish puts a snapshot in force if it is newer than the one in force.
func (t *tables) publish(snapshot *settings.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var previous *catalog.Catalog
	if table := t.current.Load(); table != nil {
		previous = table.Catalog()
		if previous.Offset >= snapshot.Offset() {
			return
		}
	}
	cat := catalog.Rebuild(previous, snapshot)
	t.current.Store(routing.NewTable(t.cfg, cat, t.states))
	t.states.Retain(func(target string) bool { return cat.Targets[target] != nil })
}

// notReadyReason returns why the entry is not ready, or "".
func (t *tables) notReadyReason() string {
	table := t.current.Load()
	if table == nil {
		return "no settings yet"
	}
	if table.Catalog().Domains[t.cfg.FailureDomain].State == schema.Out {
		return "the failure domain is out"
	}
	return ""
}
