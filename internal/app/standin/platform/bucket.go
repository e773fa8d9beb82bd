package platform

import (
	"sync"
	"time"
)

// bucket is a token bucket that limits a rate.
type bucket struct {
	rate  float64 // tokens a second
	burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, last: time.Now()}
}

// take takes one token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// reserve takes tokens, also those that are not there yet, and returns how long
// the caller must wait for them.
func (b *bucket) reserve(now time.Time, tokens float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens -= tokens
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
}
