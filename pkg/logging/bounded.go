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
	// linesPerSecond and burstLines limit the rate of a process's log lines.
	linesPerSecond = 300
	burstLines     = 1500
	// maxQueuedLines is the number of lines that are queued while the output
	// blocks.
	maxQueuedLines = 2048
	// dropReportInterval is the time between two log lines with the number of
	// dropped lines.
	dropReportInterval = 5 * time.Second
	// closeTimeout bounds how long Close waits for the queued lines.
	closeTimeout = 300 * time.Millisecond
)

// Bounded is a writer of log lines that never blocks its callers. It drops and
// counts the lines above its rate limit, and those that arrive while the queue is
// full. It is safe for concurrent use.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewBounded returns a writer that writes to out from its own goroutine. The
// caller must Close it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(linesPerSecond, burstLines),
		stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues or drops one line. It never returns an error.
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

// Dropped returns the number of lines dropped so far.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close stops the writer. It waits at most closeTimeout until the queued lines
// are written.
func (b *Bounded) Close() {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

func (b *Bounded) run() {
	defer close(b.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reportedDrops := int64(0)
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		case <-ticker.C:
			if dropped := b.dropped.Load(); dropped != reportedDrops {
				b.write(fmt.Appendf(nil, "level=warn message=log_lines_dropped lines=%d\n", dropped-reportedDrops))
				reportedDrops = dropped
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

// write ignores errors: they could only be reported in the log itself.
func (b *Bounded) write(line []byte) { _, _ = b.out.Write(line) }
