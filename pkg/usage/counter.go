package usage

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// Peers hands counts to other hosts while the log is down.
type Peers interface {
	// Hand passes flushes to peers in two other failure domains, which give
	// them to Counter.Accept. It may repeat; Accept is idempotent.
	Hand(ctx context.Context, flushes []Flush) error
}

const (
	// appendTimeout bounds the append of one flush; a longer answer means that
	// the log is down for this host.
	appendTimeout = 3 * time.Second
	// maxAccepted bounds the flushes held for peers.
	maxAccepted = 50_000
)

// window is one window's cumulative counts of this process.
type window struct {
	teams map[string]Counts
	// sequence numbers the flushes; flushed is the last one that is in the log.
	sequence, flushed int64
	// dirty is set if counts were added since the last flush was taken.
	dirty bool
	// handed counts how often the last flush was handed to peers.
	handed int
}

// handRounds is how often a flush is handed to peers before it counts as
// flushed: peers do not answer, and a datagram may be lost.
const handRounds = 3

// Counter counts the work that this process delivers. Its methods are safe for
// concurrent use.
type Counter struct {
	log         log.Interface
	clock       clockwork.Clock
	length      windowLength
	interval    time.Duration
	incarnation string
	batcher     *logservice.Batcher
	peers       Peers
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	windows  map[int64]*window
	accepted map[source]Flush
	// newest is the latest window that was counted in. A clock that is set back
	// does not reopen a window whose counts have been flushed.
	newest int64
	// peersFirst hands all flushes to peers and appends them only if that fails.
	peersFirst bool
	// handAccepted hands accepted flushes that cannot be appended to other peers.
	handAccepted bool
}

func newCounter(clock clockwork.Clock, length windowLength, interval time.Duration, incarnation string, b *logservice.Batcher, peers Peers, logger log.Interface) *Counter {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Counter{clock: clock, log: logger, length: length, interval: interval, incarnation: incarnation, batcher: b, peers: peers, cancel: cancel,
		windows: map[int64]*window{}, accepted: map[source]Flush{}}
	c.wg.Go(func() { c.run(ctx) })
	return c
}

func (c *Counter) close() {
	c.cancel()
	c.wg.Wait()
}

// CounterOptions configure a Counter of a host that leaves the appends to other
// hosts, so that their number does not grow with the hosts.
type CounterOptions struct {
	Client      logservice.Client
	Clock       clockwork.Clock
	Incarnation string
	LiveHosts   func() int
	// Peers takes the flushes; they are appended here only if it fails.
	Peers Peers
	// Window and FlushInterval are those of Options.
	Window, FlushInterval time.Duration
	Log                   log.Interface
}

// NewCounter starts a counter. The caller must Close it.
func NewCounter(opts CounterOptions) *Counter {
	b := logservice.NewBatcher(logservice.BatcherOptions{
		Client: opts.Client, Stream: logservice.StreamUsage, Clock: opts.Clock, LiveHosts: opts.LiveHosts,
	})
	c := newCounter(opts.Clock, windowLength(opts.Window), opts.FlushInterval, opts.Incarnation, b, opts.Peers, opts.Log)
	c.setPeersFirst(true)
	return c
}

func (c *Counter) setPeersFirst(first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peersFirst = first
}

// Close appends what is not flushed, whatever was handed to peers, and stops a
// counter from NewCounter.
func (c *Counter) Close(ctx context.Context) error {
	c.setPeersFirst(false)
	err := c.Flush(ctx)
	c.close()
	c.batcher.Close()
	return err
}

// Add counts delivered work of a team in the current window.
func (c *Counter) Add(team string, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest = max(c.newest, c.length.of(c.clock.Now()))
	index := c.newest
	w := c.windows[index]
	if w == nil {
		w = &window{teams: map[string]Counts{}}
		c.windows[index] = w
	}
	w.teams[team] = w.teams[team].plus(counts)
	w.dirty = true
}

