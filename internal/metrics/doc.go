// Package metrics keeps the counters, gauges and latency histograms of one
// process and serves them in the Prometheus text format.
//
// Latencies are kept for each team and class in HDR histograms. The number of
// names is bounded: what comes from teams beyond MaxTeams is counted under
// OtherTeam, and no metric carries an account.
package metrics
