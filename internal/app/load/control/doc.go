// Package control measures what keeping the settings in force everywhere costs
// each node: real entries, agents' receivers and the platform stand-in in one
// process, talking over loopback.
package control
