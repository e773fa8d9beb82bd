// Package routing picks the target that gets a request. It does no I/O and reads
// no clock: the states of targets, the time and random numbers are parameters.
//
// An entry first considers a bounded subset of the targets that serve a workload,
// so that many entries and targets need no full mesh of connections.
package routing
