// Package link carries the messages of package wire between processes: one
// yamux session for each pair of processes, over TCP or TLS, and one stream of
// length-delimited protobuf messages for each exchange. The first message of a
// stream, a wire.Open, states its purpose.
package link
