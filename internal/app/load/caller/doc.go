// Package caller sends requests to entries as a client program would, and
// judges each answer: whether it is whole, and what the caller may conclude
// where it is not.
package caller
