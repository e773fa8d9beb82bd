package catalog

import (
	"slices"
	"strings"

	"quetzalbend/internal/core/schema"
)

// View returns the settings of the catalog in the form that the schema's checks use.
func (c *Catalog) View() schema.View { return view{c} }

// view implements schema.View. Some methods search all settings: they are called for
// writes, which are rare.
type view struct{ catalog *Catalog }

// Domain implements schema.View.
func (v view) Domain(name string) bool {
	_, ok := v.catalog.Domains[name]
	return ok
}

// Team implements schema.View.
func (v view) Team(name string) (schema.Team, bool) {
	team, ok := v.catalog.Teams[name]
	return team, ok
}

// Target implements schema.View.
func (v view) Target(name string) (schema.Target, string, bool) {
	target, ok := v.catalog.Targets[name]
	if !ok {
		return schema.Target{}, "", false
	}
	return target.Target, target.Path, true
}

// Group implements schema.View.
func (v view) Group(name string) (schema.Group, string, bool) {
	group, ok := v.catalog.Groups[name]
	return group, v.catalog.GroupPaths[name], ok
}

// Model implements schema.View.
func (v view) Model(team, name string) (schema.Model, bool) {
	model, ok := v.catalog.Models[TeamName{team, name}]
	return model, ok
}

// Declared implements schema.View.
func (v view) Declared(kind schema.TargetKind, team, name string) bool {
	if kind == schema.ServiceTarget {
		return declared(v.catalog.Services, team, name)
	}
	return declared(v.catalog.Models, team, name)
}

// declared reports whether a team has declared a name. Without a team, it reports
// whether any team has.
func declared[T any](declared map[TeamName]T, team, name string) bool {
	if team != "" {
		_, ok := declared[TeamName{team, name}]
		return ok
	}
	for key := range declared {
		if key.Name == name {
			return true
		}
	}
	return false
}

// Served implements schema.View.
func (v view) Served(kind schema.TargetKind, team, name string) bool {
	servesTeam := func(t *Target) bool { return t.Team == "" || t.Team == team }
	for _, target := range v.catalog.Targets {
		if target.Kind == kind && servesTeam(target) && slices.Contains(target.Serves, name) {
			return true
		}
	}
	return false
}

// TokenOwner implements schema.View.
func (v view) TokenOwner(tokenSHA256 string) (string, bool) {
	if path, ok := v.catalog.accounts.path(tokenSHA256); ok {
		return path, true
	}
	if _, ok := v.catalog.Operators[tokenSHA256]; !ok {
		return "", false
	}
	for _, item := range v.catalog.items {
		if operator, ok := item.value.(*schema.Operator); ok && operator.TokenSHA256 == tokenSHA256 {
			return item.path, true
		}
	}
	return "", false
}

// AgentOwner implements schema.View.
func (v view) AgentOwner(address string) (string, bool) {
	for _, item := range v.catalog.items {
		if target, ok := item.value.(*Target); ok && target.Agent == address {
			return item.path, true
		}
	}
	return "", false
}

// Dependents implements schema.View.
func (v view) Dependents(path schema.Path) []string {
	var dependents []string
	for _, item := range v.catalog.items {
		if uses(item, path) {
			dependents = append(dependents, item.path)
		}
	}
	return dependents
}

// uses reports whether an item refers to path or lies below it.
func uses(it item, path schema.Path) bool {
	switch value := it.value.(type) {
	case *Target:
		return targetUses(value, path)
	case *schema.Group:
		return path.Kind == schema.KindTarget && slices.Contains(value.Ranks, path.Name)
	case *schema.Operator:
		return path.Kind == schema.KindTeam && value.Subtree == "/teams/"+path.Name
	case *Workload:
		if path.Kind == schema.KindModel && value.Team == path.Team && value.Model == path.Name {
			return true
		}
		if path.Kind == schema.KindGroup && value.Group == path.Name {
			return true
		}
	}
	return path.Kind == schema.KindTeam && strings.HasPrefix(it.path, "/teams/"+path.Name+"/")
}

// targetUses reports whether a target refers to path. A target without a team does
// not refer to any team's model or service.
func targetUses(target *Target, path schema.Path) bool {
	switch path.Kind {
	case schema.KindDomain:
		return target.FailureDomain == path.Name
	case schema.KindTeam:
		return target.Team == path.Name
	case schema.KindModel:
		return target.Kind == schema.ModelTarget && target.Team == path.Team && slices.Contains(target.Serves, path.Name)
	case schema.KindService:
		return target.Kind == schema.ServiceTarget && target.Team == path.Team && slices.Contains(target.Serves, path.Name)
	}
	return false
}
