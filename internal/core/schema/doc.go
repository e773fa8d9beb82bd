// Package schema defines the settings that operators write under paths: one
// struct for each kind of path, and the checks that a value must pass before
// it is appended.
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
package schema
