// Package ranks is a stand-in for the engines of a lock-step group. It simulates
// all ranks of a group in one process and counts how often a rank used another map
// than the first rank in the same step.
package ranks
