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

// Peers hands flushes to other hosts, which append them to the log.
type Peers interface {
	// HandOver sends flushes to peers in two other failure domains, which pass
	// them to Counter.AcceptFlushes. It may send a flush twice; AcceptFlushes is
	// idempotent.
	HandOver(ctx context.Context, flushes []Flush) error
}

const (
	// appendTimeout bounds the append of one record. If the log takes longer, it
	// counts as down for this host.
	appendTimeout = 3 * time.Second
	// maxAccepted bounds the flushes held for peers; further ones are dropped.
	maxAccepted = 50_000
)

// windowCounts holds the cumulative counts of this process in one window.
type windowCounts struct {
	teams map[string]Counts
	// sequence numbers the flushes; flushed is the last one that is in the log
	// or was handed over often enough.
	sequence, flushed int64
	// dirty is set if counts were added since the last flush was taken.
	dirty bool
	// handovers counts how often the last flush was handed to peers.
	handovers int
}

// handoverRounds is how often a flush is handed to peers before it counts as
// flushed: peers do not acknowledge it, and a datagram may be lost.
const handoverRounds = 3

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
	windows  map[int64]*windowCounts
	accepted map[source]Flush
	// latestWindow never decreases, so a clock that is set back does not reopen
	// a window whose counts have been flushed.
	latestWindow int64
	// peersFirst hands all flushes to peers and appends them only if that fails.
	peersFirst bool
	// era is the highest era of the log that ObserveEra was told of.
	era int64
	// handOverAccepted hands accepted flushes over to other peers if their append
	// fails.
	handOverAccepted bool
}

func newCounter(clock clockwork.Clock, length windowLength, interval time.Duration, incarnation string, b *logservice.Batcher, peers Peers, logger log.Interface) *Counter {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Counter{clock: clock, log: logger, length: length, interval: interval, incarnation: incarnation, batcher: b, peers: peers, cancel: cancel,
		windows: map[int64]*windowCounts{}, accepted: map[source]Flush{}}
	c.wg.Go(func() { c.run(ctx) })
	return c
}

func (c *Counter) close() {
	c.cancel()
	c.wg.Wait()
}

// CounterOptions configures the Counter of a host that leaves the appends to
// peers, so that appends do not grow with the number of hosts.
type CounterOptions struct {
	Client      logservice.Client
	Clock       clockwork.Clock
	Incarnation string
	LiveHosts   func() int
	// Peers takes the flushes; they are appended here only if it fails.
	Peers Peers
	// Window, FlushInterval and Log are those of Options, without defaults.
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

// Close appends the flushes that are due, without handing them to peers first,
// and stops a counter that NewCounter returned.
func (c *Counter) Close(ctx context.Context) error {
	c.setPeersFirst(false)
	err := c.Flush(ctx)
	c.close()
	c.batcher.Close()
	return err
}

// Add adds delivered work of a team to the current window.
func (c *Counter) Add(team string, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latestWindow = max(c.latestWindow, c.length.indexOf(c.clock.Now()))
	index := c.latestWindow
	w := c.windows[index]
	if w == nil {
		w = &windowCounts{teams: map[string]Counts{}}
		c.windows[index] = w
	}
	w.teams[team] = w.teams[team].plus(counts)
	w.dirty = true
}

// ObserveEra tells the counter of the era of the log. When it rises, the log may have lost
// the counts of windows that have not ended, so that these are flushed again.
func (c *Counter) ObserveEra(era int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era <= c.era {
		return
	}
	if c.era > 0 {
		for _, w := range c.windows {
			w.flushed, w.handovers = 0, 0
		}
	}
	c.era = era
}

// AcceptFlushes takes flushes that a peer handed over and appends them with the
// next flush. It is idempotent.
func (c *Counter) AcceptFlushes(flushes []Flush) {
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
// to peers, keeps them and returns the error of the append. A counter of
// NewCounter hands them to peers and appends them only if that fails. On
// shutdown, call Flush after the last Add.
func (c *Counter) Flush(ctx context.Context) error {
	flushes := c.dueFlushes()
	if len(flushes) > 0 && c.handsFirst() {
		err := c.peers.HandOver(ctx, flushes)
		if err == nil {
			c.markHandedOver(flushes)
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
	handAccepted := c.handsOverAccepted()
	for i, err := range errs {
		switch {
		case err == nil:
			c.markFlushed(flushes[i])
		default:
			first = err
			if flushes[i].Incarnation == c.incarnation || handAccepted {
				failed = append(failed, flushes[i])
			}
		}
	}
	if len(failed) > 0 && c.peers != nil {
		if err := c.peers.HandOver(ctx, failed); err != nil {
			c.log.WithFields(log.Fields{"flushes": len(failed), "error": err}).Warn("usage_handover_failed")
		}
	}
	return first
}

func (c *Counter) handsOverAccepted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handOverAccepted
}

func (c *Counter) setHandOverAccepted(hand bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handOverAccepted = hand
}

func (c *Counter) handsFirst() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peersFirst
}

// markHandedOver counts a handover of flushes to peers.
func (c *Counter) markHandedOver(flushes []Flush) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range flushes {
		w := c.windows[f.Window]
		if w == nil || w.sequence != f.Sequence {
			continue
		}
		if w.handovers++; w.handovers >= handoverRounds {
			w.flushed = f.Sequence
		}
	}
}

func (c *Counter) append(ctx context.Context, f Flush) error {
	e, err := logservice.NewEntry(f.id(), kindCounts, f)
	if err != nil {
		return err
	}
	// The timeout is at most one interval, so that a flush with an unknown outcome
	// is repeated in the next round: repeats are idempotent, and late counts miss
	// their window.
	appendCtx, cancel := clockwork.WithTimeout(ctx, c.clock, min(appendTimeout, c.interval))
	defer cancel()
	_, err = c.batcher.Append(appendCtx, e)
	return err
}

// dueFlushes returns the flushes to append. A window keeps its sequence number
// until counts are added, so that repeated flushes are the same record.
func (c *Counter) dueFlushes() []Flush {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := max(c.latestWindow, c.length.indexOf(c.clock.Now()))
	c.latestWindow = current
	var due []Flush
	for index, w := range c.windows {
		if w.dirty {
			w.sequence++
			w.dirty, w.handovers = false, 0
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

func (c *Counter) markFlushed(f Flush) {
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
