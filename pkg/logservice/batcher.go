package logservice

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

const (
	// MinBatchInterval is the minimum time between two appends of a host to one
	// stream.
	MinBatchInterval = 10 * time.Millisecond
	// AppendBudget is the number of appends a second to one stream that all hosts
	// together may make. The service takes several hundred a second in total.
	AppendBudget = 300
	// appendTimeout bounds one append, because a connection may go silent.
	appendTimeout = 2 * time.Second
	// maxBatchRecords and maxBatchBytes bound one append request.
	maxBatchRecords = 500
	maxBatchBytes   = 512 << 10
	// maxQueuedRecords bounds the memory of a batcher during an outage.
	maxQueuedRecords = 10_000
)

// ErrQueueFull reports an append that was refused because maxQueuedRecords are
// queued. The error also wraps ErrNotAppended.
var ErrQueueFull = errors.New("too many records wait to be appended")

// BatcherOptions configure a Batcher.
type BatcherOptions struct {
	Client Client
	Stream string
	Clock  clockwork.Clock
	// Tail follows the same stream. It finds records whose append was not
	// answered. Without it, such appends fail with ErrOutcomeUnknown.
	Tail *Tail
	// LiveHosts returns the number of hosts that append to the stream; values
	// below 1 count as 1.
	LiveHosts func() int
}

// Batcher combines the appends of one host to one stream into batches. It never
// retries an append. Its methods are safe for concurrent use.
type Batcher struct {
	opts   BatcherOptions
	cancel context.CancelFunc
	done   chan struct{}
	// wake tells run that records are queued.
	wake chan struct{}

	mu sync.Mutex
	// queue is guarded by mu.
	queue []*queuedRecord
	// closed is guarded by mu.
	closed bool
}

type queuedRecord struct {
	data   []byte
	result chan appendResult
}

type appendResult struct {
	offset int64
	err    error
}

// NewBatcher starts a batcher. The caller must Close it before its tail.
func NewBatcher(opts BatcherOptions) *Batcher {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Batcher{opts: opts, cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go b.run(ctx)
	return b
}

// Close stops the batcher and waits for its goroutine. Appends that are still
// queued fail with ErrNotAppended.
func (b *Batcher) Close() {
	b.cancel()
	<-b.done
}

// BatchInterval returns the time between two appends of one host to a stream.
// hosts is the number of hosts that append to it.
func BatchInterval(hosts int) time.Duration {
	interval := time.Duration(max(hosts, 1)) * time.Second / AppendBudget
	return max(interval, MinBatchInterval)
}

// AppendFolded appends e and waits until the tail has folded it. Its errors are those of
// Append. An append that was answered before the log came back from an older copy may be
// lost: its outcome is unknown. The batcher must have a tail.
func (b *Batcher) AppendFolded(ctx context.Context, e Entry) error {
	watch := b.opts.Tail.Watch(e.ID)
	defer watch.Stop()
	before := b.opts.Tail.Status()
	offset, err := b.Append(ctx, e)
	if err != nil {
		return err
	}
	if err := b.opts.Tail.waitFolded(ctx, watch, offset, before); err != nil {
		return &outcomeError{outcome: ErrOutcomeUnknown, cause: err}
	}
	return nil
}

// Append appends e with the next batch and returns its offset, in the era in which it was
// appended; the log may lose it when it comes back from an older copy. If the answer is
// lost, it waits until the record appears in the tail or ctx ends. Errors wrap
// ErrNotAppended or ErrOutcomeUnknown. After ErrOutcomeUnknown the record may
// appear at any later time.
func (b *Batcher) Append(ctx context.Context, e Entry) (int64, error) {
	data, err := e.Encode()
	if err != nil {
		return 0, &outcomeError{outcome: ErrNotAppended, cause: err}
	}
	var found <-chan int64
	if b.opts.Tail != nil {
		watch := b.opts.Tail.Watch(e.ID)
		defer watch.Stop()
		found = watch.Found()
	}
	q := &queuedRecord{data: data, result: make(chan appendResult, 1)}
	if err := b.enqueue(q); err != nil {
		return 0, &outcomeError{outcome: ErrNotAppended, cause: err}
	}
	return b.await(ctx, q, found)
}

func (b *Batcher) enqueue(q *queuedRecord) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return ErrClosed
	}
	if len(b.queue) >= maxQueuedRecords {
		return ErrQueueFull
	}
	b.queue = append(b.queue, q)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

