package relayhost

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/orders"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/sleep"
	"github.com/clementineshed/clementineshed/pkg/steadyclock"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// leaseMargin is added by challengers; clocks of hosts run alike within it.
	// The lease itself is the time within which two hosts must not take turns: a
	// longer one would leave a report undone when its holder is cut off.
	leaseMargin = 700 * time.Millisecond
	// maxCandidates is the number of hosts that stand for the duties: several may
	// be killed or cut off at once.
	maxCandidates = 5
	// handPeers is the number of candidates that get counts: one of them may be cut
	// off from the store.
	handPeers = 2
	// hearingTime is the wait of a new process before it stands, reviewInterval
	// the time between two looks at who does.
	hearingTime    = 700 * time.Millisecond
	reviewInterval = time.Second
	// claimSpread spreads the claims of maxCandidates hosts.
	claimSpread = 300 * time.Millisecond
	// streamPoll is how long a read of the streams waits for a record, leasePace the
	// least time between two reads of the lease, streamBackoff the longest delay
	// after failed ones: a report that is due soon after an outage needs both
	// streams.
	streamPoll    = 2 * time.Second
	leasePace     = 400 * time.Millisecond
	streamBackoff = 400 * time.Millisecond
	// handInterval is how often counts are handed to the candidates, usageFlush how
	// often these write them: what a killed host loses of a window must stay below
	// the tolerated error of a report.
	handInterval = 500 * time.Millisecond
	usageFlush   = time.Second
	// usageGrace is the time from the end of a window until its figures are fixed:
	// handInterval, usageFlush, and a second for slow hosts and a slow store. The
	// rest of the time until a report is due is left for outages.
	usageGrace = 2500 * time.Millisecond
	// reportMargin is left between the latest close of a window and the time at which
	// its report is due: for the close record, its reading and the report.
	reportMargin = 3 * time.Second
	// usagePace bounds the reads of a stream that all hosts append to.
	usagePace = time.Second
	// usageQuiet is the time without a record after which a host that does not
	// know which windows are closed goes on; windows are a few seconds long.
	usageQuiet = 12 * time.Second
	// decideInterval is how often the roles of engines are decided on.
	decideInterval = 500 * time.Millisecond
)

// EngineReport is what an engine says of its orders.
type EngineReport struct {
	Role endpoint.Role
	// Busy says that an order is in progress, Orders counts the accepted ones.
	Busy   bool
	Orders int64
}

// Authority is the proof under which an order is given.
type Authority struct {
	Holder string
	Fence  int64
}

// Platform carries orders out.
type Platform interface {
	usage.WindowInterface
	// Report asks an engine for its orders.
	Report(ctx context.Context, m fleet.Member) (EngineReport, error)
	// SetRole orders a role, on the condition that the engine has accepted as
	// many orders as expected.
	SetRole(ctx context.Context, m fleet.Member, role endpoint.Role, expected int64, by Authority) error
	// Scale orders a number of endpoints of a service. It fails with
	// ErrNoneAvailable if the platform has none to give.
	Scale(ctx context.Context, service string, c capacity.Count, by Authority) error
}

// ErrNoneAvailable reports an order for endpoints that the platform cannot fill.
var ErrNoneAvailable = errors.New("no endpoint is to be had")

// duties performs what one host at a time may do. Few hosts stand as candidates
// for it, so that the calls to the store do not grow with the hosts; the others
// hand their counts of usage to them.
type duties struct {
	host     *Host
	stream   logservice.Client
	platform Platform
	clock    *steadyclock.Clock
	key      lease.Key
	counter  *usage.Counter
	roles    roles.Policy
	capacity capacity.FillCheap

	mu sync.Mutex
	// candidacy is nil while this host is no candidate; guarded by mu.
	candidacy *candidacy
	// changes holds when the role of an engine was ordered and to what; guarded
	// by mu.
	changes map[string]change
	// placed holds the last orders for endpoints; it is used by run only.
	placed map[place]capacity.Placed
	// baseline holds the most durable endpoints seen; it is used by run only.
	baseline map[place]int
}

// candidacy is a candidate's claim to the lease and its fold of the usage.
type candidacy struct {
	leases *lease.Manager
	usage  *usage.Reporter
}

// place names a count that can be ordered.
type place struct {
	service, domain string
	kind            int
}

type change struct {
	to    endpoint.Role
	began time.Time
}

// newDuties starts the counting of usage.
func newDuties(h *Host, stream logservice.Client, platform Platform) *duties {
	d := &duties{host: h, stream: stream, platform: platform, clock: steadyclock.New(), key: lease.Key{Duty: lease.Coordination},
		roles: roles.DefaultSplitMix(), capacity: capacity.DefaultFillCheap(), changes: map[string]change{}, placed: map[place]capacity.Placed{}, baseline: map[place]int{}}
	d.counter = usage.NewCounter(usage.CounterOptions{
		Client: stream, Clock: d.clock, Incarnation: h.settings.Host + "/" + uuid.NewString(), LiveHosts: h.hosts, Peers: d,
		Window: h.settings.UsageWindow, FlushInterval: handInterval, Log: h.log,
	})
	return d
}

// reading is how often a candidate reads a stream.
func reading(pace time.Duration) logservice.Reading {
	return logservice.Reading{PollWait: streamPoll, Pace: pace, MaxBackoff: streamBackoff}
}

