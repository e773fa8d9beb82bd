// Package expertplan places the experts of a lock-step group on its ranks. Each
// set of experts is balanced on its own: a step takes, for each set, as long as
// the rank with the highest load in that set. The ranks that hold an expert share
// its load evenly.
//
// Package maplead plans with this package the maps that a gateway puts in force by
// orders (see package mapchange). The counterpart for changes on which agents
// agree among themselves is package balance.
package expertplan