func (b *Batcher) await(ctx context.Context, q *queuedRecord, found <-chan int64) (int64, error) {
	unknown := error(ErrOutcomeUnknown)
	results := q.result
	for {
		select {
		case offset := <-found:
			return offset, nil
		case r := <-results:
			if r.err == nil {
				return r.offset, nil
			}
			if found == nil || !errors.Is(r.err, ErrOutcomeUnknown) {
				return 0, r.err
			}
			// If the record is in the stream, a read on a live connection returns
			// it.
			b.opts.Tail.Refresh()
			unknown, results = r.err, nil
		case <-ctx.Done():
			if b.removeQueued(q) {
				return 0, &outcomeError{outcome: ErrNotAppended, cause: ctx.Err()}
			}
			return 0, &outcomeError{outcome: unknown, cause: ctx.Err()}
		case <-b.done:
			return b.resultAfterClose(results, unknown)
		}
	}
}

// resultAfterClose prefers a result that was delivered before the close.
func (b *Batcher) resultAfterClose(results chan appendResult, unknown error) (int64, error) {
	select {
	case r := <-results:
		return r.offset, r.err
	default:
		return 0, &outcomeError{outcome: unknown, cause: ErrClosed}
	}
}

// removeQueued removes q from the queue. It reports false if q is no longer
// queued.
func (b *Batcher) removeQueued(q *queuedRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.queue {
		if other == q {
			b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (b *Batcher) run(ctx context.Context) {
	defer close(b.done)
	defer b.failQueued()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		if !b.waitInterval(ctx, last) {
			return
		}
		last = b.opts.Clock.Now()
		b.flush(ctx)
	}
}

// waitInterval waits until the batch interval has passed since last. It reports
// false if ctx ended first.
func (b *Batcher) waitInterval(ctx context.Context, last time.Time) bool {
	hosts := 1
	if b.opts.LiveHosts != nil {
		hosts = b.opts.LiveHosts()
	}
	wait := BatchInterval(hosts) - b.opts.Clock.Since(last)
	if last.IsZero() || wait <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-b.opts.Clock.After(wait):
		return true
	}
}

func (b *Batcher) flush(ctx context.Context) {
	batch := b.takeBatch()
	if len(batch) == 0 {
		return
	}
	records := make([][]byte, len(batch))
	for i, q := range batch {
		records[i] = q.data
	}
	appendCtx, cancel := clockwork.WithTimeout(ctx, b.opts.Clock, appendTimeout)
	defer cancel()
	first, err := b.opts.Client.Append(appendCtx, b.opts.Stream, records)
	for i, q := range batch {
		q.result <- appendResult{offset: first + int64(i), err: err}
	}
}

// takeBatch removes the records of the next batch from the queue.
func (b *Batcher) takeBatch() []*queuedRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.queue) && n < maxBatchRecords && (n == 0 || size+len(b.queue[n].data) <= maxBatchBytes) {
		size += len(b.queue[n].data)
		n++
	}
	batch := b.queue[:n:n]
	b.queue = append([]*queuedRecord(nil), b.queue[n:]...)
	if len(b.queue) > 0 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return batch
}

// failQueued refuses further appends and fails the queued ones.
func (b *Batcher) failQueued() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, q := range b.queue {
		q.result <- appendResult{err: &outcomeError{outcome: ErrNotAppended, cause: ErrClosed}}
	}
	b.queue = nil
}
