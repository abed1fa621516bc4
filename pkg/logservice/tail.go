package logservice

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	// DefaultPollWait is how long a long poll waits for a record. It bounds the
	// age of a host's view of an idle stream.
	DefaultPollWait = 2 * time.Second
	// pollGrace is added to the wait of a long poll to get the timeout of the
	// request, because a connection may go silent.
	pollGrace = 2 * time.Second
	// pageLimit is the maximum number of records of one read.
	pageLimit = 500
	// minBackoff and maxBackoff bound the delay after a failed read. maxBackoff
	// is less than the time after which a host with an unconfirmed view stops
	// serving.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// outageGrace is added to the longest regular time between two answers of an
	// idle stream. A longer time counts as an outage.
	outageGrace = time.Second
	// refreshGrace is how long a read in progress may take to return a record that
	// is known to be in the stream. A longer read is on a silent connection or was
	// sent while the log was down.
	refreshGrace = 400 * time.Millisecond
	// olderEraTolerance is how long all answers must state an earlier era than the tail has
	// seen until they count as of that era. An answer on its way from before the log was
	// restored is younger.
	olderEraTolerance = 10 * time.Second
)

// ErrClosed reports a wait that ended because its owner was closed.
var ErrClosed = errors.New("closed")

// ErrRestored reports a wait for a record that may be lost, because the log has come
// back from an older copy.
var ErrRestored = errors.New("the log has come back from an older copy")

var (
	// errGap reports a page that does not start at the requested offset.
	errGap = errors.New("page does not start at the requested offset")
	// errOlderEra reports an answer from before the log came back from an older copy.
	errOlderEra = errors.New("answer of an earlier era")
)

// EraStart is the point at which a tail begins to read in an era of the log.
type EraStart struct {
	// Era is zero if the log states none.
	Era int64
	// Restored is set if the tail has read earlier: the log has come back from an older
	// copy since, and what was folded may be lost. The records from offset Oldest on are
	// folded again.
	Restored bool
	Oldest   int64
}

// TailOptions configure a Tail.
type TailOptions struct {
	Client Client
	Stream string
	Clock  clockwork.Clock
	// Rand draws the jitter of the delays after failed reads. The tail owns it.
	Rand *rand.Rand
	// From is the first offset to read.
	From int64
	// Fold is called for every record once, in offset order, from one goroutine.
	// The entry is zero if the record's data is not an entry. Fold must not call
	// methods of the tail that wait.
	Fold func(Record, Entry)
	// Truncated, if set, is called when the records from offset missing up to,
	// not including, oldest have been truncated before they were read. The next
	// record folded is at oldest or later.
	Truncated func(missing, oldest int64)
	// EraStarted, if set, is called before the first record of an era is folded, from the
	// goroutine of Fold. It is not called for the first era if the log states none.
	EraStarted func(EraStart)
	ReadOptions
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
}

// ReadOptions sets how often a tail reads.
type ReadOptions struct {
	// PollWait is how long a long poll waits; DefaultPollWait if zero.
	PollWait time.Duration
	// MinInterval is the minimum time between two reads. It limits the requests
	// for a stream that many hosts append to. With zero, the next read starts at
	// once.
	MinInterval time.Duration
	// MaxBackoff bounds the delay after a failed read; two seconds if zero.
	MaxBackoff time.Duration
}

// TailStatus describes how far a tail has read.
type TailStatus struct {
	// Next is the offset of the next record to fold.
	Next int64
	// Era is the era in which the tail reads, zero if the log states none. Restores
	// counts how often the log has come back from an older copy. Offsets of before then
	// mean nothing.
	Era      int64
	Restores int
	// ReadToEndAt is the time at which the last read that reached the end of the
	// stream was sent; zero if there was none.
	ReadToEndAt time.Time
	// Truncations counts how often records were truncated before they were read.
	Truncations int
	// Failures counts failed reads since the last successful one.
	Failures int
	// OutageStart is the time of the last answer before the last outage,
	// OutageEnd that of the first answer after it. Both are zero if there was no
	// outage.
	OutageStart, OutageEnd time.Time
}

