// Package settings folds the records of the platform's settings stream into
// one state. The fold is deterministic: every reader reaches the same verdict
// on the record at each offset, so racing operators need no leader.
package settings
