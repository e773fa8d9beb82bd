// Package drain takes an HTTP server out of service so that each of its callers gets an
// answer: requests that run may end, later ones are served while their deadline allows it
// and refused otherwise, and connections are kept until no request is taken any more.
package drain
