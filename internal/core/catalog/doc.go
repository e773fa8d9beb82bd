// Package catalog is the typed, indexed view of one settings snapshot that the
// request path reads. A request uses one catalog for its whole life.
package catalog
