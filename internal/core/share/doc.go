// Package share divides a limit that all gateways, or all entries, have in common; it
// speaks of gateways. Each gateway computes its own part from the gateways that it knows,
// without asking, so that the parts hold while gateways are cut off from each other. A
// limit smaller than the number of gateways goes to some of them, other ones for each
// target; the rest have no part of it.
//
// Packages internal/core/quota, internal/core/limits and internal/app/gateway use it.
package share
