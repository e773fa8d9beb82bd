// Package rankengine is the client of one rank's engine in a lock-step group:
// its state, its orders and the group's load report, over HTTP.
package rankengine
