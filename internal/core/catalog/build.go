package catalog

import (
	"maps"
	"slices"

	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// Build returns the catalog of a snapshot.
func Build(snapshot *settings.Snapshot) *Catalog {
	return Rebuild(nil, snapshot)
}

// Rebuild returns the catalog of a snapshot and reuses what has not changed since
// previous, which may be nil. A path whose accepted value cannot be read keeps its
// value in previous. Whether an entry has changed is decided by its path and version
// alone, not by the snapshot's offset: an agent's snapshots hold only a part of the
// settings, which may grow by entries older than the previous snapshot.
func Rebuild(previous *Catalog, snapshot *settings.Snapshot) *Catalog {
	if previous == nil {
		previous = &Catalog{snapshot: settings.NewSnapshot(settings.NoOffset, nil)}
	}
	c := &Catalog{Offset: snapshot.Offset(), snapshot: snapshot}
	items, accounts := mergeItems(previous.items, snapshot)
	c.items = items
	c.accounts = previous.accounts.updated(previous, c, accounts)
	c.index()
	return c
}

// mergeItems returns the items of a snapshot and, separately, the accounts that are
// new or have changed. Unchanged items are reused.
func mergeItems(items []item, snapshot *settings.Snapshot) ([]item, []changedAccount) {
	merged := make([]item, 0, snapshot.Len())
	var accounts []changedAccount
	for entry := range snapshot.All() {
		for len(items) > 0 && items[0].path < entry.Path {
			items = items[1:]
		}
		var previous *item
		if len(items) > 0 && items[0].path == entry.Path {
			previous = &items[0]
		}
		if previous != nil && previous.version == entry.Version {
			merged = append(merged, *previous)
			continue
		}
		changed, account := newItem(entry, previous)
		merged = append(merged, changed)
		if isAccountPath(entry.Path) {
			accounts = append(accounts, changedAccount{path: entry.Path, account: account})
		}
	}
	return merged, accounts
}

// index fills all indexes except that of the accounts.
func (c *Catalog) index() {
	c.Teams = make(map[string]schema.Team)
	c.Domains = make(map[string]schema.Domain)
	c.Groups = make(map[string]schema.Group)
	c.GroupPaths = make(map[string]string)
	c.Targets = make(map[string]*Target)
	c.Models = make(map[TeamName]schema.Model)
	c.Workloads = make(map[TeamName]*Workload)
	c.Services = make(map[TeamName]*Service)
	c.Operators = make(map[string]schema.Operator)
	c.OperatorNames = make(map[string]string)
	for i := range c.items {
		c.indexItem(&c.items[i])
	}
	c.markDomainOut()
	c.indexModelAndServiceTargets()
}

func (c *Catalog) indexItem(it *item) {
	if it.unreadable {
		c.Unreadable = append(c.Unreadable, it.path)
	}
	if it.value == nil {
		return
	}
	name := it.name()
	switch value := it.value.(type) {
	case *schema.Domain:
		c.Domains[name.Name] = *value
	case *schema.Operator:
		if _, taken := c.Operators[value.TokenSHA256]; !taken {
			c.Operators[value.TokenSHA256] = *value
			c.OperatorNames[value.TokenSHA256] = name.Name
		}
	case *schema.Group:
		if _, taken := c.Groups[name.Name]; taken {
			c.Unreadable = append(c.Unreadable, it.path)
			return
		}
		c.Groups[name.Name] = *value
		c.GroupPaths[name.Name] = it.path
	case *schema.Team:
		c.Teams[name.Name] = *value
	case *schema.Model:
		c.Models[name] = *value
	case *Target:
		if _, taken := c.Targets[value.Name]; taken {
			c.Unreadable = append(c.Unreadable, it.path)
			return
		}
		c.Targets[value.Name] = value
	case *Workload:
		c.Workloads[name] = value
	case *Service:
		c.Services[name] = value
	}
}

// markDomainOut sets Target.DomainOut. The previous catalog may hold the same
// target, so a target that changes is copied.
func (c *Catalog) markDomainOut() {
	for i := range c.items {
		target, ok := c.items[i].value.(*Target)
		if !ok || c.Targets[target.Name] != target {
			continue
		}
		out := c.Domains[target.FailureDomain].State == schema.Out
		if out == target.DomainOut {
			continue
		}
		changed := *target
		changed.DomainOut = out
		c.items[i].value = &changed
		c.Targets[target.Name] = &changed
	}
}

// indexModelAndServiceTargets lists the targets of each model and service in name order.
func (c *Catalog) indexModelAndServiceTargets() {
	c.ModelTargets = make(map[TeamName][]*Target)
	c.ServiceTargets = make(map[TeamName][]*Target)
	modelTeams := teamsByName(c.Models)
	serviceTeams := teamsByName(c.Services)
	for _, name := range slices.Sorted(maps.Keys(c.Targets)) {
		target := c.Targets[name]
		if target.Kind == schema.ServiceTarget {
			addTarget(c.ServiceTargets, serviceTeams, target)
		} else {
			addTarget(c.ModelTargets, modelTeams, target)
		}
	}
}

// addTarget adds target under its own team or, if it has none, under each team
// that declares what it serves.
func addTarget(index map[TeamName][]*Target, teams map[string][]string, target *Target) {
	for _, name := range target.Serves {
		owners := teams[name]
		if target.Team != "" {
			owners = []string{target.Team}
		}
		for _, team := range owners {
			key := TeamName{Team: team, Name: name}
			index[key] = append(index[key], target)
		}
	}
}

// teamsByName returns the teams that declare each name.
func teamsByName[T any](declared map[TeamName]T) map[string][]string {
	teams := make(map[string][]string)
	for key := range declared {
		teams[key.Name] = append(teams[key.Name], key.Team)
	}
	return teams
}
