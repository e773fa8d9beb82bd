// Package dispatch carries one request to a target's agent and its answer
// back: it picks targets, opens streams, checks the frames of the answer,
// tries again elsewhere where that is safe, and says of a request that failed
// whether it ran.
package dispatch
