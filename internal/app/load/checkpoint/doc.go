// Package checkpoint compares the costs of two ways to preserve settings in a
// log whose records expire: checkpoints of the whole state, and carrying single
// live records forward (appending them again) before they expire.
package checkpoint
