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
	// DefaultDuration is the lease duration. A renewal after each third of it
	// costs 0.2 appends a second per key.
	DefaultDuration = 15 * time.Second
	// DefaultMargin is how much longer than the lease duration a challenger
	// waits. It covers clock rates that differ by up to 13%, far more than the
	// drift of real clocks.
	DefaultMargin = 2 * time.Second
	// DefaultHostListLag is the longest time for which a live host may be missing
	// from the host list.
	DefaultHostListLag = 30 * time.Second
)

// Options configure a Manager. Zero durations take the defaults, which must be
// the same on all hosts.
type Options struct {
	Client logservice.Client
	Clock  clockwork.Clock
	// Rand draws the random delays of claims and reads. The manager owns it.
	Rand *rand.Rand
	// Incarnation identifies this process and is never reused. Host is the host
	// instance. Address is an address that this process has bound exclusively.
	Incarnation, Host, Address string
	// Keys are the leases that this process tries to hold.
	Keys []Key
	// LiveHosts returns the number of hosts that append to the stream.
	LiveHosts func() int
	// HostAbsentFor returns for how long a host instance has been missing from
	// every answer of the host list. It returns zero if the host is listed or the
	// host list does not answer. It must not call the manager.
	HostAbsentFor func(host string) time.Duration
	// OrderLifetime is the longest time after the end of a term for which an
	// order of that term may still arrive at a receiver. If it is set, Check and
	// Begin fail with ErrNotCleared until the orders of all earlier terms have
	// arrived or been lost, and no other proof is needed (see clearance.go). Zero
	// means that the time is not bounded.
	OrderLifetime time.Duration
	// Duration, Margin, HostListLag and ClaimSpread replace DefaultDuration,
	// DefaultMargin, DefaultHostListLag and the constant ClaimSpread.
	Duration    time.Duration
	Margin      time.Duration
	HostListLag time.Duration
	ClaimSpread time.Duration
	// ReadOptions sets how the lease stream is read.
	ReadOptions logservice.ReadOptions
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
}

// Grant proves that a process held the lease when Check returned it.
type Grant struct {
	Key Key
	// Holder is this process's incarnation and Fence the fencing token.
	Holder string
	Fence  int64
	// ValidUntil is the deadline on the local monotonic clock.
	ValidUntil time.Time
}

// Context returns a context for sending one order under the grant. It ends after
// the timeout, but not later than the term: a successor may send orders then.
func (g Grant) Context(ctx context.Context, clock clockwork.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, clock, min(timeout, g.ValidUntil.Sub(clock.Now())))
}

// disabledGuards turns single safety mechanisms off. Tests use it to show that
// each one is needed.
type disabledGuards struct {
	noExpiry          bool // Check ignores the deadline
	acceptAnyClaim    bool // claims are accepted without a condition
	measureFromAnswer bool // the lease starts when its record is folded
	noWait            bool // challengers do not wait until the lease expires
	trustTruncated    bool // a truncated view counts as complete
	noClearance       bool // uncleared predecessors are ignored
	noTurnPause       bool // a host may hold again at once after another host held
	releaseInUse      bool // a release is written while uses are open
	noEras            bool // the era of the stream is ignored
}

// ownLease is the local state of one lease that this process tries to hold.
type ownLease struct {
	// pending holds, by record id, the time before the append of each own record
	// that has not been folded.
	pending map[string]time.Time
	// deadline and deadlineWall are the same instant. deadline has a monotonic
	// reading, deadlineWall has none.
	deadline, deadlineWall time.Time
	// fence is the fencing token of the last own term, or none.
	fence int64
	// uses counts the open uses by the fencing token of their term.
	uses map[int64]int
	// idle is closed and replaced when the last open use ends.
	idle chan struct{}
	// stopped is set by Release. The process then neither uses nor claims the
	// lease.
	stopped bool
	// releasedFence is the fencing token of the last own term whose release was
	// folded, or none.
	releasedFence int64
}

// Manager holds the leases of one process. Its methods are safe for concurrent
// use.
type Manager struct {
	opts     Options
	tail     *logservice.Tail
	batcher  *logservice.Batcher
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	disabled disabledGuards
	// beforeAppend is called before the append of a record of the given kind.
	// Tests pause the process there.
	beforeAppend func(kind string)

	mu sync.Mutex
	// The fields below are guarded by mu.
	rand      *rand.Rand
	state     *streamState
	ownLeases map[Key]*ownLease
	// lastID is the number in the id of the last own record.
	lastID int64
}

// New starts a manager. The caller must Close it.
func New(opts Options) *Manager { return newManager(opts, disabledGuards{}, nil) }

