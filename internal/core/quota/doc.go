// Package quota enforces one gateway's share of limits that all gateways together
// must respect: the retries of a service, and the admissions to a target. Shares are
// fixed by the number of gateways, so that the limits also hold while gateways
// cannot reach each other.
package quota
