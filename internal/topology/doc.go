// Package topology lays out a small system on loopback: the start-up file of
// each process and the settings that operators write. The demo and the scripted
// scenarios use it. Every failure domain has an IP address of its own.
package topology
