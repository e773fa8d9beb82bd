// Package rankpeers sends messages of the expert map protocol to the other agents
// of a group, over package link, and receives their answers.
package rankpeers
