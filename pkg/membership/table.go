package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// Transport sends one request of an exchange to a host and returns its answer.
// Errors carry the step and the host (see steperr). It must be safe for
// concurrent use.
type Transport interface {
	Exchange(ctx context.Context, host string, m *Message) (*Message, error)
}

// Options configure a Table.
type Options struct {
	// Self identifies this run of the process. Its Nonce is the start time in
	// Unix milliseconds.
	Self      Incarnation
	Transport Transport
	Clock     clockwork.Clock
	// Rand is used under the table's lock only.
	Rand *rand.Rand
	// Local is optional and returns what each message reports about this host.
	// It is called under the table's lock and must not call the table.
	Local func() LocalStatus
	// OnAnswer is optional and is called under the rules of Local.
	OnAnswer AnswerFunc
	Log      log.Interface
}

// Table is the table of hosts and entries. It is safe for concurrent use.
type Table struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// wake signals Run that a new lasting entry was stored.
	wake chan struct{}

	// mu guards the fields below.
	mu   sync.Mutex
	core *core
	subs map[string][]func(Entry)
	// pending holds the entries not yet delivered to subscribers, in the order
	// in which they were stored. delivering is set while a goroutine delivers
	// them.
	pending    []Entry
	delivering bool
}

// New returns a table that only answers requests; Run starts its own exchanges.
func New(opts Options) *Table {
	if opts.Local == nil {
		opts.Local = func() LocalStatus { return LocalStatus{ConfirmedAge: -1} }
	}
	t := &Table{opts: opts, wake: make(chan struct{}, 1), subs: map[string][]func(Entry){}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.core = newCore(coreOptions{self: opts.Self, rand: opts.Rand, local: opts.Local, onAnswer: opts.OnAnswer}, opts.Clock.Now())
	return t
}

// Run starts the exchanges, which go on until Close: with one or two hosts per
// Interval, and with a few more as soon as a new lasting entry is stored. It
// returns immediately and must be called at most once.
func (t *Table) Run() {
	ticker := t.opts.Clock.NewTicker(Interval)
	t.wg.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-t.ctx.Done():
				return
			case <-ticker.Chan():
				t.exchangeAll(t.tick())
			case <-t.wake:
			}
			t.exchangeAll(t.burst())
		}
	})
}

// exchangeAll starts an exchange with each host. It must be called by a
// goroutine that Close waits for.
func (t *Table) exchangeAll(hosts []string) {
	for _, host := range hosts {
		t.wg.Go(func() { t.exchange(host) })
	}
}

// Close cancels the exchanges and waits for them to end.
func (t *Table) Close() {
	t.cancel()
	t.wg.Wait()
}

// Step runs one tick with its exchanges, for tests and for measurements that
// drive many tables in one process. It must not be used together with Run.
func (t *Table) Step() {
	for _, host := range t.tick() {
		t.exchange(host)
	}
}

// Burst runs the exchanges that are due because of new lasting entries, under
// the rules of Step, and reports whether there were any.
func (t *Table) Burst() bool {
	hosts := t.burst()
	for _, host := range hosts {
		t.exchange(host)
	}
	return len(hosts) > 0
}

func (t *Table) burst() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.burst(t.opts.Clock.Now())
}

func (t *Table) tick() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.tick(t.opts.Clock.Now())
}

// exchange runs the one or two requests of an exchange with a host.
func (t *Table) exchange(host string) {
	sentAt := t.opts.Clock.Now()
	t.mu.Lock()
	m := t.core.firstRequest(host, sentAt)
	t.mu.Unlock()
	for m != nil {
		reply, err := t.opts.Transport.Exchange(t.ctx, host, m)
		if err != nil {
			t.contactFailed(host, err)
			return
		}
		m = t.mergeAnswer(reply, sentAt)
		sentAt = t.opts.Clock.Now()
	}
}

// contactFailed records a failed exchange. It logs only the first failure since
// the host last answered.
func (t *Table) contactFailed(host string, err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	_, repeated := t.core.failed[host]
	t.core.contactFailed(host, t.opts.Clock.Now())
	t.mu.Unlock()
	if !repeated {
		step, _ := steperr.StepAndPeer(err)
		t.opts.Log.WithFields(log.Fields{"peer": host, "step": step, "error": err.Error()}).Warn("peer suspected")
	}
}

