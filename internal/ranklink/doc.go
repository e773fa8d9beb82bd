// Package ranklink connects the leader of map changes (see package maplead) with the
// ranks: the leader reads the state of a rank and sends it orders. The agent on the
// rank's VM serves both over HTTP with protobuf bodies.
package ranklink
