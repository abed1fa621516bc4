package once

import (
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// Defaults of Options.
const (
	// DefaultRecordTimeout bounds the time until the attempt record is folded.
	DefaultRecordTimeout = 3 * time.Second
	// DefaultSendLimit bounds the time from before the append of the attempt
	// record to the send. It must be far shorter than the deduplication period,
	// after which another attempt may own the key.
	DefaultSendLimit = 5 * time.Second
	// DefaultOutcomeWait bounds the wait for another attempt's outcome.
	DefaultOutcomeWait = 10 * time.Second
	// DefaultMaxAttempts and DefaultMaxOutcomeBytes bound the table to about
	// 36 MB in total. Beyond DefaultMaxAttempts, requests are refused for a
	// whole period, so it covers 27 orders per second for one hour.
	DefaultMaxAttempts     = 100_000
	DefaultMaxOutcomeBytes = 8 << 20
	// OutcomeBodyLimit is the largest body of an outcome record, in bytes.
	OutcomeBodyLimit = 64 << 10
)

// Options configure an Executor. Zero durations and bounds take the defaults.
type Options struct {
	Client logservice.Client
	Clock  clockwork.Clock
	// Rand is the source of jitter; the executor owns it.
	Rand *rand.Rand
	// Incarnation identifies this run of the process and is never reused.
	Incarnation string
	// Period is the deduplication period. It must be the same on all hosts and
	// shorter than the retention of the log.
	Period time.Duration
	// LiveHosts returns the number of hosts that append attempts.
	LiveHosts       func() int
	RecordTimeout   time.Duration
	SendLimit       time.Duration
	OutcomeWait     time.Duration
	MaxAttempts     int
	MaxOutcomeBytes int
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
}

// Executor runs requests at most once. Its methods are safe for concurrent use.
type Executor struct {
	opts     Options
	tail     *logservice.Tail
	batcher  *logservice.Batcher
	recorder *recorder

	mu sync.Mutex
	// The fields below are guarded by mu.
	table   *table
	waiters map[keyHash]chan struct{}
	// withdrawn holds the attempts that will never be sent and whose record has
	// not been folded, with the time after which they may be forgotten.
	withdrawn map[string]time.Time
	lastID    int64
	// truncatedAt is when the tail last reported missing records.
	truncatedAt time.Time
	// foldedAt is when the last record was folded.
	foldedAt time.Time

	// markerJitter is in [0, 1). It spreads the marker checks of the hosts.
	markerJitter float64
	stopMarkers  context.CancelFunc
	markers      sync.WaitGroup

	disabled disabledGuards
	// testHook is called at named points, where a test may pause the process.
	testHook func(point string)
}

// disabledGuards disables safety mechanisms one by one, so that tests can show
// that each is needed.
type disabledGuards struct {
	firstWins bool
	withdraw  bool
	sendLimit bool
	markers   bool
}

// New starts an executor. The caller must Close it.
func New(opts Options) (*Executor, error) { return newExecutor(opts, disabledGuards{}, nil, false) }

func newExecutor(opts Options, disabled disabledGuards, testHook func(string), unguardedTable bool) (*Executor, error) {
	setDefaults(&opts)
	if opts.Incarnation == "" || opts.Period < 4*opts.SendLimit {
		return nil, errors.New("once: an incarnation and a period of at least four send limits are required")
	}
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	if testHook == nil {
		testHook = func(string) {}
	}
	x := &Executor{opts: opts, disabled: disabled, testHook: testHook, waiters: map[keyHash]chan struct{}{}, withdrawn: map[string]time.Time{}}
	x.table = newTable(opts.Period, opts.MaxAttempts, opts.MaxOutcomeBytes, x.notify)
	x.table.unguarded = unguardedTable
	// The tail uses the same Rand once it runs, so draw the jitter before.
	x.markerJitter = opts.Rand.Float64()
	x.foldedAt = opts.Clock.Now()
	x.recorder = newRecorder(opts.Clock, opts.Log)
	x.tail = logservice.NewTail(logservice.TailOptions{
		Client: opts.Client, Stream: logservice.StreamAttempts, Clock: opts.Clock, Rand: opts.Rand,
		Fold: x.fold, Truncated: x.onTruncated, Log: opts.Log,
	})
	x.batcher = logservice.NewBatcher(logservice.BatcherOptions{
		Client: opts.Client, Stream: logservice.StreamAttempts, Clock: opts.Clock,
		Tail: x.tail, LiveHosts: opts.LiveHosts,
	})
	x.recorder.start(x.batcher)
	x.startMarkers()
	return x, nil
}

func setDefaults(o *Options) {
	o.RecordTimeout = cmp.Or(o.RecordTimeout, DefaultRecordTimeout)
	o.SendLimit = cmp.Or(o.SendLimit, DefaultSendLimit)
	o.OutcomeWait = cmp.Or(o.OutcomeWait, DefaultOutcomeWait)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	o.MaxOutcomeBytes = cmp.Or(o.MaxOutcomeBytes, DefaultMaxOutcomeBytes)
}

// Close stops the executor and waits for its goroutines. Outcome and abandoned
// records that have not been appended are lost: requests with their keys get
// ErrOutcomeUnknown. Call Flush first on a graceful shutdown.
func (x *Executor) Close() {
	x.stopMarkers()
	x.markers.Wait()
	x.recorder.close()
	x.batcher.Close()
	x.tail.Close()
}

// Flush waits until every outcome and abandoned record has been appended.
func (x *Executor) Flush(ctx context.Context) error { return x.recorder.flush(ctx) }

// Status returns how far the attempts stream has been folded.
func (x *Executor) Status() logservice.TailStatus { return x.tail.Status() }

func (x *Executor) fold(r logservice.Record, e logservice.Entry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.table.fold(r, e)
	x.foldedAt = x.opts.Clock.Now()
	if e.Kind != kindAttempt {
		return
	}
	if _, ok := x.withdrawn[e.ID]; ok {
		delete(x.withdrawn, e.ID)
		x.recordAbandoned(e)
	}
}

func (x *Executor) onTruncated(_, _ int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.table.markTruncated()
	x.truncatedAt = x.opts.Clock.Now()
}

// notify wakes the requests that wait for key. mu must be held.
func (x *Executor) notify(key keyHash) {
	if ch := x.waiters[key]; ch != nil {
		close(ch)
		delete(x.waiters, key)
	}
}

// Execute runs a request by calling send at most once. If another attempt owns
// the key, it returns that attempt's outcome instead. Its errors wrap ErrNotRun,
// ErrKeyReused or ErrOutcomeUnknown.
//
// send must use a new connection and must not retry. If the request certainly
// did not run (the connection could not be opened), send returns an error that
// wraps ErrNotRun; any other error means that it may have run.
func (x *Executor) Execute(ctx context.Context, req Request, send func(context.Context) (Outcome, error)) (Outcome, error) {
	if req.Key == "" {
		return Outcome{}, errors.Wrap(ErrNotRun, "idempotency key is empty")
	}
	key := hashKey(req.Team, req.Key)
	known, err := x.lookup(key)
	if err != nil {
		return Outcome{}, err
	}
	if known != nil {
		return x.awaitOutcome(ctx, key, known, req)
	}
	attempt, startedAt, err := x.recordAttempt(ctx, key, req)
	if err != nil {
		return Outcome{}, err
	}
	x.testHook("recorded")
	owner, err := x.checkOwnership(attempt, key, startedAt)
	if err != nil {
		return Outcome{}, err
	}
	if owner != nil {
		return x.awaitOutcome(ctx, key, owner, req)
	}
	return x.send(ctx, key, attempt, send)
}

// lookup returns the key's entry, or nil if the key is free and this host may
// record an attempt. Read the entry's mutable fields with mu held only.
func (x *Executor) lookup(key keyHash) (*entry, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.table.entries[key]; e != nil {
		return e, nil
	}
	// Once a whole period has passed since the truncation was noticed, the
	// missing records have expired. Folding this attempt's record confirms it by
	// the service's timestamps.
	periodPassed := !x.truncatedAt.IsZero() && x.opts.Clock.Since(x.truncatedAt) >= x.opts.Period
	if !x.table.complete() && !periodPassed {
		return nil, errors.Wrap(ErrNotRun, "records younger than the deduplication period are missing")
	}
	if len(x.withdrawn) >= x.opts.MaxAttempts {
		x.forgetWithdrawn()
		return nil, errors.Wrap(ErrNotRun, "too many withdrawn attempts")
	}
	return nil, nil
}

// forgetWithdrawn removes withdrawn attempts whose record did not appear within
// a period. If a record appears later still, it blocks its key for a period. mu
// must be held.
func (x *Executor) forgetWithdrawn() {
	for id, until := range x.withdrawn {
		if x.opts.Clock.Now().After(until) {
			delete(x.withdrawn, id)
		}
	}
}

// recordAttempt appends an attempt record, waits until it is folded and returns
// the attempt's ID and start.
func (x *Executor) recordAttempt(ctx context.Context, key keyHash, req Request) (string, time.Time, error) {
	id := x.newAttemptID()
	startedAt := x.opts.Clock.Now()
	e, err := logservice.NewEntry(id, kindAttempt, attemptRecord{
		Team:        req.Team,
		KeyHash:     hex.EncodeToString(key[:]),
		Digest:      hex.EncodeToString(req.Digest[:]),
		Incarnation: x.opts.Incarnation,
		Attempt:     id,
	})
	if err != nil {
		return "", startedAt, errors.Wrap(ErrNotRun, err.Error())
	}
	recordCtx, cancel := clockwork.WithTimeout(ctx, x.opts.Clock, x.opts.RecordTimeout)
	defer cancel()
	err = x.batcher.AppendFolded(recordCtx, e)
	if err == nil || (x.disabled.withdraw && !errors.Is(err, logservice.ErrNotAppended)) {
		return id, startedAt, nil
	}
	if !errors.Is(err, logservice.ErrNotAppended) {
		x.withdraw(key, id)
	}
	return "", startedAt, errors.Wrapf(ErrNotRun, "record attempt %s: %v", id, err)
}

func (x *Executor) newAttemptID() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastID++
	return fmt.Sprintf("%s/%d", x.opts.Incarnation, x.lastID)
}

