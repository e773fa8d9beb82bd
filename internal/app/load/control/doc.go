// Package control measures the traffic, processor time and memory that each node
// needs to keep the settings in force: real entries, agents' receivers and the
// platform stand-in run in one process and communicate over loopback.
package control
