// Package service is a stand-in for a target that is not an engine. It runs every
// call that it gets and counts the runs of each idempotency key.
package service
