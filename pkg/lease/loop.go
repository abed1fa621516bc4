package lease

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

const (
	// renewalsPerLease is the number of renewals in one lease time, so that two
	// of them may fail.
	renewalsPerLease = 3
	// challengeInterval is the time between two looks at a lease that another
	// process holds.
	challengeInterval = 500 * time.Millisecond
	// ClaimSpread spreads the claims of many hosts, so that most of them see
	// the first one before they append their own.
	ClaimSpread = time.Second
	// maxPending bounds the remembered own records that were not folded.
	maxPending = 64
	// startDelay bounds the wait of a new process for a first read to the end.
	startDelay = 10 * time.Second
)

// errOutdated reports a record that was decided on and is no longer due.
var errOutdated = errors.New("record is no longer due")

func (m *Manager) run(ctx context.Context, k Key) {
	for ctx.Err() == nil {
		m.pauseFor(ctx, m.step(ctx, k))
	}
}

// step renews, claims or yields the lease as needed and returns the time until
// the next step.
func (m *Manager) step(ctx context.Context, k Key) time.Duration {
	interval := m.opts.Duration / renewalsPerLease
	switch action := m.next(k); action {
	case kindRenew:
		startedAt := m.opts.Clock.Now()
		// One that failed is repeated after half the interval: a lost answer must not
		// cost a whole one.
		if !m.append(ctx, k, kindRenew, interval/2) {
			interval /= 2
		}
		return max(0, interval-m.opts.Clock.Since(startedAt))
	case kindClaim:
		m.pauseFor(ctx, m.spread())
		if m.next(k) == kindClaim {
			m.append(ctx, k, kindClaim, interval)
		}
	case kindRelease:
		m.append(ctx, k, kindRelease, interval)
	}
	return challengeInterval
}

func (m *Manager) spread() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rand.Int63n(int64(m.opts.ClaimSpread)))
}

// pauseFor waits for d or until ctx ends; it returns at once if d is not positive.
func (m *Manager) pauseFor(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-m.opts.Clock.After(d):
	}
}

// next returns the kind of record that this process should append now.
func (m *Manager) next(k Key) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nextLocked(k)
}

// nextLocked must be called with mu held.
func (m *Manager) nextLocked(k Key) string {
	o, l := m.own[k], m.fold.lease(k)
	switch {
	case o.stopped:
		return ""
	case m.holds(l):
		return kindRenew
	case o.fence != none && o.yielded < o.fence && (len(o.uses) == 0 || m.guards.releaseInUse):
		// Another process has claimed the lease since. This one has nothing in
		// flight, which is the proof that its successor waits for.
		return kindRelease
	case m.mayClaim(l):
		return kindClaim
	}
	return ""
}

// mayClaim must be called with mu held.
func (m *Manager) mayClaim(l *lease) bool {
	now := m.opts.Clock.Now()
	if m.tail.Status().ReadToEndAt.IsZero() {
		return false
	}
	whole := m.opts.Duration + m.opts.Margin
	if m.guards.noWait {
		whole = 0
	}
	if !l.sure {
		return now.Sub(l.anySeenAt) >= whole
	}
	return !l.held || l.over || now.Sub(l.seenAt) >= whole
}

// append writes a record and waits until it is folded, at most for limit. It
// reports whether the record was folded.
func (m *Manager) append(ctx context.Context, k Key, kind string, limit time.Duration) bool {
	e, err := m.newRecord(k, kind)
	if errors.Is(err, errOutdated) {
		return false
	}
	if err != nil {
		m.opts.Log.WithFields(log.Fields{"key": k.String(), "kind": kind, "error": err}).Error("lease_record_not_encoded")
		return false
	}
	m.pause(kind)
	appendCtx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, limit)
	defer cancel()
	offset, err := m.batcher.Append(appendCtx, e)
	if err == nil {
		err = m.tail.WaitFor(appendCtx, offset)
	}
	if err != nil && ctx.Err() == nil {
		m.opts.Log.WithFields(log.Fields{"key": k.String(), "kind": kind, "record": e.ID, "error": err}).Warn("lease_record_not_folded")
	}
	return err == nil
}

