// Package keyedlog follows a topic of the log service, here called the store.
// Every record has a key, and the store keeps the newest record of each key.
//
// State: the offset up to which the topic has been followed, and the era of the store
// to which the offset belongs, see logservice.Eras. Guarantees:
// changes are applied in offset order; of the changes to one key that arrive
// together, only the newest is applied. If the store has dropped records in
// between, or a read returns only part of what is left, the newest state of all
// keys is applied as a whole. While the store does not answer, the last state
// stays and reads are retried with exponential backoff.
//
// When the store comes back from an older copy, it gives offsets out again. A newer era
// in an answer, or told by another host, therefore leads to a reload, whether or not
// the store still has the offset; an answer of an older era is discarded.
//
// Partial reads lead to a reload because large values may be replaced faster
// than a host with a slow link can read them all.
package keyedlog

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	// minBackoff and maxBackoff bound the delay between failed reads of a host
	// that leads or does not share its reads. maxBackoff is below the time
	// within which a new configuration must be in force.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxDoublings limits the exponential growth of the delay.
	maxDoublings = 8
	// readTimeoutMargin is added to the poll wait of a read to get its timeout.
	readTimeoutMargin = 700 * time.Millisecond
	// newestTimeout bounds a read of the newest records of all keys.
	newestTimeout = 3 * time.Second
)

// Record is the newest state of a key at an offset.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Dropped means that the key was deleted.
	Dropped bool
}

// Page is the result of a read. Next is the offset at which to continue, End
// the end of the topic at the time of the read. Era is the era of the store, see
// logservice.Eras; zero if it states none.
type Page struct {
	Records   []Record
	Next, End int64
	Era       int64
}

// ErrUnavailable reports that the store was reached and stated that it is unavailable.
// Other failures may as well be those of this host's network.
var ErrUnavailable = errors.New("the store states that it is unavailable")

// Client accesses the store. Implementations are safe for concurrent use.
type Client interface {
	// Newest returns the newest record of each key. Next is the end of the
	// topic before the first of them was read. All records are of one era.
	Newest(ctx context.Context, topic string) (Page, error)
	// Read returns the records from an offset on. If there are none yet, it
	// waits for one, at most for wait. It fails with *logservice.TruncatedError
	// if the store has dropped the records or ends before the offset.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Write appends a new value of a key. An empty value deletes the key.
	Write(ctx context.Context, topic, key string, value []byte) error
}

// Class says how a record compares with the earlier ones of its key.
type Class int

// Classes. A Change is published by leaders, a Repetition is not. An Unusable record, such
// as one of another writer, is treated as if it had not been written.
const (
	Change Class = iota
	Repetition
	Unusable
)

// Options configure a Follower.
type Options struct {
	Client Client
	Topic  string
	// PollWait returns how long the next read may wait for a record.
	PollWait func() time.Duration
	// MinInterval returns the least time between the starts of two reads, which
	// bounds their rate. Nil sets no bound.
	MinInterval func() time.Duration
	// Apply receives usable records. Of those of one key that arrive together it
	// receives only the newest.
	Apply func(Record)
	// Classify compares a record with the earlier ones of its key. It must depend on the
	// records of the topic alone: what this host knows from another source, another host
	// may not know. It is called for each record, in offset order, before Apply. Of the
	// records of a key that arrive together, the newest is published if any of them is a
	// Change, because other hosts may know only the first ones. If it is nil, all records
	// are changes.
	Classify func(Record) Class
	// Applied, if set, is called once after the changes that arrived together.
	Applied func()
	// Reset receives the newest records of all keys, also unusable ones, which replace
	// the state.
	Reset func([]Record)
	// OnAnswer, if set, is called for each read that the store answered, before its
	// records are applied. OnUnavailable, if set, is called for each read that failed
	// with ErrUnavailable.
	OnAnswer, OnUnavailable func()
	// OnEra, if set, is called when a newer era of the store has become known.
	OnEra func(era int64)
	// ReloadSpread, if set, returns the time over which the hosts spread the reloads
	// that they all begin when the store was restored.
	ReloadSpread func() time.Duration
	// Sharing is nil if every host reads the topic itself.
	Sharing *Sharing
	Log     log.Interface
}

