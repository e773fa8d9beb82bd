// Package caller sends requests to entries as a client program would, and
// evaluates each answer: whether it is complete, and, if not, what the caller
// can conclude about the request.
package caller
