// Package ctl implements quetzalbendctl, the operator's command line tool. It
// reads and writes settings through the administration API of any entry, waits
// until they are in force, and shows the status of nodes and targets.
package ctl
