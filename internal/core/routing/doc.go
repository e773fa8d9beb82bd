// Package routing picks the target that gets a request. It is pure: the views
// of targets, the time and the random numbers come in as parameters.
//
// An entry considers only a bounded subset of the targets that serve a
// workload, so that many entries and targets need no full mesh of connections.
package routing
