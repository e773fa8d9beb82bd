// Package admission decides which requests run on one target, which wait and
// which are refused. The limit of concurrent requests starts at what a cold
// target bears, grows with finished work and follows latency. Requests whose
// acceptance by a warm engine is not confirmed yet never outnumber the cold
// limit, so an engine that turned cold unnoticed is not overrun either.
//
// The package has no clock and no I/O; a Controller is used under a lock.
package admission
