// Package link carries the messages of package wire between processes: one
// yamux session for each pair of processes, over TCP or TLS, and one stream of
// length-delimited protobuf messages for each piece of work.
package link
