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

// SendWithRetries repeats the request as a careful client program does: always
// if the request did not run, and after an unknown outcome only where repeating
// it is harmless, as it is with an idempotency key. It gives up when ctx ends
// and returns the last outcome with the number of attempts.
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
