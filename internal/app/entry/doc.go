// Package entry implements an entry from its parts: the callers' HTTP listener,
// the dispatcher to the targets' agents, the replication of the settings and the
// operators' HTTP listener.
//
// The program is quetzalbend-entry. It uses the platform API of package
// internal/adapter/platform. Package internal/app/gateway also serves callers, but
// in another program, quetzalbend-gateway, which runs on the users' platform
// (package platform) and sends requests to targets without an agent.
package entry
