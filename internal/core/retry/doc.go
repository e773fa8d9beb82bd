// Package retry decides whether a request that did not succeed is tried again
// elsewhere. It is pure.
package retry
