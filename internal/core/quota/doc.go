// Package quota keeps one gateway's share of limits that all gateways must keep
// together: the retries of a service, and the admissions to a target. Shares are
// fixed by the number of gateways, so that the limits also hold while gateways
// cannot reach each other.
package quota
