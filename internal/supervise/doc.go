// Package supervise keeps a panic of a background goroutine from ending the process with
// all its connections. A loop that panics is logged and started again; a single task that
// panics is logged and ends.
package supervise
