// Package ranklink connects the leader of a group's map changes with the group's
// ranks: the leader reads the state of a rank and sends it orders. The agent on
// the rank's VM serves both over HTTP with protobuf bodies.
package ranklink
