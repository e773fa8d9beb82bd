package gateway

import (
	"time"

	"quetzalbend/internal/callerconn"
	"quetzalbend/internal/core/fleet"
)

// Descriptors that a gateway leaves to other things than callers and their requests.
const (
	reservedDescriptors = 200 // for files
	ownDescriptors      = 150 // for the store, other gateways, ranks, checks and health

	// Of ownDescriptors, for connections to the listeners for health checks and for peers.
	healthDescriptors  = 16
	controlDescriptors = 48
)

// Limits of connections that are not callers'.
const (
	ownHeaderBytes   = 16 << 10
	ownHeaderTimeout = 5 * time.Second
	ownIdleTimeout   = 15 * time.Second
)

// newCallerBounds returns the bounds on callers' connections.
func (g *Gateway) newCallerBounds() *callerconn.Bounds {
	bounds := &callerconn.Bounds{Limits: g.callerLimits, Memory: g.memory, RetryAfter: shortRetryAfter, Ended: g.connectionEnded("callers")}
	if g.node.MaxDescriptors > 0 {
		bounds.Descriptors = callerconn.WithClosing(g.node.MaxDescriptors - reservedDescriptors - ownDescriptors)
	}
	return bounds
}

// callerLimits returns the limits of the settings in force.
func (g *Gateway) callerLimits() callerconn.Limits {
	var limits fleet.Limits
	if view := g.state.View(); view != nil {
		limits = view.Settings.Limits
	}
	return callerconn.Limits{HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// ownBounds returns the bounds on connections for health checks or of peers.
func (g *Gateway) ownBounds(descriptors int, name string) *callerconn.Bounds {
	limits := callerconn.Limits{HeaderBytes: ownHeaderBytes, HeaderTimeout: ownHeaderTimeout, IdleTimeout: ownIdleTimeout}
	return &callerconn.Bounds{
		Limits:      func() callerconn.Limits { return limits },
		Descriptors: descriptors, Memory: g.memory, RetryAfter: shortRetryAfter, Ended: g.connectionEnded(name),
	}
}

// connectionEnded returns the function that counts and logs connections of a listener that are
// refused or closed.
func (g *Gateway) connectionEnded(listener string) func(callerconn.Reason, string) {
	log := callerconn.Log(g.log, listener)
	return func(reason callerconn.Reason, peer string) {
		g.countRefusal(string(reason))
		log(reason, peer)
	}
}
