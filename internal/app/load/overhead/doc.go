// Package overhead measures the latency and processor time that entry and agent
// add to a request: it sends requests to the same engine directly and through
// entry and agent in turn, at a fixed rate.
package overhead
