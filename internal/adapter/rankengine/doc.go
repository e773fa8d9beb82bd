// Package rankengine is the HTTP client of the engine of one rank in a lock-step
// group. It reads the rank's state and the group's load report and sends orders.
package rankengine
