// Package skew is the experiment on the balance of experts: it replays a
// drifting expert load in virtual time and compares the planner with never
// moving and with repacking fully in each interval. Its figures depend only on
// the seed and the options, except for the planning times and the live run.
package skew
