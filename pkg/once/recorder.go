package once

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

const (
	// recordRetryDelay is the delay before a record that was not appended is
	// appended again. Outcome and abandoned records are idempotent.
	recordRetryDelay = 500 * time.Millisecond
	// recordAppendTimeout bounds one append of a record.
	recordAppendTimeout = 3 * time.Second
	// maxQueuedRecords bounds the queue. Beyond it the oldest records are lost,
	// and requests with their keys get ErrOutcomeUnknown.
	maxQueuedRecords = 10_000
	// appendWorkers is the number of concurrent appends; the batcher groups
	// them.
	appendWorkers = 64
)

// recorder queues outcome, abandoned and marker records and retries each append
// until it succeeds.
type recorder struct {
	clock  clockwork.Clock
	log    log.Interface
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	queue    []logservice.Entry
	inFlight int
	// idle is closed, and replaced, when no record is queued or in flight.
	idle chan struct{}
}

func newRecorder(clock clockwork.Clock, logger log.Interface) *recorder {
	return &recorder{clock: clock, log: logger, wake: make(chan struct{}, appendWorkers), idle: make(chan struct{})}
}

func (r *recorder) start(b *logservice.Batcher) {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	for range appendWorkers {
		r.wg.Go(func() { r.run(ctx, b) })
	}
}

func (r *recorder) close() {
	r.cancel()
	r.wg.Wait()
}

func (r *recorder) add(id, kind string, body any) {
	e, err := logservice.NewEntry(id, kind, body)
	if err != nil {
		r.log.WithFields(log.Fields{"record": id, "error": err}).Error("once_record_not_encoded")
		return
	}
	r.push(e)
}

func (r *recorder) push(e logservice.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) >= maxQueuedRecords {
		r.log.WithField("record", r.queue[0].ID).Warn("once_record_dropped")
		r.queue = r.queue[1:]
	}
	r.queue = append(r.queue, e)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *recorder) pop() (logservice.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == 0 {
		return logservice.Entry{}, false
	}
	e := r.queue[0]
	r.queue = r.queue[1:]
	r.inFlight++
	return e, true
}

func (r *recorder) appendDone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if r.inFlight == 0 && len(r.queue) == 0 {
		close(r.idle)
		r.idle = make(chan struct{})
	}
}

func (r *recorder) flush(ctx context.Context) error {
	r.mu.Lock()
	idle, busy := r.idle, r.inFlight > 0 || len(r.queue) > 0
	r.mu.Unlock()
	if !busy {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *recorder) run(ctx context.Context, b *logservice.Batcher) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for e, ok := r.pop(); ok; e, ok = r.pop() {
			r.append(ctx, b, e)
			r.appendDone()
		}
	}
}

func (r *recorder) append(ctx context.Context, b *logservice.Batcher, e logservice.Entry) {
	for ctx.Err() == nil {
		appendCtx, cancel := clockwork.WithTimeout(ctx, r.clock, recordAppendTimeout)
		_, err := b.Append(appendCtx, e)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-r.clock.After(recordRetryDelay):
		}
	}
}
