// Package engine is a stand-in for an engine that serves a model. It speaks the
// OpenAI-style protocol of docs/STANDINS.md and generates text that depends only
// on the request. A cold engine crashes if it gets more than a few requests at
// once. The stand-in records what really happened.
package engine
