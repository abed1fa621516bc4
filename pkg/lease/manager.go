package lease

import (
	"cmp"
	"context"
	"maps"
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
	// DefaultDuration is the lease time. Renewals every third of it cost 0.2
	// appends a second per key.
	DefaultDuration = 15 * time.Second
	// DefaultMargin is added by challengers. It covers clock rates that differ
	// by up to 13% and is far above the drift of real clocks.
	DefaultMargin = 2 * time.Second
	// DefaultHostListLag is the longest time for which the host list may lack a
	// host that is alive.
	DefaultHostListLag = 30 * time.Second
)

// Options configure a Manager. Zero durations take the defaults, which must be
// the same on all hosts.
type Options struct {
	Client logservice.Client
	Clock  clockwork.Clock
	// Rand spreads claims; the manager owns it.
	Rand *rand.Rand
	// Incarnation identifies this process and is never used again; Host is the
	// host instance; Address is an address that this process has bound
	// exclusively.
	Incarnation, Host, Address string
	// Keys are the leases that this process tries to hold.
	Keys []Key
	// LiveHosts returns the number of hosts that append to the stream.
	LiveHosts func() int
	// HostAbsentFor returns for how long the host list's answers have all lacked
	// a host instance; zero if it is listed or the list is not answered. It must not call the
	// manager.
	HostAbsentFor func(host string) time.Duration
	Duration      time.Duration
	Margin        time.Duration
	HostListLag   time.Duration
	// ClaimSpread replaces the constant of this name if it is not zero.
	ClaimSpread time.Duration
	// Reading is that of the stream's reader.
	Reading logservice.Reading
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
}

// Grant is a proof of authority at one moment.
type Grant struct {
	Key Key
	// Holder is this process's incarnation and Fence the fencing number.
	Holder string
	Fence  int64
	// ValidUntil is on the local monotonic clock.
	ValidUntil time.Time
}

// guards disable single mechanisms, for tests that show that they are needed.
type guards struct {
	noExpiry       bool // Check ignores the deadline
	acceptAnyClaim bool // claims have no condition
	measureLate    bool // the lease is measured from the answer
	noWait         bool // challengers do not wait for the lease to pass
	trustTruncated bool // a truncated view counts as complete
	noClearance    bool // predecessors are ignored
	releaseInUse   bool // a release is written with open uses
}

// own is this process's side of one lease.
type own struct {
	// pending holds the time before the append of each own record that has not
	// been folded.
	pending map[string]time.Time
	// deadline has a monotonic reading, deadlineWall has none.
	deadline, deadlineWall time.Time
	// fence is the fencing number of the last own term, or none.
	fence int64
	// uses counts the open uses by the fencing number they began with.
	uses map[int64]int
	idle chan struct{}
	// stopped is set by Release: the process neither uses nor claims the lease.
	stopped bool
	// yielded is the fence of the last own term whose release was folded.
	yielded int64
}

// Manager holds the leases of one process. Its methods are safe for concurrent
// use.
type Manager struct {
	opts    Options
	tail    *logservice.Tail
	batcher *logservice.Batcher
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	guards  guards
	// pause is called at named points, for tests that stop the process there.
	pause func(point string)

	mu sync.Mutex
	// The fields below are guarded by mu.
	rand   *rand.Rand
	fold   *fold
	own    map[Key]*own
	lastID int64
}

// New starts a manager. The caller must Close it.
func New(opts Options) *Manager { return newManager(opts, guards{}, nil) }

func newManager(opts Options, g guards, pause func(string)) *Manager {
	opts.Duration = cmp.Or(opts.Duration, DefaultDuration)
	opts.Margin = cmp.Or(opts.Margin, DefaultMargin)
	opts.HostListLag = cmp.Or(opts.HostListLag, DefaultHostListLag)
	opts.ClaimSpread = cmp.Or(opts.ClaimSpread, ClaimSpread)
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	if pause == nil {
		pause = func(string) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{opts: opts, cancel: cancel, guards: g, pause: pause, rand: opts.Rand,
		fold: newFold(opts.Clock.Now(), g), own: map[Key]*own{}}
	for _, k := range opts.Keys {
		m.own[k] = &own{pending: map[string]time.Time{}, fence: none, yielded: none, uses: map[int64]int{}, idle: make(chan struct{})}
	}
	m.tail = logservice.NewTail(logservice.TailOptions{
		Client: opts.Client, Stream: logservice.StreamLease, Clock: opts.Clock,
		Rand: rand.New(rand.NewSource(opts.Rand.Int63())),
		Fold: m.foldRecord, Truncated: m.truncated, Reading: opts.Reading, Log: opts.Log,
	})
	m.batcher = logservice.NewBatcher(logservice.BatcherOptions{
		Client: opts.Client, Stream: logservice.StreamLease, Clock: opts.Clock,
		Tail: m.tail, LiveHosts: opts.LiveHosts,
	})
	for _, k := range opts.Keys {
		m.wg.Go(func() { m.run(ctx, k) })
	}
	m.wg.Go(func() { m.declareEnded(ctx) })
	return m
}

// Close stops the manager and waits for its goroutines. It releases nothing;
// see Release.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
	m.batcher.Close()
	m.tail.Close()
}

