// Package dispatch sends a request to a target's agent and returns its answer. It
// picks targets, opens streams, validates the frames of the answer, retries at
// other targets where that is safe, and reports of a failed request whether it
// ran.
package dispatch
