// Package claimlog makes the claims of one service's agent over the platform's
// log: it appends ops in batches, reads the stream, and runs a call only when
// its claim has won.
package claimlog