// newRecord states the lease as this process has folded it and notes the time
// before the append. The decision and the statement are made under one lock: a
// claim that named a record read since the decision would not have waited.
func (m *Manager) newRecord(k Key, kind string) (logservice.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, l := m.own[k], m.fold.lease(k)
	if o.stopped && kind != kindRelease {
		return logservice.Entry{}, errOutdated
	}
	if !o.stopped && m.nextLocked(k) != kind {
		return logservice.Entry{}, errOutdated
	}
	m.lastID++
	id := fmt.Sprintf("%s/%s/%d", m.opts.Incarnation, k, m.lastID)
	st := statement{
		Key:      k,
		Term:     Term{Holder: m.opts.Incarnation, Host: m.opts.Host, Address: m.opts.Address, Fence: o.fence},
		Previous: l.last,
	}
	switch {
	case kind == kindClaim && l.sure:
		st.Predecessors = m.unproven(l.unproven())
	case kind == kindClaim:
		st.Quiet = true
		st.QuietSince = max(l.lastAny+1, m.fold.start)
		st.Predecessors = m.doubtful(l)
	case kind == kindRenew:
		st.Predecessors = m.unproven(l.predecessors)
	}
	o.remember(id, m.opts.Clock.Now())
	return logservice.NewEntry(id, kind, st)
}

func (o *own) remember(id string, at time.Time) {
	if len(o.pending) >= maxPending {
		oldest := id
		for other, t := range o.pending {
			if oldest == id || t.Before(o.pending[oldest]) {
				oldest = other
			}
		}
		delete(o.pending, oldest)
	}
	o.pending[id] = at
}

// doubtful lists every term that an unsure view has seen, and UnknownHolder for
// those that it has not.
func (m *Manager) doubtful(l *lease) []Term {
	terms := []Term{{Holder: UnknownHolder}}
	seen := map[Term]bool{}
	add := func(t Term) {
		if t.Holder != UnknownHolder && !seen[t] {
			seen[t] = true
			terms = append(terms, t)
		}
	}
	for _, it := range l.buffer {
		if it.kind == kindClaim {
			it.st.Fence = it.offset
		}
		if it.kind != kindEnded {
			add(it.st.Term)
		}
		for _, t := range it.st.Predecessors {
			add(t)
		}
	}
	return terms
}

// unproven drops the terms whose host is gone. That proof holds for every
// receiver.
func (m *Manager) unproven(terms []Term) []Term {
	var left []Term
	for _, t := range terms {
		if !m.hostGone(t) {
			left = append(left, t)
		}
	}
	return left
}

func (m *Manager) appendRelease(ctx context.Context, k Key) error {
	m.mu.Lock()
	fence := m.own[k].fence
	m.mu.Unlock()
	if fence == none {
		return nil
	}
	e, err := m.newRecord(k, kindRelease)
	if err != nil {
		return err
	}
	_, err = m.batcher.Append(ctx, e)
	return err
}

// declareEnded records the end of earlier processes on this process's address
// once the stream has been read to the end. Only processes seen by then are
// named, so that a late effect of the record cannot name a later one.
func (m *Manager) declareEnded(ctx context.Context) {
	startedAt := m.opts.Clock.Now()
	waitCtx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, startDelay)
	defer cancel()
	if m.tail.WaitReadToEnd(waitCtx, startedAt) != nil {
		return
	}
	for i, holder := range m.earlierProcesses() {
		id := fmt.Sprintf("%s/ended/%d", m.opts.Incarnation, i)
		e, err := logservice.NewEntry(id, kindEnded, endedRecord{Host: m.opts.Host, Address: m.opts.Address, By: m.opts.Incarnation, Ended: holder})
		if err != nil {
			return
		}
		// A lost record delays the successor of that process, nothing more.
		_, _ = m.batcher.Append(ctx, e)
	}
}

func (m *Manager) earlierProcesses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var holders []string
	seen := map[string]bool{m.opts.Incarnation: true}
	add := func(t Term) {
		if t.Host == m.opts.Host && t.Address == m.opts.Address && !seen[t.Holder] {
			seen[t.Holder] = true
			holders = append(holders, t.Holder)
		}
	}
	for _, l := range m.fold.leases {
		add(l.term)
		for _, t := range l.predecessors {
			add(t)
		}
		for _, it := range l.buffer {
			add(it.st.Term)
		}
	}
	return holders
}

// DeclareUnknownEnded records, for an operator who has made sure of it, that no
// holder whose records are past the retention can still send.
func (m *Manager) DeclareUnknownEnded(ctx context.Context) error {
	e, err := logservice.NewEntry(m.opts.Incarnation+"/ended/unknown", kindEnded, endedRecord{By: m.opts.Incarnation, Ended: UnknownHolder})
	if err != nil {
		return err
	}
	_, err = m.batcher.Append(ctx, e)
	return err
}
