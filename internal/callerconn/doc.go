// Package callerconn bounds the connections that callers keep open: the time that one may stay
// idle, which the settings may change while the server runs, and the number of all, so that the
// process has descriptors left for new ones.
package callerconn
