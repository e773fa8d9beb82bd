// Package fleetsync keeps a gateway's view of the fleet up to date: the
// operators' settings, the failure domains taken out and the registry of
// targets. It follows the store, and asks other gateways while the store does
// not serve this one.
package fleetsync
