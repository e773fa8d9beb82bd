package caller

import (
	"context"
	"time"
)

// Backoff between the attempts of SendWithRetries.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// SendWithRetries repeats the request until it is answered completely, another
// attempt cannot help, or ctx ends, and returns the last outcome with the number
// of attempts. It also repeats a request that may have run, so that must be
// harmless, as it is with an idempotency key.
func SendWithRetries(ctx context.Context, clients []*Client, request Request) (Outcome, int) {
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		outcome := clients[(attempt-1)%len(clients)].Send(ctx, request)
		if outcome.Complete || !retryable(outcome) {
			return outcome, attempt
		}
		timer := time.NewTimer(min(max(backoff, outcome.RetryAfter), maxBackoff))
		select {
		case <-ctx.Done():
			timer.Stop()
			return outcome, attempt
		case <-timer.C:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// retryable reports whether another attempt can help. It cannot if the request
// itself was rejected: a 4xx status other than 429 (too many requests).
func retryable(outcome Outcome) bool {
	const tooManyRequests, firstServerError = 429, 500
	return outcome.Status == 0 || outcome.Status == tooManyRequests ||
		outcome.Status >= firstServerError || outcome.Status < 400
}
