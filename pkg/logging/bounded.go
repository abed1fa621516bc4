package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound the volume of a process's log.
	linesPerSecond = 300
	lineBurst      = 1500
	// queuedLines is the number of lines that wait while the output does not take
	// them.
	queuedLines = 2048
	// dropReport is how often the number of dropped lines is written.
	dropReport = 5 * time.Second
	// closeTimeout bounds the writing of what is queued at the end.
	closeTimeout = 300 * time.Millisecond
)

// Bounded is a writer of log lines that never blocks its callers: lines beyond
// its rate, and those that the output does not take, are dropped and counted. It
// is safe for concurrent use.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewBounded returns a writer to out. The caller must Close it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, queuedLines), limiter: rate.NewLimiter(linesPerSecond, lineBurst),
		stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues one line. It always reports success.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines, for a bounded time, and stops.
func (b *Bounded) Close() {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

func (b *Bounded) run() {
	defer close(b.done)
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		case <-ticker.C:
			if dropped := b.dropped.Load(); dropped != reported {
				b.write(fmt.Appendf(nil, "level=warn message=log_lines_dropped lines=%d\n", dropped-reported))
				reported = dropped
			}
		case <-b.stop:
			b.drain()
			return
		}
	}
}

func (b *Bounded) drain() {
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		default:
			return
		}
	}
}

// write cannot report a failure to anybody: the log is the place for reports.
func (b *Bounded) write(line []byte) { _, _ = b.out.Write(line) }