func newManager(opts Options, disabled disabledGuards, beforeAppend func(string)) *Manager {
	opts.Duration = cmp.Or(opts.Duration, DefaultDuration)
	opts.Margin = cmp.Or(opts.Margin, DefaultMargin)
	opts.HostListLag = cmp.Or(opts.HostListLag, DefaultHostListLag)
	opts.ClaimSpread = cmp.Or(opts.ClaimSpread, ClaimSpread)
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	if beforeAppend == nil {
		beforeAppend = func(string) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{opts: opts, cancel: cancel, disabled: disabled, beforeAppend: beforeAppend, rand: opts.Rand,
		state: newStreamState(opts.Clock.Now(), disabled), ownLeases: map[Key]*ownLease{}}
	for _, k := range opts.Keys {
		m.ownLeases[k] = &ownLease{pending: map[string]time.Time{}, fence: none, releasedFence: none, uses: map[int64]int{}, idle: make(chan struct{})}
	}
	m.tail = logservice.NewTail(logservice.TailOptions{
		Client: opts.Client, Stream: logservice.StreamLease, Clock: opts.Clock,
		Rand: rand.New(rand.NewSource(opts.Rand.Int63())),
		Fold: m.foldRecord, Truncated: m.truncated, EraStarted: m.eraStarted, ReadOptions: opts.ReadOptions, Log: opts.Log,
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

// Close stops the manager and waits for its goroutines. It writes no release
// record; Release does.
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
	m.state.truncated(oldest, m.opts.Clock.Now())
}

func (m *Manager) foldRecord(r logservice.Record, e logservice.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	key, accepted := m.state.fold(r, e, now)
	o := m.ownLeases[key]
	if o == nil {
		return
	}
	startedAt, isOwn := o.pending[e.ID]
	delete(o.pending, e.ID)
	if l := m.state.leaseOf(key); isOwn && accepted && !l.termEnded && l.term.Holder == m.opts.Incarnation {
		o.fence = l.term.Fence
		o.extend(startedAt, now, m.opts.Duration, m.disabled.measureFromAnswer)
	}
	if isOwn && e.Kind == kindRelease {
		o.releasedFence = o.fence
	}
}

// extend moves the deadline to d after startedAt. The deadline never moves back.
func (o *ownLease) extend(startedAt, now time.Time, d time.Duration, fromAnswer bool) {
	if fromAnswer {
		startedAt = now
	}
	if deadline := startedAt.Add(d); deadline.After(o.deadline) {
		o.deadline, o.deadlineWall = deadline, deadline.Round(0)
	}
}

// Holder returns the current term of a key as far as the stream has been folded.
// It reports false if there is no holder or the state is unknown. The answer may
// be outdated and does not permit an order; it is for status pages.
func (m *Manager) Holder(k Key) (Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.state.leaseOf(k)
	return l.term, l.known && l.held && !l.termEnded
}

// Check returns a grant if this process holds the lease now. It must be called
// immediately before each order. Errors wrap ErrNotHolder, ErrExpired or
// ErrNotCleared.
func (m *Manager) Check(k Key) (Grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.check(k)
}

// check must be called with mu held.
func (m *Manager) check(k Key) (Grant, error) {
	o, l := m.ownLeases[k], m.state.leaseOf(k)
	if o == nil || o.stopped || !m.holds(l) {
		return Grant{}, errors.Wrap(ErrNotHolder, k.String())
	}
	now := m.opts.Clock.Now()
	// A suspended host may stop its monotonic clock, and the wall clock may be
	// set back. The lease is valid only if both clocks are before the deadline.
	valid := now.Before(o.deadline) && now.Round(0).Before(o.deadlineWall)
	if !valid && !m.disabled.noExpiry {
		return Grant{}, errors.Wrap(ErrExpired, k.String())
	}
	if wait := m.clearanceWait(l, now); wait > 0 {
		return Grant{}, errors.Wrapf(ErrNotCleared, "%s: for %v", k, wait)
	}
	return Grant{Key: k, Holder: m.opts.Incarnation, Fence: o.fence, ValidUntil: o.deadline}, nil
}

func (m *Manager) holds(l *lease) bool {
	return l.known && l.held && !l.termEnded && l.term.Holder == m.opts.Incarnation
}

// Uncleared returns the earlier terms that may still have an order in transit
// to a receiver that ignores fencing tokens. An empty list means that all of
// them are cleared. receiverProof, if not nil, reports for one receiver that a
// term's connection has ended or cannot reach it. It must not call the manager.
func (m *Manager) Uncleared(k Key, receiverProof func(Term) bool) []Term {
	if m.disabled.noClearance {
		return nil
	}
	m.mu.Lock()
	if l := m.state.leaseOf(k); m.opts.OrderLifetime > 0 && m.clearanceWait(l, m.opts.Clock.Now()) <= 0 {
		m.mu.Unlock()
		return nil
	}
	predecessors := append([]Term(nil), m.state.leaseOf(k).predecessors...)
	ownInFlight := map[int64]int{}
	if o := m.ownLeases[k]; o != nil {
		maps.Copy(ownInFlight, o.uses)
	}
	m.mu.Unlock()
	var left []Term
	for _, t := range predecessors {
		// For an earlier term of its own, the process knows whether an order is
		// open.
		ownDone := t.Holder == m.opts.Incarnation && ownInFlight[t.Fence] == 0
		if ownDone || m.hostGone(t) || (receiverProof != nil && receiverProof(t)) {
			continue
		}
		left = append(left, t)
	}
	return left
}

// hostGone reports whether the host of a term has been missing from the host
// list for longer than the list can lack a live host.
func (m *Manager) hostGone(t Term) bool {
	if m.opts.HostAbsentFor == nil || t.Holder == UnknownHolder {
		return false
	}
	return m.opts.HostAbsentFor(t.Host) > m.opts.HostListLag
}
