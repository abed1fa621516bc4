package endpoint

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// MaxReportLag is the upper bound on the age of a load report when it is
// requested. The clocks of engines and hosts may differ, so the time in a report
// is clamped to this bound.
const MaxReportLag = 2 * time.Second

// noticeRetention is how long a notice for an endpoint that is no longer listed
// is kept, because a lagging list may show the leaving instance again.
const noticeRetention = 10 * time.Minute

// NoticeKind is the reason why an endpoint takes no new work.
type NoticeKind string

// Kinds of notice. NoticeLeaving is final for the instance. NoticeDraining holds
// until a later report of the engine says that it is not draining.
const (
	NoticeLeaving  NoticeKind = "leaving"
	NoticeDraining NoticeKind = "draining"
)

// Notice says that an endpoint takes no new work. Its source is the platform, a
// request that the endpoint refused, or gossip of another entry host.
type Notice struct {
	ID string
	// Instance is the instance concerned; empty for the newest known one.
	Instance string
	Kind     NoticeKind
}

// Table is the merged view of all endpoints. It is safe for concurrent use.
// Readers work on an immutable Snapshot.
type Table struct {
	clock clockwork.Clock

	mu      sync.Mutex
	current *version // guarded by mu
	// leaving and draining hold the time of the last notice for an instance.
	leaving  map[instanceID]time.Time // guarded by mu
	draining map[instanceID]time.Time // guarded by mu
}

type instanceID struct{ id, instance string }

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{
		clock:    clock,
		current:  newVersion(nil),
		leaving:  map[instanceID]time.Time{},
		draining: map[instanceID]time.Time{},
	}
}

// Snapshot returns the current state in constant time.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Snapshot{version: t.current, now: t.clock.Now()}
}

// SetList replaces the set of endpoints by the endpoint interface's list. Load
// reports of endpoints that remain listed are kept, and so are notices.
func (t *Table) SetList(list []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]*row, 0, len(list))
	for _, e := range list {
		r := &row{listed: e}
		if old, ok := t.current.find(e.ID); ok {
			r.load, r.loadRequestedAt, r.hasLoad = old.load, old.loadRequestedAt, old.hasLoad
		}
		if e.State == StateLeaving {
			t.leaving[instanceID{e.ID, e.Instance}] = t.clock.Now()
		}
		t.resolveState(r)
		rows = append(rows, r)
	}
	t.current = newVersion(rows)
	t.dropOldNotices()
}

// dropOldNotices drops notices older than noticeRetention for endpoints that are
// not listed. mu must be held.
func (t *Table) dropOldNotices() {
	cutoff := t.clock.Now().Add(-noticeRetention)
	for _, notices := range []map[instanceID]time.Time{t.leaving, t.draining} {
		for key, at := range notices {
			if _, listed := t.current.find(key.id); !listed && at.Before(cutoff) {
				delete(notices, key)
			}
		}
	}
}

// ReportLoad records an engine's load report; requestedAt is when the request for
// it was sent. It drops a report for an unlisted endpoint, and one that was
// requested earlier than the last recorded report.
func (t *Table) ReportLoad(id string, load Load, requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(id, func(r *row) bool {
		if r.hasLoad && requestedAt.Before(r.loadRequestedAt) {
			return false
		}
		measuredAt := reportTime(load, requestedAt)
		key := instanceID{id, load.Instance}
		if load.Draining {
			t.draining[key] = requestedAt
		} else if since, ok := t.draining[key]; ok && measuredAt.After(since.Add(MaxReportLag)) {
			delete(t.draining, key)
		}
		r.load, r.loadRequestedAt, r.hasLoad = load, requestedAt, true
		return true
	})
}

// reportTime returns the time in the report, clamped to the span of MaxReportLag
// that ends at requestedAt.
func reportTime(load Load, requestedAt time.Time) time.Time {
	measuredAt := time.UnixMilli(load.ReportedAtMillis)
	if measuredAt.After(requestedAt) {
		return requestedAt
	}
	if oldest := requestedAt.Add(-MaxReportLag); measuredAt.Before(oldest) {
		return oldest
	}
	return measuredAt
}

// Notify records a notice. A notice for an unlisted endpoint takes effect once it
// is listed, but is dropped if it names no instance.
func (t *Table) Notify(n Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.Instance == "" {
		r, ok := t.current.find(n.ID)
		if !ok {
			return
		}
		n.Instance = r.instance()
	}
	notices := t.leaving
	if n.Kind == NoticeDraining {
		notices = t.draining
	}
	notices[instanceID{n.ID, n.Instance}] = t.clock.Now()
	t.update(n.ID, func(*row) bool { return true })
}

// update applies change to a copy of one row and stores the copy unless change
// returns false. mu must be held.
func (t *Table) update(id string, change func(*row) bool) {
	old, ok := t.current.find(id)
	if !ok {
		return
	}
	next := *old
	if !change(&next) {
		return
	}
	t.resolveState(&next)
	t.current = t.current.withRow(id, &next)
}

// resolveState sets the merged state of r. mu must be held. The engine may run a
// newer instance than a lagging list shows. A leaving notice applies if it names
// either instance. A draining notice applies only if it names the newer one,
// because an engine that restarted no longer drains.
func (t *Table) resolveState(r *row) {
	r.state = r.listed.State
	newest := instanceID{r.listed.ID, r.instance()}
	_, listedLeaving := t.leaving[instanceID{r.listed.ID, r.listed.Instance}]
	_, newestLeaving := t.leaving[newest]
	_, draining := t.draining[newest]
	switch {
	case listedLeaving || newestLeaving:
		r.state = StateLeaving
	case draining && r.state == StateLive:
		r.state = StateDraining
	}
}
