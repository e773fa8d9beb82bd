package limits

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change. Its balance may become negative,
// since the cost of a request may be known only afterwards.
type bucket struct {
	balance float64
	updated time.Time
}

// initialBalance returns what a new bucket of a depth holds at rate a second.
func initialBalance(rate, depth float64) float64 {
	return min(depth, rate*defaultBurstTime.Seconds()+1)
}

// refill adds what has accrued since the last call at rate a second, up to depth.
func (b *bucket) refill(rate, depth float64, now time.Time) {
	if b.updated.IsZero() {
		b.balance = initialBalance(rate, depth)
		b.updated = now
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.balance += rate * elapsed.Seconds()
		b.updated = now
	}
	b.balance = min(b.balance, depth)
}

// wait returns how long the balance takes to reach need at rate a second, at most
// maxRetryAfter.
func (b *bucket) wait(need, rate float64) time.Duration {
	missing := need - b.balance
	if missing <= 0 {
		return 0
	}
	seconds := missing / rate
	if math.IsNaN(seconds) || seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