// otherCandidates takes the flushes that a candidate cannot append.
type otherCandidates struct{ duties *duties }

// Hand implements usage.Peers. All candidates get the flushes, because the store
// may turn several of them away.
func (o otherCandidates) Hand(_ context.Context, flushes []usage.Flush) error {
	return o.duties.host.exchange.ForwardUsage(o.duties.candidates(), maxCandidates, flushes)
}

// stand makes this host a candidate.
func (d *duties) stand() *candidacy {
	h := d.host
	incarnation := h.settings.Host + "/" + uuid.NewString()
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	c := &candidacy{}
	c.leases = lease.New(lease.Options{
		Client: d.stream, Clock: d.clock, Rand: rand.New(rand.NewSource(random.Int63())),
		Incarnation: incarnation, Host: h.settings.Host, Address: h.settings.CallersAddr, Keys: []lease.Key{d.key},
		LiveHosts: h.hosts, HostAbsentFor: func(string) time.Duration { return 0 },
		Duration: h.settings.LeaseTime, Margin: leaseMargin, ClaimSpread: claimSpread, Reading: reading(leasePace), Log: h.log,
	})
	c.usage = usage.New(usage.Options{
		Client: d.stream, Clock: d.clock, Rand: random, Incarnation: incarnation, LiveHosts: h.hosts,
		Key: d.key, Leases: c.leases, Sender: orders.NewSender(orders.Options{Clock: d.clock, Leases: c.leases, Incarnation: incarnation, Log: h.log}),
		Windows: d.platform, Log: h.log, Window: h.settings.UsageWindow,
		Grace: usageGrace, FlushInterval: usageFlush, QuietTime: usageQuiet, Reading: reading(usagePace),
		Peers: otherCandidates{d}, HandAccepted: true,
		Awaited: func(sinceEnd time.Duration) bool {
			return h.exchange.AwaitsUsage(time.Now().Add(handInterval + usageFlush - sinceEnd))
		},
		LatestClose: max(usageGrace, h.settings.UsageDue-reportMargin),
	})
	h.log.Info("candidacy_begun")
	return c
}

// end gives the lease up and stops.
func (d *duties) end(c *candidacy) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout/2)
	defer cancel()
	if err := c.usage.Flush(ctx); err != nil {
		d.host.log.WithError(err).Warn("usage_not_flushed")
	}
	c.usage.Close()
	if err := c.leases.Release(ctx, d.key); err != nil {
		d.host.log.WithError(err).Warn("lease_not_released")
	}
	c.leases.Close()
	d.host.log.Info("candidacy_ended")
}

// stop flushes the counts and gives the lease up. It is called after run has
// returned.
func (d *duties) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout/2)
	defer cancel()
	if err := d.counter.Close(ctx); err != nil {
		d.host.log.WithError(err).Warn("usage_not_flushed")
	}
	if c := d.current(); c != nil {
		d.end(c)
	}
}

func (d *duties) current() *candidacy {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.candidacy
}

// candidates returns the hosts that stand, most preferred first.
func (d *duties) candidates() []string { return mostFit(d.host.exchange.Live(), maxCandidates) }

// Hand implements usage.Peers.
func (d *duties) Hand(_ context.Context, flushes []usage.Flush) error {
	candidates := d.candidates()
	if c := d.current(); c != nil {
		c.usage.Accept(flushes)
		// The other candidates are a second way to the store; this host appends
		// the counts itself if it reaches none of them.
		if err := d.host.exchange.ForwardUsage(candidates, handPeers, flushes); err != nil && len(candidates) > 1 {
			d.host.log.WithError(err).Warn("counts_not_handed")
		}
		return nil
	}
	return d.host.exchange.ForwardUsage(candidates, handPeers, flushes)
}

// accept takes counts of other hosts, if this one is a candidate.
func (d *duties) accept(flushes []usage.Flush) {
	if c := d.current(); c != nil {
		c.usage.Accept(flushes)
	}
}

// review begins or ends the candidacy.
func (d *duties) review(held bool) {
	wanted := slices.Contains(d.candidates(), d.host.settings.Host)
	c := d.current()
	switch {
	case wanted && c == nil:
		d.setCandidacy(d.stand())
	case !wanted && c != nil && !held:
		d.setCandidacy(nil)
		d.end(c)
	}
}

func (d *duties) setCandidacy(c *candidacy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidacy = c
}

// run performs the duties while this host holds the lease.
func (d *duties) run(ctx context.Context) {
	// The other hosts are heard within this time; until then each would take
	// itself for the only candidate.
	sleep.For(ctx, hearingTime)
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	held, reviewed := false, time.Time{}
	for {
		if now := time.Now(); now.Sub(reviewed) >= reviewInterval {
			reviewed = now
			d.review(held)
		}
		held = d.perform(ctx, held)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// perform decides on what is due if this host holds the lease, and reports
// whether it does.
func (d *duties) perform(ctx context.Context, before bool) bool {
	c := d.current()
	if c == nil {
		return false
	}
	grant, err := c.leases.Check(d.key)
	held := err == nil
	if held != before {
		d.host.log.WithField("held", held).WithField("fence", grant.Fence).Info("lease_changed")
		// What an earlier holder ordered is not known.
		clear(d.placed)
	}
	if held && d.host.settings.OrderServers {
		d.decideCapacity(ctx, c)
	}
	if held && d.host.settings.OrderEngines {
		d.decideRoles(ctx, c)
	}
	return held
}
