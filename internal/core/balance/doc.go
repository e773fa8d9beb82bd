// Package balance decides where the experts of a layer are placed on the ranks
// of a lock-step group, how many replicas each has, and which share of an
// expert's load each replica gets. It holds pure decisions: no clock, no I/O.
//
// Loads are in any unit that is the same for all experts of a layer (tokens a
// step, say). Speeds are relative: a rank of speed 0.5 needs twice the time.
package balance