func (t *Table) mergeAnswer(reply *Message, sentAt time.Time) *Message {
	t.mu.Lock()
	next, changed := t.core.mergeAnswer(reply, sentAt, t.opts.Clock.Now())
	t.pending = append(t.pending, changed...)
	t.mu.Unlock()
	t.deliver()
	return next
}

// Answer serves a request. from is the host that the transport authenticated. A
// message that names another sender is refused.
func (t *Table) Answer(from string, m *Message) (*Message, error) {
	if from != m.From.Host {
		return nil, steperr.Wrap(errWrongSender, "answer exchange", from)
	}
	t.mu.Lock()
	reply, changed := t.core.answer(m, t.opts.Clock.Now())
	t.pending = append(t.pending, changed...)
	t.mu.Unlock()
	t.deliver()
	return reply, nil
}

// SetHosts replaces the host list. Hosts that left it are gone. Only listed
// hosts are contacted.
func (t *Table) SetHosts(list []ListedHost) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.setHosts(list, t.opts.Clock.Now())
}

// Publish stores an entry of this host and spreads it. Errors are ErrLasting,
// ErrTooLarge and ErrStale. Value must not be changed afterwards.
func (t *Table) Publish(e Entry) error {
	t.mu.Lock()
	err := t.core.publish(e, t.opts.Clock.Now())
	if err == nil {
		e.Host = t.opts.Self.Host
		t.pending = append(t.pending, e)
	}
	t.mu.Unlock()
	t.deliver()
	return err
}

// Get returns the entry in force: the highest version of all publishers.
func (t *Table) Get(kind, key string) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.index.get(kind, key, t.opts.Clock.Now())
}

// Range returns the entries of a kind that are in force, in the order of keys.
func (t *Table) Range(kind string) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.index.all(kind, t.opts.Clock.Now())
}

// Subscribe calls f for each entry of a kind that is stored from now on, own
// ones included, one call at a time and in order per publisher. f may call the
// table. It is not called when an entry expires or is dropped.
func (t *Table) Subscribe(kind string, f func(Entry)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subs[kind] = append(t.subs[kind], f)
}

// deliver passes pending entries to subscribers, unless another goroutine or a
// caller further up the stack is doing so. It then wakes Run if a burst is due.
func (t *Table) deliver() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.delivering {
		return
	}
	t.delivering = true
	for len(t.pending) > 0 {
		e := t.pending[0]
		t.pending = t.pending[1:]
		subs := t.subs[e.Kind]
		t.mu.Unlock()
		for _, f := range subs {
			f(e)
		}
		t.mu.Lock()
	}
	t.pending = nil
	t.delivering = false
	if t.core.urgent {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// Hosts returns the listed hosts by name, then the hosts that are gone.
func (t *Table) Hosts() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.hosts(t.opts.Clock.Now())
}

// State returns the liveness of a host; an unknown host is suspected.
func (t *Table) State(host string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.core.listed[host]; ok {
		return t.core.state(host, l.Domain, t.opts.Clock.Now())
	}
	if _, gone := t.core.gone[host]; gone {
		return StateGone
	}
	return StateSuspected
}

// Address returns a listed host's address, for peer.Options.Resolve.
func (t *Table) Address(host string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.core.listed[host]
	return l.Address, ok
}

// DomainAges returns the time since each domain was last seen, directly or as
// reported by a peer; domains never seen are left out. An age is never below the
// true age. The own domain is included with the age of the last answer from it.
func (t *Table) DomainAges() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	out := make(map[string]time.Duration, len(t.core.lastSeen))
	for domain, at := range t.core.lastSeen {
		out[domain] = now.Sub(at)
	}
	return out
}

// Self returns the own incarnation. Its nonce may rise shortly after the start.
func (t *Table) Self() Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.self.Incarnation
}

// Replaced reports whether a newer process of the same host has been seen, so
// that this one has to stop.
func (t *Table) Replaced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.replaced
}
