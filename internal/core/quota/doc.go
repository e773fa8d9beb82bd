// Package quota keeps one gateway's share of limits that all gateways keep
// together: retries of a service, and admissions to a target. Shares are fixed
// by the number of gateways, so that they hold while gateways cannot hear each
// other.
package quota
