// Package expertplan places the experts of a lock-step group on its ranks. Each
// set of experts is balanced on its own: a step takes, for each set, as long as
// the rank with the highest load in that set. The ranks that hold an expert share
// its load evenly.
package expertplan
