// Package callerhttp serves callers over HTTP: OpenAI-style chat completions,
// the list of models, and plain services. It authenticates the account, bounds
// what a caller may send and hold, and turns failures into problem documents
// that say whether the request ran.
package callerhttp
