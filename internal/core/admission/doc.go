// Package admission decides which requests run on one target, which wait and
// which are refused. The limit of concurrent requests starts at the number that
// a cold target can handle, rises as requests finish and falls when latency
// exceeds its target. If the target reports its load, the requests that are not
// yet confirmed to be in its current incarnation never outnumber the cold limit,
// so that an engine that turned cold unnoticed is not overloaded.
//
// The package reads no clock and does no I/O. A Controller is not safe for
// concurrent use: callers hold a lock.
package admission
