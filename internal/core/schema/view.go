package schema

// View holds the settings that a value may refer to.
type View interface {
	Domain(name string) bool
	Team(name string) (Team, bool)
	// Target returns a target and its path.
	Target(name string) (target Target, path string, ok bool)
	// Group returns a group and its path.
	Group(name string) (group Group, path string, ok bool)
	Model(team, name string) (Model, bool)
	// Declared reports whether the team, or any team if team is empty, declares a
	// model or service.
	Declared(kind TargetKind, team, name string) bool
	// Served reports whether any target serves the team's model or service.
	Served(kind TargetKind, team, name string) bool
	// TokenOwner returns the path of the account or operator with this token.
	TokenOwner(tokenSHA256 string) (path string, ok bool)
	// AgentOwner returns the path of the target with this agent address.
	AgentOwner(address string) (path string, ok bool)
	// Dependents returns the paths that refer to a path or are below it.
	Dependents(path Path) []string
}
