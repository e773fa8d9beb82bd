// Package engine is the client of a model engine: chat completions with
// server-sent events, load reports and orders. It checks what the engine says,
// so that a cut or malformed stream is never taken for a whole answer.
package engine
