package claims

import (
	"encoding/hex"
	"strings"
	"time"
)

// MaxClockSkew is by how much clocks of callers and agents may differ.
const MaxClockSkew = 5 * time.Minute

const (
	uuidLength     = 36
	uuidBytes      = 16
	uuidVersion7   = 7
	uuidTimeBytes  = 6
	uuidVariantRFC = 2 // upper two bits of byte 8
)

// AgeVerdict says whether a key's age allows it to run.
type AgeVerdict int

// Values of AgeVerdict.
const (
	AgeOK      AgeVerdict = iota
	TooOld                // older than the window, or than what the log remembers
	FromFuture            // made in the future
)

// KeyTime returns the time that an idempotency key carries. Keys that are
// UUIDs of version 7 carry one; others have no age.
func KeyTime(idempotencyKey string) (time.Time, bool) {
	if len(idempotencyKey) != uuidLength {
		return time.Time{}, false
	}
	for _, i := range []int{8, 13, 18, 23} {
		if idempotencyKey[i] != '-' {
			return time.Time{}, false
		}
	}
	id, err := hex.DecodeString(strings.ReplaceAll(idempotencyKey, "-", ""))
	if err != nil || len(id) != uuidBytes || id[6]>>4 != uuidVersion7 || id[8]>>6 != uuidVariantRFC {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:uuidTimeBytes] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// CheckAge decides whether a key that the fold does not know may run. A key
// with an age may not if claims of its time can have expired from the log. A
// key without an age counts as new: it is known for as long as the log keeps
// its claim, which is longer than the window that callers are promised.
func CheckAge(idempotencyKey string, now time.Time, window time.Duration, horizonMS int64) AgeVerdict {
	made, ok := KeyTime(idempotencyKey)
	if !ok {
		return AgeOK
	}
	if made.After(now.Add(MaxClockSkew)) {
		return FromFuture
	}
	if now.Sub(made) > window {
		return TooOld
	}
	if horizonMS > 0 && made.Add(-MaxClockSkew).UnixMilli() <= horizonMS {
		return TooOld
	}
	return AgeOK
}
