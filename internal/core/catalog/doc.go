// Package catalog decodes and indexes a settings snapshot for the request path. A
// request uses one catalog from its start to its end.
package catalog