// Tail reads one stream in offset order and folds each record once. Its methods
// are safe for concurrent use.
type Tail struct {
	opts   TailOptions
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	status        TailStatus
	statusChanged chan struct{}
	watches       map[string][]*Watch
	// cancelRead cancels the read in progress, which was sent at readSentAt. It is
	// nil if there is none. interrupted is set if Refresh has cancelled the read.
	cancelRead  context.CancelFunc
	readSentAt  time.Time
	interrupted bool
	// lastAnswerAt is the time of the last successful answer, hasRead whether any answer
	// has stated what the log holds.
	lastAnswerAt time.Time
	hasRead      bool
	// olderEraSince is the time of the first of the last answers, all of which stated an
	// era before that of the tail; zero if the last one did not.
	olderEraSince time.Time

	// readNow ends the pause between reads that MinInterval sets.
	readNow chan struct{}
}

// Watch waits for the record with one ID, see Tail.Watch.
type Watch struct {
	tail  *Tail
	id    string
	found chan int64
}

// NewTail starts to read a stream. The caller must Close the tail.
func NewTail(opts TailOptions) *Tail {
	if opts.PollWait == 0 {
		opts.PollWait = DefaultPollWait
	}
	if opts.MaxBackoff == 0 {
		opts.MaxBackoff = maxBackoff
	}
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tail{
		readNow:       make(chan struct{}, 1),
		opts:          opts,
		cancel:        cancel,
		done:          make(chan struct{}),
		status:        TailStatus{Next: opts.From},
		statusChanged: make(chan struct{}),
		watches:       map[string][]*Watch{},
	}
	go t.run(ctx)
	return t
}

// Close stops the tail and waits for its goroutine.
func (t *Tail) Close() {
	t.cancel()
	<-t.done
}

// Status returns how far the tail has read.
func (t *Tail) Status() TailStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status
}

// WaitFor waits until the record at offset has been folded or was truncated. The
// record must be known to be in the stream: the tail reads at once, and restarts
// a read that does not return the record in time. It fails with the context's
// error, ErrClosed or ErrRestored.
func (t *Tail) WaitFor(ctx context.Context, offset int64) error {
	restores := t.Status().Restores
	err := t.waitRefreshing(ctx, func(s TailStatus) bool { return s.Next > offset || s.Restores != restores })
	if err == nil && t.Status().Restores != restores {
		return ErrRestored
	}
	return err
}

// waitFolded is WaitFor for the record of a watch. Its offset does not show whether it
// has been folded: it may be of an earlier or a later era than that of the tail.
func (t *Tail) waitFolded(ctx context.Context, w *Watch, offset int64, before TailStatus) error {
	truncated := func(s TailStatus) bool { return s.Truncations != before.Truncations && s.Next > offset }
	err := t.waitRefreshing(ctx, func(s TailStatus) bool {
		return len(w.found) > 0 || truncated(s) || s.Restores != before.Restores
	})
	if err == nil && len(w.found) == 0 && t.Status().Restores != before.Restores {
		return ErrRestored
	}
	return err
}

// waitRefreshing reads at once, waits until reached, and restarts reads that last too
// long.
func (t *Tail) waitRefreshing(ctx context.Context, reached func(TailStatus) bool) error {
	select {
	case t.readNow <- struct{}{}:
	default:
	}
	for grace := refreshGrace; ; grace *= 2 {
		graceCtx, cancel := clockwork.WithTimeout(ctx, t.opts.Clock, grace)
		err := t.wait(graceCtx, reached)
		cancel()
		if err == nil || errors.Is(err, ErrClosed) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t.Refresh()
	}
}

// Refresh restarts the read in progress if it is older than refreshGrace.
func (t *Tail) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelRead != nil && t.opts.Clock.Since(t.readSentAt) >= refreshGrace {
		t.cancelRead()
		t.cancelRead, t.interrupted = nil, true
	}
}

// WaitReadToEnd waits until a read that was sent at or after since has reached
// the end of the stream. It fails like WaitFor.
func (t *Tail) WaitReadToEnd(ctx context.Context, since time.Time) error {
	return t.wait(ctx, func(s TailStatus) bool {
		return !s.ReadToEndAt.IsZero() && !s.ReadToEndAt.Before(since)
	})
}

