// Package gateway implements the gateway program that runs on each entry VM of
// the users' platform. It serves callers, forwards each request to a target of
// its route's service, and relays the answer.
//
// The program uses package platform and sends requests to targets directly. One of
// the gateways also leads the changes of expert maps (see package maplead).
// Package internal/app/entry also serves callers, but in another program,
// quetzalbend-entry, which sends requests to the agents of package
// internal/app/agent.
package gateway
