// Package steadyclock is a clock whose time of day is not moved by steps of the
// host's own: it is read once and then advanced by the time since boot, which
// also counts while the host is suspended.
package steadyclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a clockwork.Clock with a steady time of day. Timers are those of the
// real clock. It is safe for concurrent use.
type Clock struct {
	clockwork.Clock
	start time.Time
	boot  time.Duration
}

// New returns a clock that starts at the host's time of day.
func New() *Clock {
	return &Clock{Clock: clockwork.NewRealClock(), start: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the time of day at the start plus the time since then.
func (c *Clock) Now() time.Time { return c.start.Add(sinceBoot() - c.boot) }

// Since returns the time since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

func sinceBoot() time.Duration {
	var t unix.Timespec
	// The call fails for unknown clocks only.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}
