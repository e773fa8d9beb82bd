// Package ranklink connects the leader of map changes (see package maplead) with the
// ranks: the leader reads the state of a rank and sends it orders. The agent on the
// rank's VM serves both over HTTP with protobuf bodies.
//
// Package internal/app/gateway uses the client on behalf of the leader, package
// internal/app/rankagent uses the server. It is not used when agents change maps
// by the protocol of package expertmap; there package internal/adapter/rankengine
// is the access to a rank's engine and package internal/adapter/rankpeers the
// access to the other ranks' agents.
package ranklink
