// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether that passed before ctx ended. A duration of
// 0 or less has passed at once.
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
