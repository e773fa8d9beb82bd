package catalog

import (
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// Account is an account with its name and team.
type Account struct {
	Name string
	Team string
	schema.Account
}

// Workload is a workload with its name and team.
type Workload struct {
	Name string
	Team string
	schema.Workload
}

// Service is a service with its name and team.
type Service struct {
	Name string
	Team string
	schema.Service
}

// Target is a target with its name and path. Team is set to the path's.
type Target struct {
	Name string
	Path string
	schema.Target
	DomainOut bool // its failure domain is out
}

// Serving reports whether the target may get new work by the settings.
func (t *Target) Serving() bool { return t.State != schema.Out && !t.DomainOut }

// TeamName names something within a team.
type TeamName struct {
	Team string
	Name string
}

// Catalog is immutable. Accounts, of which there may be many, are read from the
// snapshot when they are asked for; see Catalog.Account.
type Catalog struct {
	Offset         int64 // of the snapshot it was built from
	Teams          map[string]schema.Team
	Domains        map[string]schema.Domain
	Groups         map[string]schema.Group
	GroupPaths     map[string]string // by name
	Targets        map[string]*Target
	Models         map[TeamName]schema.Model
	Workloads      map[TeamName]*Workload
	Services       map[TeamName]*Service
	ModelTargets   map[TeamName][]*Target     // by team and model, in name order
	ServiceTargets map[TeamName][]*Target     // by team and service, in name order
	Operators      map[string]schema.Operator // by hex SHA-256 of the token
	OperatorNames  map[string]string          // by hex SHA-256 of the token
	Unreadable     []string                   // paths whose accepted value this version cannot read, or whose name an earlier path has

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