func (t *Tail) wait(ctx context.Context, reached func(TailStatus) bool) error {
	for {
		t.mu.Lock()
		ok, statusChanged := reached(t.status), t.statusChanged
		t.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-statusChanged:
		case <-ctx.Done():
			return ctx.Err()
		case <-t.done:
			return ErrClosed
		}
	}
}

// Watch returns a watch for the record with the given ID. It must be called
// before the record is appended. The caller must Stop the watch.
func (t *Tail) Watch(id string) *Watch {
	w := &Watch{tail: t, id: id, found: make(chan int64, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watches[id] = append(t.watches[id], w)
	return w
}

// Found returns a channel that receives the offset of the first record with the
// ID once it has been folded.
func (w *Watch) Found() <-chan int64 { return w.found }

// Stop removes the watch from its tail.
func (w *Watch) Stop() {
	w.tail.mu.Lock()
	defer w.tail.mu.Unlock()
	var kept []*Watch
	for _, other := range w.tail.watches[w.id] {
		if other != w {
			kept = append(kept, other)
		}
	}
	if kept == nil {
		delete(w.tail.watches, w.id)
		return
	}
	w.tail.watches[w.id] = kept
}

// run reads until ctx ends.
func (t *Tail) run(ctx context.Context) {
	defer close(t.done)
	backoff := minBackoff
	for ctx.Err() == nil {
		startedAt := t.opts.Clock.Now()
		err := t.readOnce(ctx)
		if err != nil && t.wasInterrupted() {
			continue
		}
		if err == nil {
			backoff = minBackoff
			if rest := t.opts.MinInterval - t.opts.Clock.Since(startedAt); rest > 0 {
				t.pause(ctx, rest, t.readNow)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.recordFailure(err)
		t.pause(ctx, backoff/2+time.Duration(t.opts.Rand.Int63n(int64(backoff))), nil)
		backoff = min(2*backoff, t.opts.MaxBackoff)
	}
}

// pause waits for d, or until readNow receives or ctx ends.
func (t *Tail) pause(ctx context.Context, d time.Duration, readNow <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-readNow:
	case <-t.opts.Clock.After(d):
	}
}

// recordFailure counts a failed read. It logs only the first failure of a series,
// so that an outage does not fill the log.
func (t *Tail) recordFailure(err error) {
	t.mu.Lock()
	t.status.Failures++
	first := t.status.Failures == 1
	t.mu.Unlock()
	if first {
		step, peer := steperr.StepAndPeer(err)
		t.opts.Log.WithFields(log.Fields{"stream": t.opts.Stream, "step": step, "peer": peer, "error": err}).Warn("log_read_failed")
	}
}

func (t *Tail) readOnce(ctx context.Context) error {
	status := t.Status()
	next, wait := status.Next, t.opts.PollWait
	if status.ReadToEndAt.IsZero() {
		// A new process must learn at once that an idle stream has no more records.
		wait = 0
	}
	sentAt := t.opts.Clock.Now()
	readCtx, cancel := clockwork.WithTimeout(ctx, t.opts.Clock, t.opts.PollWait+pollGrace)
	defer cancel()
	t.beginRead(cancel, sentAt)
	page, err := t.opts.Client.Read(readCtx, t.opts.Stream, next, pageLimit, wait)
	var truncated *TruncatedError
	if errors.As(err, &truncated) {
		return t.handleTruncated(*truncated, next, err)
	}
	if err != nil {
		return err
	}
	if restored, err := t.followEra(page.Era, page.Oldest); restored || err != nil {
		return err
	}
	return t.foldPage(page, next, sentAt)
}

// handleTruncated continues after a read from an offset that the log does not have.
func (t *Tail) handleTruncated(truncated TruncatedError, next int64, cause error) error {
	if restored, err := t.followEra(truncated.Era, truncated.Oldest); restored || err != nil {
		return err
	}
	switch {
	case truncated.Oldest > next:
		t.skipTo(truncated.Oldest)
	case truncated.Oldest < next:
		// The offset is beyond the end of the log.
		t.restart(EraStart{Era: t.Status().Era, Restored: true, Oldest: truncated.Oldest})
	default:
		return cause
	}
	return nil
}

// followEra compares the era of an answer with that of the tail. It reports whether it
// has restarted the view, so that the answer is to be dropped. An answer without an era
// counts as of the tail's, and so does one that has stated an earlier era for
// olderEraTolerance: the highest decides.
func (t *Tail) followEra(era, oldest int64) (restored bool, err error) {
	t.mu.Lock()
	current, hasRead, now := t.status.Era, t.hasRead, t.opts.Clock.Now()
	t.hasRead = true
	if era >= current || era == 0 {
		t.olderEraSince = time.Time{}
	} else if t.olderEraSince.IsZero() {
		t.olderEraSince = now
	}
	olderFor := now.Sub(t.olderEraSince)
	t.mu.Unlock()
	switch {
	case era == 0 || era == current:
		return false, nil
	case era < current && olderFor >= olderEraTolerance:
		return false, nil
	case era < current:
		return false, errors.Wrapf(errOlderEra, "%d instead of %d", era, current)
	}
	t.restart(EraStart{Era: era, Restored: hasRead, Oldest: oldest})
	return hasRead, nil
}

// restart begins an era.
func (t *Tail) restart(start EraStart) {
	t.mu.Lock()
	before := t.status.Next
	t.status.Era = start.Era
	if start.Restored {
		t.status.Next, t.status.ReadToEndAt = start.Oldest, time.Time{}
		t.status.Restores++
		t.notifyStatusChanged()
	}
	t.mu.Unlock()
	if t.opts.EraStarted != nil {
		t.opts.EraStarted(start)
	}
	if start.Restored {
		t.opts.Log.WithFields(log.Fields{"stream": t.opts.Stream, "era": start.Era, "next": before, "oldest": start.Oldest}).Warn("log_restored")
	}
}

// beginRead stores how Refresh can cancel the read that is about to be sent.
func (t *Tail) beginRead(cancel context.CancelFunc, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelRead, t.readSentAt, t.interrupted = cancel, at, false
}

// wasInterrupted reports whether Refresh cancelled the last read.
func (t *Tail) wasInterrupted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.interrupted
}

// skipTo continues at offset oldest after a truncation.
func (t *Tail) skipTo(oldest int64) {
	t.mu.Lock()
	missing := t.status.Next
	t.mu.Unlock()
	if t.opts.Truncated != nil {
		t.opts.Truncated(missing, oldest)
	}
	t.opts.Log.WithFields(log.Fields{"stream": t.opts.Stream, "missing": missing, "oldest": oldest}).Warn("log_truncated")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.Next = oldest
	t.status.Truncations++
	t.notifyStatusChanged()
}

// foldPage folds the records of a page that was requested at offset next.
func (t *Tail) foldPage(page Page, next int64, sentAt time.Time) error {
	era := t.Status().Era
	for _, r := range page.Records {
		if r.Offset < next {
			continue
		}
		if r.Offset > next {
			return errors.Wrapf(errGap, "expected %d, got %d", next, r.Offset)
		}
		r.Era = era
		e, _ := DecodeEntry(r.Data)
		t.opts.Fold(r, e)
		next++
		t.advance(r.Offset, e.ID)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelRead = nil
	now := t.opts.Clock.Now()
	if !t.lastAnswerAt.IsZero() && now.Sub(t.lastAnswerAt) > t.opts.PollWait+t.opts.MinInterval+outageGrace {
		t.status.OutageStart, t.status.OutageEnd = t.lastAnswerAt, now
	}
	t.lastAnswerAt = now
	t.status.Failures = 0
	if next >= page.End {
		t.status.ReadToEndAt = sentAt
		t.notifyStatusChanged()
	}
	return nil
}

// advance moves the status past the record at offset and notifies the watches of
// its ID.
func (t *Tail) advance(offset int64, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.Next = offset + 1
	for _, w := range t.watches[id] {
		select {
		case w.found <- offset:
		default:
		}
	}
	t.notifyStatusChanged()
}

// notifyStatusChanged wakes the goroutines in wait. It must be called with mu
// held.
func (t *Tail) notifyStatusChanged() {
	close(t.statusChanged)
	t.statusChanged = make(chan struct{})
}
