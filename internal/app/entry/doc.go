// Package entry composes the entry: the callers' HTTP listener, the dispatcher
// to the targets' agents, the settings that it follows, and the operators'
// HTTP listener.
package entry
