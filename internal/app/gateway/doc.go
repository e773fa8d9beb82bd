// Package gateway is the program on each entry VM of the users' platform. It
// serves callers, sends each request to a target of its route's service, and
// relays the answer.
package gateway