// Follower follows one topic. Run is called once; the other methods are safe
// for concurrent use.
type Follower struct {
	opts Options
	// next is the offset to read from. Only Run writes it.
	next atomic.Int64
	// complete says that the state up to next is complete; otherwise the whole
	// state is loaded. loaded says that it was loaded at least once, failing that
	// the last read failed. Only Run uses them.
	complete, loaded, failing bool
	// reloadedTo is the offset after the last record of the last reload, which may
	// exceed the offset from which the reads went on. The records before it are
	// published even if they change nothing here.
	reloadedTo int64
	// offers holds pages that other hosts have read. peerAhead wakes the
	// follower when another host reports an offset beyond next.
	offers    chan offer
	peerAhead chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.

	// peerNext is the furthest offset that another host has reported,
	// peerNextAt when it was first reported. confirmedAt is when the store last
	// answered a host that had followed the topic at least as far as this one.
	// answeredAt is when the store last answered this host.
	peerNext                            int64
	peerNextAt, confirmedAt, answeredAt time.Time
	// era is the newest era of the store that is known, nextEra the one to which
	// next belongs. If they differ, the whole state is loaded. spreadReload says
	// that all hosts begin the next reload at once.
	era, nextEra int64
	spreadReload bool
	// cancel ends the read in progress; nil if there is none.
	cancel context.CancelFunc
	// readStartedAt is when that read began, reloading that it reads the whole state.
	readStartedAt time.Time
	reloading     bool
	// interrupted says that InterruptIfBehind or ObserveEra cancelled that read.
	interrupted bool
	// interruptions counts the reads that InterruptIfBehind has cancelled since
	// the last answer.
	interruptions int
}

// behindGrace is how long a read may take to return what another host has
// already read: its answer may be on the way, and the store may be slow. The
// grace time doubles with each cancelled read, up to maxBehindGrace, because on
// a slow link the transfer itself takes that long.
const (
	behindGrace    = 600 * time.Millisecond
	maxBehindGrace = 5 * time.Second
)

// InterruptIfBehind is called when another host has followed the topic up to
// next. If this host has not, and its read in progress has exceeded its grace
// time, the connection has probably stalled: the read is cancelled and Run
// begins another one. A read within its grace time continues, because many
// hosts report the same offset at once.
func (f *Follower) InterruptIfBehind(next int64) {
	if f.next.Load() >= next {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil && time.Since(f.readStartedAt) >= min(maxBehindGrace, behindGrace<<min(f.interruptions, 8)) {
		f.interrupted = true
		f.interruptions++
		f.cancel()
		f.cancel = nil
	}
}

// NewFollower returns a follower that Run starts.
func NewFollower(opts Options) *Follower {
	return &Follower{opts: opts, offers: make(chan offer, maxOffers), peerAhead: make(chan struct{}, 1)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !f.waitForPeers(ctx) {
			continue
		}
		f.spreadReloads(ctx)
		started := time.Now()
		err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.logOutcome(err)
			least, most := f.backoffBounds()
			backoff := min(least<<min(failures, maxDoublings), most)
			failures++
			f.pause(ctx, backoff/2+rand.N(backoff), f.peerAhead)
			continue
		}
		failures = 0
		f.logOutcome(nil)
		if f.opts.MinInterval != nil {
			f.pause(ctx, f.opts.MinInterval()-time.Since(started), nil)
		}
	}
}

// logOutcome logs the first failure of a series and the success that ends it.
func (f *Follower) logOutcome(err error) {
	fields := f.opts.Log.WithField("topic", f.opts.Topic).WithField("next", f.next.Load())
	if err == nil {
		if f.failing {
			fields.Info("store_regained")
		}
		f.failing = false
		return
	}
	if !f.failing {
		step, peer := steperr.StepAndPeer(err)
		fields.WithField("step", step).WithField("peer", peer).WithError(err).Warn("store_lost")
	}
	f.failing = true
}

