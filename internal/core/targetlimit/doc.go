// Package targetlimit keeps the requests of all gateways to a target within the rate that
// the target names while it is in need.
//
// Each gateway counts what it has sent to such a target in the last seconds and tells the
// others at once. It sends another request only if the counts of all gateways together
// leave room. Since several gateways may see the same room, only some gateways send to a
// target at all, as many as the tolerance for excess requests bears.
//
// Package internal/app/gateway uses it. The limits that the operators set for cold targets
// are in package quota. The package does no I/O and reads no clock.
package targetlimit
