// Package fleet holds the types that describe a deployment: routes, services,
// accounts, targets and the limits that bind their use. The types are immutable
// once built; a newer version replaces an older one as a whole.
package fleet
