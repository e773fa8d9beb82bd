// Package departure measures latency and goodput of each class of requests while
// a failure domain leaves, is out, and returns cold, and compares the system
// with baseline routing strategies in the same run.
package departure
