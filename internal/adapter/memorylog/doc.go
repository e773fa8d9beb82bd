// Package memorylog is an append-only log with offsets in memory. The platform
// stand-in serves it over HTTP; tests and experiments use it directly.
package memorylog
