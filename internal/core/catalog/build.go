package catalog

import (
	"slices"
	"strings"

	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// Build returns the catalog of a snapshot.
func Build(snapshot *settings.Snapshot) *Catalog {
	return Rebuild(nil, snapshot)
}

// Rebuild returns the catalog of a snapshot and reuses what has not changed
// since previous, which may be nil and must be of an earlier snapshot. A path
// whose accepted value cannot be read keeps the value that previous had for it.
func Rebuild(previous *Catalog, snapshot *settings.Snapshot) *Catalog {
	if previous == nil {
		previous = &Catalog{Offset: settings.NoOffset, snapshot: settings.NewSnapshot(settings.NoOffset, nil)}
	}
	changed := snapshot.ChangedSince(previous.Offset)
	c := &Catalog{Offset: snapshot.Offset(), snapshot: snapshot}
	items, accounts := mergeItems(previous.items, changed, snapshot.Len())
	c.items = items
	if len(c.items) != snapshot.Len() {
		c.items = slices.DeleteFunc(c.items, func(i item) bool {
			_, exists := snapshot.Get(i.path)
			return !exists
		})
	}
	c.accounts = previous.accounts.next(previous, c, accounts)
	c.index()
	return c
}

// mergeItems returns items with the changed entries in their place, and the
// accounts among these.
func mergeItems(items []item, changed []settings.Entry, length int) ([]item, []changedAccount) {
	merged := make([]item, 0, max(length, len(items)))
	var accounts []changedAccount
	for _, entry := range changed {
		at, exists := slices.BinarySearchFunc(items, entry.Path, func(i item, path string) int {
			return strings.Compare(i.path, path)
		})
		merged = append(merged, items[:at]...)
		items = items[at:]
		var before *item
		if exists {
			before = &items[0]
			items = items[1:]
		}
		now, account := newItem(entry, before)
		merged = append(merged, now)
		if isAccountPath(entry.Path) {
			accounts = append(accounts, changedAccount{path: entry.Path, account: account})
		}
	}
	return append(merged, items...), accounts
}

// index fills everything but the accounts.
func (c *Catalog) index() {
	c.Teams = make(map[string]schema.Team)
	c.Domains = make(map[string]schema.Domain)
	c.Groups = make(map[string]schema.Group)
	c.Targets = make(map[string]*Target)
	c.Models = make(map[TeamName]schema.Model)
	c.Workloads = make(map[TeamName]*Workload)
	c.Services = make(map[TeamName]*Service)
	c.Operators = make(map[string]schema.Operator)
	c.OperatorNames = make(map[string]string)
	for i := range c.items {
		c.indexItem(&c.items[i])
	}
	c.markDomains()
	c.indexServing()
}

func (c *Catalog) indexItem(i *item) {
	if i.unreadable {
		c.Unreadable = append(c.Unreadable, i.path)
	}
	if i.value == nil {
		return
	}
	name := i.name()
	switch value := i.value.(type) {
	case *schema.Domain:
		c.Domains[name.Name] = *value
	case *schema.Operator:
		if _, taken := c.Operators[value.TokenSHA256]; !taken {
			c.Operators[value.TokenSHA256] = *value
			c.OperatorNames[value.TokenSHA256] = name.Name
		}
	case *schema.Group:
		c.Groups[name.Name] = *value
	case *schema.Team:
		c.Teams[name.Name] = *value
	case *schema.Model:
		c.Models[name] = *value
	case *Target:
		c.Targets[value.Name] = value
	case *Workload:
		c.Workloads[name] = value
	case *Service:
		c.Services[name] = value
	}
}

// markDomains sets DomainOut. An earlier catalog may hold the same target, so a
// target that changes is copied.
func (c *Catalog) markDomains() {
	for i := range c.items {
		target, ok := c.items[i].value.(*Target)
		if !ok {
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

// indexServing lists the targets of each model and service in name order.
func (c *Catalog) indexServing() {
	c.ModelTargets = make(map[TeamName][]*Target)
	c.ServiceTargets = make(map[TeamName][]*Target)
	modelTeams := teamsByName(c.Models)
	serviceTeams := teamsByName(c.Services)
	for i := range c.items {
		target, ok := c.items[i].value.(*Target)
		if !ok {
			continue
		}
		if target.Kind == schema.ServiceTarget {
			addServing(c.ServiceTargets, serviceTeams, target)
		} else {
			addServing(c.ModelTargets, modelTeams, target)
		}
	}
}

// addServing adds target under its own team, or, if it has none, under each
// team that declares what it serves.
func addServing(index map[TeamName][]*Target, teams map[string][]string, target *Target) {
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