// withdraw marks an attempt that will never be sent. Once its attempt record has
// been folded, an abandoned record is appended, which frees the key.
func (x *Executor) withdraw(key keyHash, id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.table.entries[key]; e != nil && e.attempt == id {
		x.appendAbandoned(key, id)
		return
	}
	x.withdrawn[id] = x.opts.Clock.Now().Add(x.opts.Period)
}

// recordAbandoned appends the abandoned record of attempt record e; mu is held.
func (x *Executor) recordAbandoned(e logservice.Entry) {
	var rec attemptRecord
	if err := json.Unmarshal(e.Body, &rec); err != nil {
		return
	}
	if key, ok := parseHash(rec.KeyHash); ok {
		x.appendAbandoned(key, e.ID)
	}
}

func (x *Executor) appendAbandoned(key keyHash, id string) {
	x.recorder.add("abandoned:"+id, kindAbandoned, abandonedRecord{KeyHash: hex.EncodeToString(key[:]), Attempt: id})
}

// checkOwnership decides whether a folded attempt may be sent. It returns
// nil, nil if the attempt owns its key and may be sent now; otherwise the
// owner's entry, or an error that wraps ErrNotRun or ErrOutcomeUnknown.
func (x *Executor) checkOwnership(id string, key keyHash, startedAt time.Time) (*entry, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.disabled.firstWins || x.disabled.withdraw && x.table.entries[key] == nil {
		return nil, nil
	}
	e := x.table.entries[key]
	if e == nil {
		// The entry expired. If it was another attempt's, that may have run.
		return nil, errors.Wrap(ErrOutcomeUnknown, "the key's attempt is no longer recorded")
	}
	if e.attempt != id || e.incarnation != x.opts.Incarnation {
		// In a complete view the key may have been free, so that this attempt
		// owns it there. It is not sent here, so it frees the key again.
		if e.ownerUncertain {
			x.appendAbandoned(key, id)
		}
		return e, nil
	}
	late := x.opts.Clock.Since(startedAt) > x.opts.SendLimit && !x.disabled.sendLimit
	if late || e.ownerUncertain || !x.table.complete() {
		x.appendAbandoned(key, id)
		return nil, errors.Wrapf(ErrNotRun, "attempt may not be sent: late %v, view incomplete %v", late, e.ownerUncertain || !x.table.complete())
	}
	return nil, nil
}

