// Package ranklink carries the state of a rank to the leader of its group's map
// changes, and the leader's orders to the rank. The agent beside the rank serves
// it over HTTP with protobuf bodies.
package ranklink
