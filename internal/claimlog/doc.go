// Package claimlog claims idempotency keys for one service's agent in the
// platform's log: it appends ops in batches, reads the stream, and runs a call
// only when its claim has won.
package claimlog
