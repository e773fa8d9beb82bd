// Package settings applies the records of the platform's settings stream, in
// offset order, to the state of all settings. This is deterministic: every
// reader reaches the same verdict on the write at each offset, so concurrent
// writers need no leader.
package settings