// send runs the request of an attempt that owns its key and records the outcome.
// It must be called once per attempt.
func (x *Executor) send(ctx context.Context, key keyHash, id string, send func(context.Context) (Outcome, error)) (Outcome, error) {
	outcome, err := send(ctx)
	if errors.Is(err, ErrNotRun) {
		x.appendAbandoned(key, id)
		return Outcome{}, err
	}
	rec := outcomeRecord{KeyHash: hex.EncodeToString(key[:]), Attempt: id, Unknown: err != nil, Outcome: outcome}
	if len(rec.Outcome.Body) > OutcomeBodyLimit {
		rec.Outcome.Body, rec.Outcome.BodyOmitted = nil, true
	}
	x.recorder.add("outcome:"+id, kindOutcome, rec)
	if err != nil {
		return Outcome{}, errors.Wrapf(ErrOutcomeUnknown, "attempt %s: %v", id, err)
	}
	return outcome, nil
}

// awaitOutcome returns the outcome of the attempt that owns the request's key.
func (x *Executor) awaitOutcome(ctx context.Context, key keyHash, owner *entry, req Request) (Outcome, error) {
	if owner.digest != keyHash(req.Digest) {
		return Outcome{}, ErrKeyReused
	}
	waitCtx, cancel := clockwork.WithTimeout(ctx, x.opts.Clock, x.opts.OutcomeWait)
	defer cancel()
	for {
		current, changed := x.watch(key, owner)
		switch current.state {
		case stateAbandoned:
			return Outcome{}, errors.Wrapf(ErrNotRun, "attempt %s was abandoned", owner.attempt)
		case stateDone:
			return *current.outcome, nil
		case stateUnknown:
			return Outcome{}, errors.Wrapf(ErrOutcomeUnknown, "attempt %s", owner.attempt)
		}
		select {
		case <-changed:
		case <-waitCtx.Done():
			return Outcome{}, errors.Wrapf(ErrOutcomeUnknown, "attempt %s of %s has no outcome yet", owner.attempt, owner.incarnation)
		}
	}
}

// watch returns a copy of e and, while it is pending, a channel that is closed
// when e changes. An entry that was dropped without an outcome counts as unknown.
func (x *Executor) watch(key keyHash, e *entry) (entry, <-chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	current := *e
	if current.outcome != nil {
		outcome := *current.outcome
		current.outcome = &outcome
	}
	if current.state == statePending && x.table.entries[key] != e {
		current.state = stateUnknown
	}
	ch := x.waiters[key]
	if ch == nil && current.state == statePending {
		ch = make(chan struct{})
		x.waiters[key] = ch
	}
	return current, ch
}
