// Package agent is the program in the slot on each target VM. It is the only
// way to its target: entries hand it calls, and it admits them, runs them on
// the engine or service and streams the answers back.
package agent
