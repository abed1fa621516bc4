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
	// renewalsPerLease is the number of renewals in one lease duration. Two of
	// them may fail.
	renewalsPerLease = 3
	// challengeInterval is the time between two checks of a lease that another
	// process holds.
	challengeInterval = 500 * time.Millisecond
	// ClaimSpread bounds the random delay before a claim. Most hosts then read
	// the first claim before they append their own.
	ClaimSpread = time.Second
	// maxPendingRecords bounds the appended records per key that are remembered
	// until they are folded.
	maxPendingRecords = 64
	// initialReadTimeout bounds how long a new process waits for its first read
	// to the end of the stream.
	initialReadTimeout = 10 * time.Second
)

// errOutdated reports a record that became unnecessary between the decision to
// append it and the append.
var errOutdated = errors.New("record is no longer due")

// run maintains the lease of one key until ctx ends.
func (m *Manager) run(ctx context.Context, k Key) {
	for ctx.Err() == nil {
		m.sleep(ctx, m.step(ctx, k))
	}
}

// step renews, claims or releases the lease as needed and returns the time
// until the next step.
func (m *Manager) step(ctx context.Context, k Key) time.Duration {
	interval := m.opts.Duration / renewalsPerLease
	switch action := m.nextAction(k); action {
	case kindRenew:
		startedAt := m.opts.Clock.Now()
		// A failed renewal is repeated after half the interval, so that a lost
		// answer does not cost a whole interval.
		if !m.appendAndWait(ctx, k, kindRenew, interval/2) {
			interval /= 2
		}
		return max(0, interval-m.opts.Clock.Since(startedAt))
	case kindClaim:
		m.sleep(ctx, m.claimDelay())
		if m.nextAction(k) == kindClaim {
			m.appendAndWait(ctx, k, kindClaim, interval)
		}
	case kindRelease:
		m.appendAndWait(ctx, k, kindRelease, interval)
	}
	return challengeInterval
}

// claimDelay returns a random delay below Options.ClaimSpread.
func (m *Manager) claimDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rand.Int63n(int64(m.opts.ClaimSpread)))
}

// sleep waits for d or until ctx ends; it returns at once if d is not positive.
func (m *Manager) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-m.opts.Clock.After(d):
	}
}

// nextAction returns the kind of record that this process should append now, or
// "" for none.
func (m *Manager) nextAction(k Key) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nextActionLocked(k)
}

// nextActionLocked must be called with mu held.
func (m *Manager) nextActionLocked(k Key) string {
	o, l := m.ownLeases[k], m.state.leaseOf(k)
	switch {
	case o.stopped:
		return ""
	case m.holds(l):
		return kindRenew
	case o.fence != none && o.releasedFence < o.fence && (len(o.uses) == 0 || m.disabled.releaseInUse):
		// Another process has claimed the lease since. This process has no order
		// in flight; its release record is the proof that clears its term.
		return kindRelease
	case m.mayClaim(l):
		return kindClaim
	}
	return ""
}

// mayClaim reports whether the lease is free or has expired. It must be called
// with mu held.
func (m *Manager) mayClaim(l *lease) bool {
	now := m.opts.Clock.Now()
	if m.tail.Status().ReadToEndAt.IsZero() {
		return false
	}
	claimAfter := m.opts.Duration + m.opts.Margin
	if m.disabled.noWait {
		claimAfter = 0
	}
	if !l.known || (!l.held && m.state.afterEarlierEra) {
		return now.Sub(l.lastRecordAt) >= claimAfter
	}
	return !l.held || l.termEnded || now.Sub(l.lastAcceptedAt) >= claimAfter
}

// appendAndWait appends a record and waits until it is folded, at most for
// limit. It reports whether the record was folded.
func (m *Manager) appendAndWait(ctx context.Context, k Key, kind string, limit time.Duration) bool {
	e, err := m.newRecord(k, kind)
	if errors.Is(err, errOutdated) {
		return false
	}
	if err != nil {
		m.opts.Log.WithFields(log.Fields{"key": k.String(), "kind": kind, "error": err}).Error("lease_record_not_encoded")
		return false
	}
	m.beforeAppend(kind)
	appendCtx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, limit)
	defer cancel()
	err = m.batcher.AppendFolded(appendCtx, e)
	if err != nil && ctx.Err() == nil {
		m.opts.Log.WithFields(log.Fields{"key": k.String(), "kind": kind, "record": e.ID, "error": err}).Warn("lease_record_not_folded")
	}
	return err == nil
}

