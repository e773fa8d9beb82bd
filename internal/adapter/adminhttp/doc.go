// Package adminhttp serves the administration API under /admin/v1/: settings by
// path with versions, their history and checks, and the status of nodes and
// targets. docs/API.md describes it.
package adminhttp
