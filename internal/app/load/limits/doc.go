// Package limits is the experiment on limits and fair shares: how well a limit
// is held over several entries, also while they are cut off from each other,
// and what other accounts notice of one that floods. It runs the decisions of
// core/limits in virtual time; the same seed gives the same figures.
package limits
