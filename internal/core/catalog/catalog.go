package catalog

import (
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// Account is the setting of an account with the name and team in its path.
type Account struct {
	Name string
	Team string
	schema.Account
}

// Workload is the setting of a workload with the name and team in its path.
type Workload struct {
	Name string
	Team string
	schema.Workload
}

// Service is the setting of a service with the name and team in its path.
type Service struct {
	Name string
	Team string
	schema.Service
}

// Target is the setting of a target with its name and path. If the path is in a
// team's subtree, Team is that team.
type Target struct {
	Name string
	Path string
	schema.Target
	DomainOut bool // the target's failure domain is out
}

// Serving reports whether the settings allow new work on the target.
func (t *Target) Serving() bool { return t.State != schema.Out && !t.DomainOut }

// TeamName identifies a model, workload or service by its team and name.
type TeamName struct {
	Team string
	Name string
}

// Catalog holds the decoded and indexed settings of a snapshot. It is immutable.
// Accounts, of which there may be many, are decoded from the snapshot on demand; see
// Catalog.Account.
type Catalog struct {
	Offset         int64 // of the snapshot it was built from
	Teams          map[string]schema.Team
	Domains        map[string]schema.Domain
	Groups         map[string]schema.Group
	GroupPaths     map[string]string // by name of the group
	Targets        map[string]*Target
	Models         map[TeamName]schema.Model
	Workloads      map[TeamName]*Workload
	Services       map[TeamName]*Service
	ModelTargets   map[TeamName][]*Target     // by team and model, in name order
	ServiceTargets map[TeamName][]*Target     // by team and service, in name order
	Operators      map[string]schema.Operator // by hex SHA-256 of the token
	OperatorNames  map[string]string          // by hex SHA-256 of the token
	Unreadable     []string                   // paths whose accepted value has no effect: this version cannot read it, or the name is taken by an earlier path

	snapshot *settings.Snapshot
	items    []item // of all paths, in path order
	accounts accountIndex
}

// GroupVersion returns the version of a group's setting.
func (c *Catalog) GroupVersion(name string) int64 {
	entry, ok := c.snapshot.Get(c.GroupPaths[name])
	if !ok {
		return settings.NoOffset
	}
	return entry.Version
}