// readOnce reads and applies the next records, or the whole state if it is not
// synced.
func (f *Follower) readOnce(ctx context.Context) error {
	if !f.synced() {
		return f.reloadState(ctx)
	}
	wait := f.opts.PollWait()
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	known, began := f.beginRead(cancel, false)
	if !f.synced() {
		// A newer era has become known before the read was marked as in progress.
		return nil
	}
	from := f.next.Load()
	page, err := f.opts.Client.Read(readCtx, f.opts.Topic, from, wait)
	if f.finishRead(err) {
		// The next read begins on another connection.
		return nil
	}
	var truncated *logservice.TruncatedError
	if errors.As(err, &truncated) {
		f.complete = false
		if truncated.Oldest <= from {
			// The topic ends before the offset: the store was restored.
			f.mu.Lock()
			f.spreadReload = true
			f.mu.Unlock()
		}
		return nil
	}
	if err != nil {
		return err
	}
	era, ok := f.eraOfAnswer(page.Era, known)
	if !ok || era != known {
		// The offset was of another era than the records.
		return nil
	}
	f.refutePeers(page.End, began)
	published := page
	published.Era = era
	published.Records = f.apply(page.Records)
	if !f.moveTo(era, page.Next) {
		return nil
	}
	// After a partial read the state is reloaded: the remaining records replace
	// values of the same keys.
	f.complete = page.Next >= page.End
	if len(page.Records) > 0 {
		f.publish(from, published)
	}
	return nil
}

// apply applies the newest usable record of each key and returns those that other hosts
// need.
func (f *Follower) apply(records []Record) []Record {
	changed := map[string]bool{}
	usable := make([]Record, 0, len(records))
	for _, r := range records {
		class := Change
		if f.opts.Classify != nil {
			class = f.opts.Classify(r)
		}
		if class == Unusable {
			continue
		}
		usable = append(usable, r)
		if class == Change || r.Offset < f.reloadedTo {
			changed[r.Key] = true
		}
	}
	newest := newestPerKey(usable)
	for _, r := range newest {
		f.opts.Apply(r)
	}
	if len(records) > 0 && f.opts.Applied != nil {
		f.opts.Applied()
	}
	return slices.DeleteFunc(newest, func(r Record) bool { return !changed[r.Key] })
}

// newestPerKey returns the last record of each key, in offset order.
func newestPerKey(records []Record) []Record {
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

// beginRead marks a read as in progress and returns the newest era that is known at its
// begin. InterruptIfBehind calls cancel.
func (f *Follower) beginRead(cancel context.CancelFunc, reload bool) (era int64, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.readStartedAt, f.reloading, f.interrupted = cancel, time.Now(), reload, false
	return f.era, f.readStartedAt
}

// finishRead marks the read in progress as ended. It reports whether the read
// failed because InterruptIfBehind or ObserveEra cancelled it.
func (f *Follower) finishRead(err error) bool {
	var truncated *logservice.TruncatedError
	switch {
	case err == nil || errors.As(err, &truncated):
		if f.opts.OnAnswer != nil {
			f.opts.OnAnswer()
		}
	case errors.Is(err, ErrUnavailable) && f.opts.OnUnavailable != nil:
		f.opts.OnUnavailable()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	if err == nil {
		f.interruptions, f.answeredAt = 0, time.Now()
	}
	return f.interrupted && err != nil
}

func (f *Follower) reloadState(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	known, began := f.beginRead(cancel, true)
	page, err := f.opts.Client.Newest(readCtx, f.opts.Topic)
	if f.finishRead(err) {
		return nil
	}
	if err != nil {
		return err
	}
	era, ok := f.eraOfAnswer(page.Era, known)
	if !ok {
		return nil
	}
	f.refutePeers(page.End, began)
	f.reloadedTo = 0
	for _, r := range page.Records {
		f.reloadedTo = max(f.reloadedTo, r.Offset+1)
	}
	f.opts.Reset(page.Records)
	before := f.Progress()
	if !f.moveTo(era, page.Next) {
		return nil
	}
	f.mu.Lock()
	f.spreadReload = false
	f.mu.Unlock()
	if f.loaded && (era != before.Era || page.Next < before.Next) {
		f.opts.Log.WithFields(log.Fields{"topic": f.opts.Topic, "era": era, "era_before": before.Era, "next": page.Next, "next_before": before.Next}).Info("topic_restored")
	}
	f.complete, f.loaded = true, true
	return nil
}
