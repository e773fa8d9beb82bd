// Package callerconn keeps the connections of a server of net/http within bounds, whatever their
// clients do: in time, in memory and in descriptors.
//
// A connection waits for a request, then for the rest of its head; then the request runs, and
// may wait for its body or for its client to take the answer. Each of these has a time of its
// own. The memory of heads is reserved before net/http parses them. When there are no
// descriptors left, the connections make room that have no request, or whose client has stalled.
// Limits that the settings change apply while the server runs.
package callerconn
