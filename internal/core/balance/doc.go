// Package balance decides on which ranks of a lock-step group the experts of a
// layer are placed, how many replicas each expert has, and which share of an
// expert's load each replica gets. It uses no clock and does no I/O.
//
// Loads may be in any unit, such as tokens per step, that is the same for all
// experts of a layer. Speeds are relative: a rank of speed 0.5 needs twice the
// time.
//
// Package mapgroup plans with this package the maps that the agents of package
// internal/app/agent agree on by the protocol of package expertmap. The
// counterpart for changes that a gateway leads is package expertplan.
package balance
