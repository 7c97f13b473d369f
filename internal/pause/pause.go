// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For waits for the given time. It returns the context's error if ctx is done first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
