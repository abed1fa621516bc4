// Package steadyclock provides a clock whose time of day does not follow steps
// of the system clock. The system clock is read once; the time since boot,
// which also counts while the host is suspended, is then added to it.
package steadyclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a clockwork.Clock with a time of day that does not step. Its timers
// are those of the real clock. It is safe for concurrent use.
type Clock struct {
	clockwork.Clock
	start time.Time
	boot  time.Duration
}

// New returns a clock that starts at the current time of the system clock.
func New() *Clock {
	return &Clock{Clock: clockwork.NewRealClock(), start: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the time of day at the start plus the time elapsed since then.
func (c *Clock) Now() time.Time { return c.start.Add(sinceBoot() - c.boot) }

// Since returns the time elapsed since t on this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t on this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// sinceBoot returns the time since the host booted, including suspended time.
func sinceBoot() time.Duration {
	var t unix.Timespec
	// The call fails only for unknown clocks.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}
