// Package sleep waits on the real clock, for code that is not tested with a
// fake one.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx ends. It returns at once if d is not positive.
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
