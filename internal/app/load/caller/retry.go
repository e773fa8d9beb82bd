package caller

import (
	"context"
	"time"
)

// Waits between attempts of SendWithRetries.
const (
	shortestWait = 20 * time.Millisecond
	longestWait  = 500 * time.Millisecond
)

// SendWithRetries repeats the request as a careful client program does: after
// "not run" always, after an unknown outcome only where that can do no harm,
// which is the case with an idempotency key too. It gives up when ctx ends and
// returns the last outcome with the number of attempts.
func SendWithRetries(ctx context.Context, clients []*Client, request Request) (Outcome, int) {
	wait := shortestWait
	for attempt := 1; ; attempt++ {
		outcome := clients[(attempt-1)%len(clients)].Send(ctx, request)
		if outcome.Complete || !repeatable(outcome) {
			return outcome, attempt
		}
		timer := time.NewTimer(min(max(wait, outcome.RetryAfter), longestWait))
		select {
		case <-ctx.Done():
			timer.Stop()
			return outcome, attempt
		case <-timer.C:
		}
		wait = min(2*wait, longestWait)
	}
}

// repeatable reports whether another attempt can help: a refusal for the
// request itself (4xx but too many requests) stays.
func repeatable(outcome Outcome) bool {
	const tooManyRequests, firstServerError = 429, 500
	return outcome.Status == 0 || outcome.Status == tooManyRequests ||
		outcome.Status >= firstServerError || outcome.Status < 400
}
