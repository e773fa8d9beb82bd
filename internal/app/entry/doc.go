// Package entry implements an entry from its parts: the callers' HTTP listener,
// the dispatcher to the targets' agents, the replication of the settings and the
// operators' HTTP listener.
package entry
