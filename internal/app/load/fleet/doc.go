// Package fleet runs entries, agents and stand-ins in one process for
// experiments: several failure domains on loopback, which can be cut off or
// killed, behind a load balancer that polls the entries' readiness.
package fleet
