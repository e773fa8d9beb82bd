// Package metrics keeps the counters, gauges and latency histograms of one
// process and serves them in the Prometheus text format.
//
// Durations are kept for each team and class in HDR histograms. The number of
// series is bounded: teams beyond MaxTeams are counted under OtherTeam, and no
// metric has an account label.
package metrics
