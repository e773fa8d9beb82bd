// Package retry decides whether a request that did not succeed is tried again on
// another target. It reads no clock and does no I/O.
package retry
