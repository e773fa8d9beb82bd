// Package limits holds what teams and accounts may use over all entries
// together, without a call to another process on the request path.
//
// Each entry works with a share of each limit. Entries tell each other their
// demand in numbered reports; a share is the entry's part of a max-min fair
// division of the limit by demand. An entry counts its own demand only as far
// as every peer is known to have received it, so the shares of entries that
// hear each other never add up to more than the limit.
//
// A peer that cannot be heard or reached for Config.StaleAfter is absent: the
// entries that still hear each other then divide only their part of the limit,
// limit × (entries present / all entries). Shares shrink at StaleAfter and grow
// only Config.Guard later, so both sides of a cut stay within the limit
// together, up to the bursts that the buckets allow.
//
// The package has no clock: each method takes the present time.
package limits