// newRecord returns a record that states the lease as this process has folded
// it. It stores the time before the append in pending. It fails with errOutdated
// if the record is no longer due. The check and the record are made under one
// lock: a claim that names a record read after the check would not have waited
// for that lease to expire.
func (m *Manager) newRecord(k Key, kind string) (logservice.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, l := m.ownLeases[k], m.state.leaseOf(k)
	if o.stopped && kind != kindRelease {
		return logservice.Entry{}, errOutdated
	}
	if !o.stopped && m.nextActionLocked(k) != kind {
		return logservice.Entry{}, errOutdated
	}
	m.lastID++
	id := fmt.Sprintf("%s/%s/%d", m.opts.Incarnation, k, m.lastID)
	record := leaseRecord{
		Key:      k,
		Term:     Term{Holder: m.opts.Incarnation, Host: m.opts.Host, Address: m.opts.Address, Fence: o.fence},
		Era:      m.state.era,
		Previous: l.lastAccepted,
	}
	switch {
	case kind == kindClaim && l.known:
		record.Predecessors = m.dropAbsentHosts(l.unclearedTerms())
	case kind == kindClaim:
		record.Quiet = true
		record.QuietSince = max(l.lastRecord+1, m.state.start)
		record.Predecessors = m.possibleTerms(l)
	case kind == kindRenew:
		record.Predecessors = m.dropAbsentHosts(l.predecessors)
	}
	o.addPending(id, m.opts.Clock.Now())
	return logservice.NewEntry(id, kind, record)
}

// addPending stores the time before an append. At maxPendingRecords it drops the
// oldest one.
func (o *ownLease) addPending(id string, at time.Time) {
	if len(o.pending) >= maxPendingRecords {
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

// possibleTerms lists every term in the buffered records of a key whose state is
// unknown, and UnknownHolder for terms in truncated records.
func (m *Manager) possibleTerms(l *lease) []Term {
	terms := []Term{{Holder: UnknownHolder}}
	seen := map[Term]bool{}
	add := func(t Term) {
		if t.Holder != UnknownHolder && !seen[t] {
			seen[t] = true
			terms = append(terms, t)
		}
	}
	for _, rec := range l.buffer {
		if rec.kind == kindClaim {
			rec.body.Fence, _ = fenceOf(rec.body.Era, rec.offset)
		}
		if rec.kind != kindEnded {
			add(rec.body.Term)
		}
		for _, t := range rec.body.Predecessors {
			add(t)
		}
	}
	return terms
}

// dropAbsentHosts returns the terms without those whose host is gone. A missing
// host clears its terms for every receiver.
func (m *Manager) dropAbsentHosts(terms []Term) []Term {
	var left []Term
	for _, t := range terms {
		if !m.hostGone(t) {
			left = append(left, t)
		}
	}
	return left
}

// appendRelease appends a release record. It does nothing if this process has
// never held the lease.
func (m *Manager) appendRelease(ctx context.Context, k Key) error {
	m.mu.Lock()
	fence := m.ownLeases[k].fence
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

// declareEnded reads the stream to the end once and then appends a record for
// each earlier process on this process's address, which says that it has ended.
// Only processes read by then are named, so that a record that takes effect late
// cannot name a later process.
func (m *Manager) declareEnded(ctx context.Context) {
	startedAt := m.opts.Clock.Now()
	waitCtx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, initialReadTimeout)
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
		// A lost record only delays the clearance of that process.
		_, _ = m.batcher.Append(ctx, e)
	}
}

// earlierProcesses returns the other holders in the folded state that were bound
// to this process's host and address.
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
	for _, l := range m.state.leases {
		add(l.term)
		for _, t := range l.predecessors {
			add(t)
		}
		for _, rec := range l.buffer {
			add(rec.body.Term)
		}
	}
	return holders
}

// DeclareUnknownEnded appends a record that clears UnknownHolder for all keys.
// The operator must have made sure that no holder whose records were truncated
// can still send an order. Errors of the append are returned as they are.
func (m *Manager) DeclareUnknownEnded(ctx context.Context) error {
	e, err := logservice.NewEntry(m.opts.Incarnation+"/ended/unknown", kindEnded, endedRecord{By: m.opts.Incarnation, Ended: UnknownHolder})
	if err != nil {
		return err
	}
	_, err = m.batcher.Append(ctx, e)
	return err
}
