package logging

import (
	"sync"
	"time"
)

// Throttle limits how often a line is logged. The zero value lets the first line
// pass. It is safe for concurrent use.
type Throttle struct {
	mu   sync.Mutex
	last time.Time // guarded by mu
}

// Allow reports whether a line may be logged now, which is the case once per second.
func (t *Throttle) Allow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !t.last.IsZero() && now.Sub(t.last) < time.Second {
		return false
	}
	t.last = now
	return true
}