// Status returns how far the lease stream has been folded.
func (m *Manager) Status() logservice.TailStatus { return m.tail.Status() }

func (m *Manager) truncated(_, oldest int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fold.truncated(oldest, m.opts.Clock.Now())
}

func (m *Manager) foldRecord(r logservice.Record, e logservice.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	key, accepted := m.fold.fold(r, e, now)
	o := m.own[key]
	if o == nil {
		return
	}
	startedAt, mine := o.pending[e.ID]
	delete(o.pending, e.ID)
	if l := m.fold.lease(key); mine && accepted && !l.over && l.term.Holder == m.opts.Incarnation {
		o.fence = l.term.Fence
		o.extend(startedAt, now, m.opts.Duration, m.guards.measureLate)
	}
	if mine && e.Kind == kindRelease {
		o.yielded = o.fence
	}
}

func (o *own) extend(startedAt, now time.Time, d time.Duration, late bool) {
	if late {
		startedAt = now
	}
	if deadline := startedAt.Add(d); deadline.After(o.deadline) {
		o.deadline, o.deadlineWall = deadline, deadline.Round(0)
	}
}

// Holder returns the current term of a key as far as the stream has been
// folded, for status pages. It proves nothing.
func (m *Manager) Holder(k Key) (Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.fold.lease(k)
	return l.term, l.sure && l.held && !l.over
}

// Check returns a grant if this process holds the lease now. It must be called
// immediately before each order. Errors are ErrNotHolder and ErrExpired.
func (m *Manager) Check(k Key) (Grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.check(k)
}

// check must be called with mu held.
func (m *Manager) check(k Key) (Grant, error) {
	o, l := m.own[k], m.fold.lease(k)
	if o == nil || o.stopped || !m.holds(l) {
		return Grant{}, errors.Wrap(ErrNotHolder, k.String())
	}
	now := m.opts.Clock.Now()
	// A suspended host may stop its monotonic clock, and an adjusted wall clock
	// may go back; both have to leave time.
	valid := now.Before(o.deadline) && now.Round(0).Before(o.deadlineWall)
	if !valid && !m.guards.noExpiry {
		return Grant{}, errors.Wrap(ErrExpired, k.String())
	}
	return Grant{Key: k, Holder: m.opts.Incarnation, Fence: o.fence, ValidUntil: o.deadline}, nil
}

func (m *Manager) holds(l *lease) bool {
	return l.sure && l.held && !l.over && l.term.Holder == m.opts.Incarnation
}

// Uncleared returns the earlier holders that may still have an order in
// transit to a receiver that ignores fencing numbers. An empty list is
// clearance. receiverProof may prove for one receiver that a term's connection
// has ended or cannot reach it; nil proves nothing. It must not call the
// manager.
func (m *Manager) Uncleared(k Key, receiverProof func(Term) bool) []Term {
	if m.guards.noClearance {
		return nil
	}
	m.mu.Lock()
	predecessors := append([]Term(nil), m.fold.lease(k).predecessors...)
	ownInFlight := map[int64]int{}
	if o := m.own[k]; o != nil {
		maps.Copy(ownInFlight, o.uses)
	}
	m.mu.Unlock()
	var left []Term
	for _, t := range predecessors {
		// The process knows whether an order of its own earlier term is open.
		ownDone := t.Holder == m.opts.Incarnation && ownInFlight[t.Fence] == 0
		if ownDone || m.hostGone(t) || (receiverProof != nil && receiverProof(t)) {
			continue
		}
		left = append(left, t)
	}
	return left
}

func (m *Manager) hostGone(t Term) bool {
	if m.opts.HostAbsentFor == nil || t.Holder == UnknownHolder {
		return false
	}
	return m.opts.HostAbsentFor(t.Host) > m.opts.HostListLag
}