// Accept takes flushes of a peer that cannot reach the log and appends them on
// its behalf with the next flush.
func (c *Counter) Accept(flushes []Flush) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range flushes {
		key := source{f.Incarnation, f.Window}
		if f.Incarnation == c.incarnation {
			continue
		}
		if old, ok := c.accepted[key]; (ok && old.Sequence >= f.Sequence) || len(c.accepted) >= maxAccepted {
			continue
		}
		c.accepted[key] = f
	}
}

func (c *Counter) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.clock.After(c.interval):
			_ = c.Flush(ctx)
		}
	}
}

// Flush appends the counts that are not in the log. If that fails it hands them
// to peers and returns the error of the append; the counts are kept. A process
// that stops calls it last, after its last Add.
func (c *Counter) Flush(ctx context.Context) error {
	flushes := c.take()
	if len(flushes) > 0 && c.handsFirst() {
		err := c.peers.Hand(ctx, flushes)
		if err == nil {
			c.handed(flushes)
			return nil
		}
		c.log.WithFields(log.Fields{"flushes": len(flushes), "error": err}).Warn("usage_handover_failed")
	}
	errs := make([]error, len(flushes))
	var wg sync.WaitGroup
	for i, f := range flushes {
		wg.Go(func() { errs[i] = c.append(ctx, f) })
	}
	wg.Wait()
	var failed []Flush
	var first error
	handAccepted := c.handsAccepted()
	for i, err := range errs {
		switch {
		case err == nil:
			c.flushed(flushes[i])
		default:
			first = err
			if flushes[i].Incarnation == c.incarnation || handAccepted {
				failed = append(failed, flushes[i])
			}
		}
	}
	if len(failed) > 0 && c.peers != nil {
		if err := c.peers.Hand(ctx, failed); err != nil {
			c.log.WithFields(log.Fields{"flushes": len(failed), "error": err}).Warn("usage_handover_failed")
		}
	}
	return first
}

func (c *Counter) handsAccepted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handAccepted
}

func (c *Counter) setHandAccepted(hand bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handAccepted = hand
}

func (c *Counter) handsFirst() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peersFirst
}

// handed notes that flushes were handed to peers.
func (c *Counter) handed(flushes []Flush) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range flushes {
		w := c.windows[f.Window]
		if w == nil || w.sequence != f.Sequence {
			continue
		}
		if w.handed++; w.handed >= handRounds {
			w.flushed = f.Sequence
		}
	}
}

func (c *Counter) append(ctx context.Context, f Flush) error {
	e, err := logservice.NewEntry(f.id(), kindCounts, f)
	if err != nil {
		return err
	}
	// A flush whose outcome is not known is repeated in the next round: repeats do no
	// harm, and counts that come late are missing in their window.
	appendCtx, cancel := clockwork.WithTimeout(ctx, c.clock, min(appendTimeout, c.interval))
	defer cancel()
	_, err = c.batcher.Append(appendCtx, e)
	return err
}

// take returns the flushes that are due. A window keeps its sequence number
// until counts are added, so that repeated flushes are the same record.
func (c *Counter) take() []Flush {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := max(c.newest, c.length.of(c.clock.Now()))
	c.newest = current
	var due []Flush
	for index, w := range c.windows {
		if w.dirty {
			w.sequence++
			w.dirty, w.handed = false, 0
		}
		if w.flushed < w.sequence {
			due = append(due, Flush{Incarnation: c.incarnation, Window: index, Sequence: w.sequence, Teams: maps.Clone(w.teams)})
		} else if index < current {
			delete(c.windows, index)
		}
	}
	for _, f := range c.accepted {
		due = append(due, f)
	}
	return due
}

func (c *Counter) flushed(f Flush) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.Incarnation == c.incarnation {
		if w := c.windows[f.Window]; w != nil {
			w.flushed = max(w.flushed, f.Sequence)
		}
		return
	}
	key := source{f.Incarnation, f.Window}
	if held, ok := c.accepted[key]; ok && held.Sequence <= f.Sequence {
		delete(c.accepted, key)
	}
}
