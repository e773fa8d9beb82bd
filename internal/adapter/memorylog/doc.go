// Package memorylog is an append-only log in memory, whose streams have offsets.
// The platform stand-in serves it over HTTP; tests and experiments use it directly.
package memorylog
