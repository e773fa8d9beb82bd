// Package callerhttp serves callers over HTTP: OpenAI-style chat completions,
// the list of models, and plain services. It authenticates the account, limits
// what a caller may send and hold, and answers failures with problem documents
// that state whether the request ran.
package callerhttp
