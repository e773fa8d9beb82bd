// Package service is a stand-in for a plain service beside the engines. It runs
// every call it gets and counts the runs of each idempotency key.
package service
