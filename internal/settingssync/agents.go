package settingssync

import (
	"slices"
	"strings"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/schema"
)

// AgentsOf returns the agents of all targets in name order. Each needs the
// settings of its target and failure domain, of the groups that contain its
// target, of the targets of all ranks in these groups, and of the services that
// its target serves.
func AgentsOf(c *catalog.Catalog) []Agent {
	groups := groupsByTarget(c.Groups)
	services := make(map[string][]string)
	for name := range c.Services {
		services[name.Name] = append(services[name.Name], "/teams/"+name.Team+"/services/"+name.Name)
	}
	agents := make([]Agent, 0, len(c.Targets))
	for name, target := range c.Targets {
		agents = append(agents, Agent{
			Name: name, Addr: target.Agent, FailureDomain: target.FailureDomain,
			Subtrees: func() []string { return subtreesOf(c, target, groups[name], services) },
		})
	}
	slices.SortFunc(agents, func(a, b Agent) int { return strings.Compare(a.Name, b.Name) })
	return agents
}

// groupsByTarget returns the names of the groups that each target is in.
func groupsByTarget(groups map[string]schema.Group) map[string][]string {
	byTarget := make(map[string][]string)
	for name, group := range groups {
		for _, target := range group.Ranks {
			byTarget[target] = append(byTarget[target], name)
		}
	}
	return byTarget
}

// subtreesOf returns the sorted subtrees that one target's agent needs.
func subtreesOf(c *catalog.Catalog, target *catalog.Target, groups []string, services map[string][]string) []string {
	subtrees := []string{"/domains/" + target.FailureDomain, target.Path}
	for _, group := range groups {
		subtrees = append(subtrees, c.GroupPaths[group])
		for _, rank := range c.Groups[group].Ranks {
			if target := c.Targets[rank]; target != nil {
				subtrees = append(subtrees, target.Path)
			}
		}
	}
	if target.Kind == schema.ServiceTarget {
		for _, served := range target.Serves {
			subtrees = append(subtrees, services[served]...)
		}
	}
	slices.Sort(subtrees)
	return slices.Compact(subtrees)
}
