// Package topology generates the configuration of a small system on loopback: the
// start-up file of each process and the settings that operators write. The demo
// and the scripted scenarios use it. Each failure domain has its own IP address.
package topology
