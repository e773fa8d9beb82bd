// Package limits enforces the limits of teams and accounts over all entries (the
// processes that accept client requests) together. Only small concurrency limits
// need a call to another process on the request path.
//
// Each entry enforces a share of each limit. Entries send each other their demand
// in numbered reports; a share is the entry's part of a max-min fair division of
// the limit by demand. An entry counts its own demand only as far as every peer is
// known to have received it, so the shares of entries that receive each other's
// reports never add up to more than the limit.
//
// A peer without contact in both directions for Config.StaleAfter is absent: the
// entries that are still in contact then divide only their part of the limit,
// limit × (entries present / all entries). Shares shrink at StaleAfter and grow
// only Config.Guard later, so both sides of a network partition stay within the
// limit together, up to the bursts that the buckets allow.
//
// Requests that run stay running when a share of a concurrency limit shrinks. An entry
// reports those beyond its share, its peers keep as many of their shares free, and an
// entry counts its own demand only once its peers' reports have taken it into account.
//
// A concurrency limit of fewer than four requests for each entry has fixed parts, by
// package share. An entry without a free part borrows a permit of another entry for
// one request (Lenders, Borrow, Lend), and the lender counts it as used until it is
// back or must have ended. See docs/adr/0006-small-concurrency-limits.md.
//
// The package reads no clock: methods take the current time.
//
// Package internal/app/entry uses it. The counterpart for gateways is package
// quota, which divides by the number of gateways instead of by demand and limits
// retries and admissions to targets instead of teams and accounts.
package limits
