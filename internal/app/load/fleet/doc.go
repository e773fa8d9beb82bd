// Package fleet runs entries, agents and stand-ins in one process for
// experiments: several failure domains on loopback, which can be cut off or
// killed, with callers in front and a balancer that follows readiness.
package fleet
