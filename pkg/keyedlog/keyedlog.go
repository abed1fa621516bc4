// Package keyedlog follows a stream of the log service whose records carry keys
// and whose newest record of each key is kept for good.
//
// State: the offset up to which the stream was followed. Guarantees: the newest
// change of each key is applied in offset order, or, when records between were
// dropped or more are left than one read returns, the newest state of all keys
// is applied as a whole. When the service does not answer, the last state stays
// and reads are repeated with a growing delay.
//
// The load pattern of the last case: large values that are replaced faster than
// a host with a slow link reads them all.
package keyedlog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	// minBackoff and maxBackoff bound the delay between failed reads of a host that
	// reads for others or for itself alone. The upper bound stays below the time in
	// which a configuration must be in force.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxDoublings is how often the delay doubles, at most.
	maxDoublings = 8
	// readGrace is added to the wait of a read before it is given up.
	readGrace = 700 * time.Millisecond
	// newestTimeout bounds the reading of all keys.
	newestTimeout = 3 * time.Second
)

// Record is the newest state of a key at an offset.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Dropped says that the key has no value any more.
	Dropped bool
}

// Page is a part of the stream. Next is the offset to go on from, End that of the
// stream's end when it was read.
type Page struct {
	Records   []Record
	Next, End int64
}

// Client reads the stream. Implementations are safe for concurrent use.
type Client interface {
	// Newest returns the newest record of each key. Next is the end of the
	// stream before the first of them was read.
	Newest(ctx context.Context, topic string) (Page, error)
	// Read returns the records from an offset, and waits for one if there is
	// none. It fails with *logservice.TruncatedError if they are gone.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Write appends the new value of a key.
	Write(ctx context.Context, topic, key string, value []byte) error
}

// Options configure a Follower.
type Options struct {
	Client Client
	Topic  string
	// Wait returns how long the next read may wait for a record.
	Wait func() time.Duration
	// Pace returns the least time between two reads, which bounds their number;
	// nil for none.
	Pace func() time.Duration
	// Apply receives changes: of the changes of one key that arrive together only
	// the newest.
	Apply func(Record)
	// Reset receives the whole state.
	Reset func([]Record)
	// Answered, if set, is told of each read that the store answered.
	Answered func()
	// Sharing is nil if every host reads by itself.
	Sharing *Sharing
	Log     log.Interface
}

// Follower follows one topic. Run is called once; the other methods are safe for
// concurrent use.
type Follower struct {
	opts Options
	// next and known are written by Run only.
	next    atomic.Int64
	known   bool
	failing bool
	// offers are pages that other hosts have read; news wakes a follower that
	// waits for them.
	offers chan offer
	news   chan struct{}

	mu sync.Mutex
	// told is the furthest offset that another host has told, toldAt since when;
	// coveredAt is when the store last answered one that is not behind this host,
	// answeredAt when it last answered this host. All are guarded by mu.
	told                          int64
	toldAt, coveredAt, answeredAt time.Time
	// cancel ends the read in progress; nil if there is none. It is guarded by mu.
	cancel context.CancelFunc
	// began is when it was sent; guarded by mu.
	began time.Time
	// interrupted says that Behind ended the read; guarded by mu.
	interrupted bool
	// interruptions counts the reads that Behind has ended since the last answer;
	// guarded by mu.
	interruptions int
}

// behindGrace is how long a read may take to show what another host has read: its
// answer may be on the way, and the store may be slow.
// Each read that was begun again because of it may take twice as long, up to
// longestGrace: on a slow link the transfer itself takes that time.
const (
	behindGrace  = 600 * time.Millisecond
	longestGrace = 5 * time.Second
)

// Behind is told that another host has followed the topic up to an offset. If the
// read in progress has not shown the same for a while, its connection has gone
// silent, and another read is begun. A read that has just begun is left alone:
// many hosts tell the same at once.
func (f *Follower) Behind(next int64) {
	if f.next.Load() >= next {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil && time.Since(f.began) >= min(longestGrace, behindGrace<<min(f.interruptions, 8)) {
		f.interrupted = true
		f.interruptions++
		f.cancel()
		f.cancel = nil
	}
}

// NewFollower returns a follower that Run starts.
func NewFollower(opts Options) *Follower {
	return &Follower{opts: opts, offers: make(chan offer, maxOffers), news: make(chan struct{}, 1)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !f.await(ctx) {
			continue
		}
		started := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.note(err)
			least, most := f.backoffBounds()
			backoff := min(least<<min(failures, maxDoublings), most)
			failures++
			f.pause(ctx, backoff/2+rand.N(backoff), f.news)
			continue
		}
		failures = 0
		f.note(nil)
		if f.opts.Pace != nil {
			f.pause(ctx, f.opts.Pace()-time.Since(started), nil)
		}
	}
}

// note logs the first failure of a series and the answer that ends it.
func (f *Follower) note(err error) {
	fields := f.opts.Log.WithField("topic", f.opts.Topic).WithField("next", f.next.Load())
	if err == nil {
		if f.failing {
			fields.Info("store_regained")
		}
		f.failing = false
		if f.opts.Answered != nil {
			f.opts.Answered()
		}
		return
	}
	if !f.failing {
		step, peer := steperr.StepAndPeer(err)
		fields.WithField("step", step).WithField("peer", peer).WithError(err).Warn("store_lost")
	}
	f.failing = true
}

func (f *Follower) step(ctx context.Context) error {
	if !f.known {
		return f.reset(ctx)
	}
	wait := f.opts.Wait()
	readCtx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	f.setCancel(cancel)
	from := f.next.Load()
	page, err := f.opts.Client.Read(readCtx, f.opts.Topic, from, wait)
	if f.finish(err) {
		// The next read begins on another connection.
		return nil
	}
	var truncated *logservice.TruncatedError
	if errors.As(err, &truncated) {
		f.known = false
		return nil
	}
	if err != nil {
		return err
	}
	for _, r := range newestOfEach(page.Records) {
		f.opts.Apply(r)
	}
	f.next.Store(page.Next)
	// What is left has newer values of the same keys.
	f.known = page.Next >= page.End
	f.publish(from, page)
	return nil
}

// newestOfEach returns the last record of each key, in the order of offsets.
func newestOfEach(records []Record) []Record {
	last := make(map[string]int64, len(records))
	for _, r := range records {
		last[r.Key] = r.Offset
	}
	kept := make([]Record, 0, len(last))
	for _, r := range records {
		if last[r.Key] == r.Offset {
			kept = append(kept, r)
		}
	}
	return kept
}

func (f *Follower) setCancel(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.began, f.interrupted = cancel, time.Now(), false
}

// finish ends a read and reports whether it failed because it was interrupted.
func (f *Follower) finish(err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	if err == nil {
		f.interruptions, f.answeredAt = 0, time.Now()
	}
	return f.interrupted && err != nil
}

func (f *Follower) reset(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	f.setCancel(cancel)
	page, err := f.opts.Client.Newest(readCtx, f.opts.Topic)
	if f.finish(err) {
		return nil
	}
	if err != nil {
		return err
	}
	f.opts.Reset(page.Records)
	f.next.Store(page.Next)
	f.known = true
	return nil
}
