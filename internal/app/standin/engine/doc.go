// Package engine is a stand-in for an engine that serves a model: it speaks the
// OpenAI-style protocol of docs/STANDINS.md, generates text that depends on the
// request alone, bears little while cold, and records what really happened.
package engine
