// Package wire holds the protobuf messages that entries and agents exchange.
// The Go code is generated from quetzalbend.proto by `make generate` and is
// committed, so the build needs no generator.
package wire
