// Package rankpeers carries messages of the expert map protocol between the
// agents of a group over the link.
package rankpeers
