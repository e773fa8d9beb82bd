// Package engine is the client of a model engine: chat completions with
// server-sent events, load reports and orders. It checks the engine's answers, so
// that a truncated or malformed stream is never taken for a complete answer.
package engine
