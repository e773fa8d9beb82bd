// Package agent implements the agent on each target VM. Calls reach the target
// only through its agent: entries send it calls, and it admits them, runs them on
// the engine or service and streams the answers back.
package agent
