// Package limits is the experiment on limits and fair shares: how closely
// several entries together enforce one limit, also during a network partition
// between them, how a flooding account affects the others, and how completely
// credits are used by their expiry date. It runs the code of core/limits in
// virtual time; the same seed gives the same figures. The subcommand flood
// measures the effect of a flooding account with real entries and agents.
package limits
