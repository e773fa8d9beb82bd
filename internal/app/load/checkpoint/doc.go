// Package checkpoint compares two ways to keep settings alive in a log whose
// records expire: checkpoints of the whole state, and carrying single live
// records forward before they expire.
package checkpoint
