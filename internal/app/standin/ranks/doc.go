// Package ranks is a stand-in for the engines of a lock-step group. It simulates
// all ranks of a group in one process and counts the steps in which two ranks
// used different maps.
package ranks
