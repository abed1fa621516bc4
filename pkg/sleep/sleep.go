// Package sleep waits on the real clock, for code whose tests need no other one.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx ends; it returns at once if d is not positive.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
