// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether d passed before ctx ended. If d is 0 or less
// it does not wait.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
