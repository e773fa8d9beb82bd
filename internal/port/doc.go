// Package port names what quetzalbend needs from outside: the platform's log,
// its list of VMs, its weight store, and a clock. Adapters under
// internal/adapter implement these interfaces; decisions under internal/core
// use none of them.
package port
