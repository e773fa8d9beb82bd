// Package expertplan places the experts of a lock-step group on its ranks. Each
// set of experts is balanced by itself: a pass takes, set by set, as long as its
// most loaded rank, and the ranks that hold an expert share its load evenly.
package expertplan
