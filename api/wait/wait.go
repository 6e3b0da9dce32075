// Package wait waits for a time or the end of a context.
package wait

import (
	"context"
	"time"
)

// For reports whether the time passed before the context ended.
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
