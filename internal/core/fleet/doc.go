// Package fleet holds the types that describe a deployment: routes, services,
// client accounts, targets and the limits on their use. Their values are immutable
// once built; a newer version replaces an older one as a whole.
package fleet
