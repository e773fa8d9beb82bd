// Package agent implements the agent on each target VM. Calls reach the target
// only through its agent: entries send it calls, and it admits them, runs them on
// the engine or service and streams the answers back.
//
// The program is quetzalbend-agent. The entries are in package internal/app/entry.
// For a target that is a rank of a lock-step group, it also changes the expert map
// by agreement with the agents of the other ranks (see package mapgroup). Package
// internal/app/rankagent is another program, through which gateways read the state
// of ranks and send them orders.
package agent
