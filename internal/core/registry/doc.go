// Package registry decides which targets may be used, from their records in the
// platform's registry and from whether the registry could be read.
//
// A record that is gone was taken away by a target that leaves, or it expired since the target
// could not write: it went down, the store was away, or it was cut off from the store. A target
// is kept for a grace period only if its record may have expired in a time in which this
// gateway could not read: then it may live and write again. What tells these apart is the log:
// in an outage of the store nobody writes, and before a record expires others are written
// again and again. A target that leaves was written within a heartbeat interval.
package registry
