// Package gateway implements the gateway program that runs on each entry VM of
// the users' platform. It serves callers, forwards each request to a target of
// its route's service, and relays the answer.
package gateway
