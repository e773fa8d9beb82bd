// Package claimlog runs the claims of one service's agent over the platform's
// log: it appends ops in batches, follows the stream, and runs a call only
// when its claim has won.
package claimlog
