// Package routing picks the target that gets a request. It does no I/O and reads
// no clock: the states of targets, the time and random numbers are parameters.
//
// An entry first considers a bounded subset of the targets that serve a workload,
// so that many entries and targets need no full mesh of connections.
//
// Package dispatch picks targets with it in the entry program (package
// internal/app/entry). The counterpart for gateways is package pick, which
// compares all targets that it is given and keeps no subsets.
package routing
