package clock

import (
	"context"
	"time"
)

// Pause sleeps for the duration. If the context ends first, it returns the context's error.
func Pause(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
