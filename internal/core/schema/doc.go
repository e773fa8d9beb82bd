// Package schema defines the settings that operators write at paths: one struct
// for each kind of path, and the checks that a value must pass before it is
// appended to the log.
//
// Paths:
//
//	/domains/{domain}                    Domain
//	/operators/{operator}                Operator
//	/targets/{target}                    Target
//	/groups/{group}                      Group
//	/teams/{team}                        Team
//	/teams/{team}/accounts/{account}     Account
//	/teams/{team}/models/{model}         Model
//	/teams/{team}/workloads/{workload}   Workload
//	/teams/{team}/services/{service}     Service
//	/teams/{team}/targets/{target}       Target of this team only
//	/teams/{team}/groups/{group}         Group of this team's targets
//
// The names of targets are unique over all paths, and so are those of groups.
package schema
