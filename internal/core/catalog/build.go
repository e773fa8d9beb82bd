package catalog

import (
	"slices"

	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// Build returns the catalog of a snapshot.
func Build(snapshot *settings.Snapshot) *Catalog {
	return Rebuild(nil, snapshot)
}

// Rebuild returns the catalog of a snapshot and reuses what has not changed
// since previous, which may be nil. A path whose accepted value cannot be read
// keeps the value that previous had for it.
func Rebuild(previous *Catalog, snapshot *settings.Snapshot) *Catalog {
	if previous == nil {
		previous = &Catalog{}
	}
	c := &Catalog{Offset: snapshot.Offset()}
	entries := snapshot.List("/")
	c.items = make([]item, 0, len(entries))
	var accountsChanged bool
	old := previous.items
	for _, entry := range entries {
		for len(old) > 0 && old[0].path < entry.Path {
			accountsChanged = accountsChanged || isAccount(old[0].value)
			old = old[1:]
		}
		var before *item
		if len(old) > 0 && old[0].path == entry.Path {
			before = &old[0]
			old = old[1:]
		}
		now := newItem(entry, before)
		if before == nil || before.value != now.value {
			accountsChanged = accountsChanged || isAccount(now.value)
		}
		c.items = append(c.items, now)
	}
	accountsChanged = accountsChanged || slices.ContainsFunc(old, func(i item) bool { return isAccount(i.value) })
	c.index()
	if accountsChanged || previous.AccountByToken == nil {
		c.indexAccounts()
	} else {
		c.AccountByToken = previous.AccountByToken
	}
	return c
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
	switch value := i.value.(type) {
	case *schema.Domain:
		c.Domains[i.name.Name] = *value
	case *schema.Operator:
		if _, taken := c.Operators[value.TokenSHA256]; !taken {
			c.Operators[value.TokenSHA256] = *value
			c.OperatorNames[value.TokenSHA256] = i.name.Name
		}
	case *schema.Group:
		c.Groups[i.name.Name] = *value
	case *schema.Team:
		c.Teams[i.name.Name] = *value
	case *schema.Model:
		c.Models[i.name] = *value
	case *Target:
		c.Targets[value.Name] = value
	case *Workload:
		c.Workloads[i.name] = value
	case *Service:
		c.Services[i.name] = value
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

// indexAccounts lists accounts by token. If two accounts have one token, the
// first in path order keeps it.
func (c *Catalog) indexAccounts() {
	c.AccountByToken = make(map[string]*Account, len(c.items))
	for i := range c.items {
		account, ok := c.items[i].value.(*Account)
		if !ok {
			continue
		}
		if _, taken := c.AccountByToken[account.TokenSHA256]; !taken {
			c.AccountByToken[account.TokenSHA256] = account
		}
	}
}
