// Package overhead measures what entry and agent add to a request: it drives
// the same engine directly and through them in turn, at a fixed rate.
package overhead
