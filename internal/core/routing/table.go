package routing

import (
	"sync"

	"quetzalbend/internal/core/catalog"
)

// Config describes the entry that routes.
type Config struct {
	Entry         string // name of the entry
	FailureDomain string // of the entry
	NearSubset    int    // size of the subset from the entry's own failure domain
	FarSubset     int    // size of the subset from all other failure domains together
}

// Member is a target that may be picked, with its state.
type Member struct {
	Target *catalog.Target
	State  *State
}

// Pool holds the targets that an entry considers for one model or service.
type Pool struct {
	Near []*Member // subset from the entry's own failure domain
	Far  []*Member // subset from the others, in rendezvous order of the entry's name
	rest []*Member // serving targets outside both subsets
}

// Table holds the pools of one catalog. Each pool is built when first used.
type Table struct {
	cfg     Config
	catalog *catalog.Catalog
	states  *States

	mu       sync.RWMutex
	models   map[catalog.TeamName]*Pool
	services map[catalog.TeamName]*Pool
}

// NewTable returns the table of a catalog.
func NewTable(cfg Config, cat *catalog.Catalog, states *States) *Table {
	return &Table{
		cfg:      cfg,
		catalog:  cat,
		states:   states,
		models:   make(map[catalog.TeamName]*Pool),
		services: make(map[catalog.TeamName]*Pool),
	}
}

// Catalog returns the catalog from which the table was made.
func (t *Table) Catalog() *catalog.Catalog { return t.catalog }

// Model returns the pool of a model.
func (t *Table) Model(name catalog.TeamName) *Pool {
	return t.pool(t.models, name, t.catalog.ModelTargets[name])
}

// Service returns the pool of a service.
func (t *Table) Service(name catalog.TeamName) *Pool {
	return t.pool(t.services, name, t.catalog.ServiceTargets[name])
}

func (t *Table) pool(pools map[catalog.TeamName]*Pool, name catalog.TeamName, targets []*catalog.Target) *Pool {
	t.mu.RLock()
	pool, ok := pools[name]
	t.mu.RUnlock()
	if ok {
		return pool
	}
	pool = t.build(targets)
	t.mu.Lock()
	defer t.mu.Unlock()
	pools[name] = pool
	return pool
}

func (t *Table) build(targets []*catalog.Target) *Pool {
	pool := &Pool{}
	for _, target := range RendezvousOrder(t.cfg.Entry, targets) {
		if !target.Serving() {
			continue
		}
		member := &Member{Target: target, State: t.states.Get(target.Name)}
		pool.add(member, t.cfg)
	}
	return pool
}

func (p *Pool) add(member *Member, cfg Config) {
	near := member.Target.FailureDomain == cfg.FailureDomain
	switch {
	case near && len(p.Near) < cfg.NearSubset:
		p.Near = append(p.Near, member)
	case !near && len(p.Far) < cfg.FarSubset:
		p.Far = append(p.Far, member)
	default:
		p.rest = append(p.rest, member)
	}
}

// ForKey returns the serving targets of a service in the order in which a call that
// may not be repeated tries them. All entries compute the same order for the call's
// idempotency key.
func (t *Table) ForKey(name catalog.TeamName, key string) []*Member {
	var members []*Member
	for _, target := range RendezvousOrder(key, t.catalog.ServiceTargets[name]) {
		if target.Serving() {
			members = append(members, &Member{Target: target, State: t.states.Get(target.Name)})
		}
	}
	return members
}
