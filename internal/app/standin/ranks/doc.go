// Package ranks is a stand-in for the engines of a lock-step group. It plays
// all ranks of a group in one process and records which map each rank used in
// each step.
package ranks
