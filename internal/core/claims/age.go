package claims

import (
	"encoding/hex"
	"strings"
	"time"
)

// MaxClockSkew is the largest allowed difference between the clocks of callers
// and agents.
const MaxClockSkew = 5 * time.Minute

const (
	uuidLength     = 36
	uuidBytes      = 16
	uuidVersion7   = 7
	uuidTimeBytes  = 6
	uuidVariantRFC = 2 // upper two bits of byte 8
)

// AgeVerdict says whether the age of a key allows its call to run.
type AgeVerdict int

// Values of AgeVerdict.
const (
	AgeOK      AgeVerdict = iota
	TooOld                // older than the window, or than the records that the log still has
	FromFuture            // created in the future
)

// KeyTime returns the creation time that an idempotency key carries. Only keys
// that are version 7 UUIDs carry one; other keys have no age.
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

// CheckAge decides whether the call of a key that the replica does not hold may
// run. A key with an age is refused if claims of its time may have expired from
// the log. A key without an age counts as new: the log keeps its claim for
// longer than the window that callers are promised.
func CheckAge(idempotencyKey string, now time.Time, window time.Duration, expiredUntilMS int64) AgeVerdict {
	createdAt, ok := KeyTime(idempotencyKey)
	if !ok {
		return AgeOK
	}
	if createdAt.After(now.Add(MaxClockSkew)) {
		return FromFuture
	}
	if now.Sub(createdAt) > window {
		return TooOld
	}
	if expiredUntilMS > 0 && createdAt.Add(-MaxClockSkew).UnixMilli() <= expiredUntilMS {
		return TooOld
	}
	return AgeOK
}
