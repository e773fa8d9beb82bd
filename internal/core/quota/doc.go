// Package quota enforces one gateway's share of limits that all gateways together
// must respect: the retries of a service, and the admissions to a target. Shares are
// fixed by the gateways that may run (package share), so that the limits also hold while
// gateways cannot reach each other. A share of 0 admits nothing.
//
// Package internal/app/gateway uses it. The counterpart for entries is package
// limits, which enforces the limits of teams and accounts and divides them by the
// demand that the entries report to each other.
package quota
