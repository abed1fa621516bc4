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
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/sleep"
	"github.com/clementineshed/clementineshed/pkg/steadyclock"
	"github.com/clementineshed/clementineshed/pkg/upstream"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// leaseMargin is added to Settings.LeaseTime by hosts that try to take over
	// the lease. The clocks of two hosts drift apart by less during a lease. A
	// longer lease would leave a usage report undone when its holder is cut off.
	leaseMargin = 700 * time.Millisecond
	// orderLifetime is the longest time after the end of a lease for which an
	// order of its holder can still arrive. A holder resets the connection of an
	// order that is unanswered at the end of its lease, so that only data on the
	// network is left.
	orderLifetime = 300 * time.Millisecond
	// maxCandidates is the number of hosts that compete for the lease. They are in
	// different failure domains, one of which may be lost, and each costs about four
	// calls to the store a second.
	maxCandidates = 3
	// usageForwardPeers is the number of candidates to which a host forwards
	// its usage counts. One of them may be cut off from the store.
	usageForwardPeers = 2
	// discoveryTime is how long a new process listens for other hosts before it
	// may become a candidate. At the first start of all hosts it does not lead before
	// firstDiscoveryTime, within which the addresses of the hosts are read twice:
	// the first time most of them are missing, and a third of 295 hosts took
	// themselves for leaders. candidacyInterval is the time between two checks
	// whether this host is to be a candidate.
	discoveryTime      = 700 * time.Millisecond
	firstDiscoveryTime = 2200 * time.Millisecond
	candidacyInterval  = time.Second
	// firstEraWithin is less than firstDiscoveryTime by more than the time within which all
	// hosts start.
	firstEraWithin = 1500 * time.Millisecond
	// claimSpread bounds the random delay of a candidate's lease claim.
	claimSpread = 300 * time.Millisecond
	// streamPollWait is how long a read of a stream waits for a record.
	// leaseReadInterval is the least time between two reads of the lease
	// stream. maxStreamBackoff is the longest delay after a failed read; it is
	// short because a usage report that is due soon after an outage needs both
	// streams.
	streamPollWait    = 2 * time.Second
	leaseReadInterval = 400 * time.Millisecond
	maxStreamBackoff  = 400 * time.Millisecond
	// usageForwardInterval is how often a host forwards its usage counts to
	// candidates, usageFlushInterval how often these write them to the store.
	// What a killed host loses of a usage window must stay below the tolerated
	// error of a report.
	usageForwardInterval = 500 * time.Millisecond
	usageFlushInterval   = time.Second
	// usageGrace is the time from the end of a usage window until its counts
	// are final: usageForwardInterval, usageFlushInterval, and one second for
	// slow hosts and a slow store. The rest of the time until the report is due
	// is left for outages.
	usageGrace = 2500 * time.Millisecond
	// reportMargin is left between the latest close of a usage window and the
	// time at which its report is due, for writing and reading the close record
	// and for the report itself.
	reportMargin = 3 * time.Second
	// usageReadInterval bounds the rate of reads of the usage stream, to which
	// all hosts append.
	usageReadInterval = time.Second
	// usageQuietTime is the time without a close record after which a candidate
	// that does not know which usage windows are closed closes windows.
	// Windows are a few seconds long.
	usageQuietTime = 12 * time.Second
	// decideInterval is how often the lease holder decides on the number of
	// endpoints and the roles of engines.
	decideInterval = 500 * time.Millisecond
)

// EngineReport is an engine's answer about its role and its orders.
type EngineReport struct {
	Role endpoint.Role
	// Busy says that an order is in progress. Orders is the number of orders
	// accepted so far.
	Busy   bool
	Orders int64
	// StartedMillis is when the engine has started, in Unix milliseconds.
	StartedMillis int64
}

// Authority identifies the lease under which an order is given. Fence is the
// fencing token.
type Authority struct {
	Holder string
	Fence  int64
}

// Platform is the platform's interface for orders and usage reports.
// Implementations are safe for concurrent use.
type Platform interface {
	usage.WindowInterface
	// Report asks an engine for its role and the state of its orders. The request is sent by
	// the client, which may reach the engine through another host.
	Report(ctx context.Context, client *upstream.Client, m fleet.Member) (EngineReport, error)
	// CachedParts returns the parts of prompts that an engine holds. The request is sent as
	// in Report.
	CachedParts(ctx context.Context, client *upstream.Client, m fleet.Member) ([]placement.Part, error)
	// SetRole orders an engine to take a role, on the condition that it has
	// accepted exactly the expected number of orders.
	SetRole(ctx context.Context, m fleet.Member, role endpoint.Role, expected int64, by Authority) error
	// Scale orders a number of endpoints of a service. It fails with
	// ErrNoneAvailable if the platform has none to give.
	Scale(ctx context.Context, service string, c capacity.TargetCount, by Authority) error
}

// ErrNoneAvailable means that the platform cannot fill an order for endpoints.
var ErrNoneAvailable = errors.New("no endpoint available")

// duties performs the work that one host at a time does under a lease. Few
// hosts are candidates for the lease, so that the calls to the store do not
// grow with the number of hosts. The others forward their usage counts to
// candidates.
type duties struct {
	host     *Host
	stream   logservice.Client
	platform Platform
	clock    *steadyclock.Clock
	key      lease.Key
	counter  *usage.Counter
	roles    roles.SplitRolePolicy
	capacity capacity.FillReclaimable

	mu sync.Mutex
	// candidacy is nil while this host is not a candidate; guarded by mu.
	candidacy *candidacy
	// roleChanges holds the last role order of each engine; guarded by mu.
	roleChanges map[string]roleChange
	// loads holds the observed work of each service. Only run uses it.
	loads map[string]*serviceLoad
	// lastOrders holds the last order for endpoints of each pool, maxDurable the
	// largest number of durable endpoints seen in it. Only run uses them.
	lastOrders map[poolKey]capacity.LastOrder
	maxDurable map[poolKey]int
}

// candidacy is a candidate's part in the lease and in the reporting of usage.
type candidacy struct {
	leases *lease.Manager
	usage  *usage.Reporter
}

// poolKey identifies the endpoints of one kind, durable or reclaimable, that a
// service has in a failure domain.
type poolKey struct {
	service, domain string
	kind            int
}

type roleChange struct {
	to        endpoint.Role
	orderedAt time.Time
}

// newDuties returns duties that already count usage; run performs the rest.
func newDuties(h *Host, stream logservice.Client, platform Platform) *duties {
	d := &duties{host: h, stream: stream, platform: platform, clock: steadyclock.New(), key: lease.Key{Duty: lease.Coordination},
		roles: roles.DefaultSplitRolePolicy(), capacity: capacity.DefaultFillReclaimable(), roleChanges: map[string]roleChange{}, loads: map[string]*serviceLoad{}, lastOrders: map[poolKey]capacity.LastOrder{}, maxDurable: map[poolKey]int{}}
	d.counter = usage.NewCounter(usage.CounterOptions{
		Client: stream, Clock: d.clock, Incarnation: h.settings.Host + "/" + uuid.NewString(), LiveHosts: h.liveHosts, Peers: d,
		Window: h.settings.UsageWindow, FlushInterval: usageForwardInterval, Log: h.log,
	})
	return d
}

func streamReadOptions(minInterval time.Duration) logservice.ReadOptions {
	return logservice.ReadOptions{PollWait: streamPollWait, MinInterval: minInterval, MaxBackoff: maxStreamBackoff}
}

// otherCandidates receives the flushes that a candidate cannot append to the
// usage stream.
type otherCandidates struct{ duties *duties }

// HandOver implements usage.Peers. It forwards the flushes to all candidates,
// because several of them may fail to append to the store.
func (o otherCandidates) HandOver(_ context.Context, flushes []usage.Flush) error {
	return o.duties.host.exchange.ForwardUsage(o.duties.candidates(), maxCandidates, flushes)
}

// firstStartIn reports whether an era of the store is that in which all hosts have started
// for the first time. The store may have been restored since unless it stated the era before
// any host could be a candidate.
func (h *Host) firstStartIn(era int64) bool {
	first, at, known := h.adapter.StoreEras.First()
	return h.settings.FirstStart && known && era == first && at.Sub(h.startedAt) < firstEraWithin
}

func (d *duties) startCandidacy() *candidacy {
	h := d.host
	incarnation := h.settings.Host + "/" + uuid.NewString()
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	c := &candidacy{}
	c.leases = lease.New(lease.Options{
		Client: d.stream, Clock: d.clock, Rand: rand.New(rand.NewSource(random.Int63())),
		Incarnation: incarnation, Host: h.settings.Host, Address: h.settings.CallersAddr, Keys: []lease.Key{d.key},
		LiveHosts: h.liveHosts, HostAbsentFor: func(string) time.Duration { return 0 },
		Duration: h.settings.LeaseTime, Margin: leaseMargin, OrderLifetime: orderLifetime, ClaimSpread: claimSpread, ReadOptions: streamReadOptions(leaseReadInterval), Log: h.log,
	})
	c.usage = usage.New(usage.Options{
		Client: d.stream, Clock: d.clock, Rand: random, Incarnation: incarnation, LiveHosts: h.liveHosts,
		Key: d.key, Leases: c.leases, Sender: orders.NewSender(orders.Options{Clock: d.clock, Leases: c.leases, Incarnation: incarnation, Log: h.log}),
		WindowInterface: d.platform, Log: h.log, Window: h.settings.UsageWindow,
		Grace: usageGrace, FlushInterval: usageFlushInterval, QuietTime: usageQuietTime, ReadOptions: streamReadOptions(usageReadInterval),
		Peers: otherCandidates{d}, HandOverAccepted: true, FirstStart: h.firstStartIn,
		MayHoldCounts: func(sinceEnd time.Duration) bool {
			return h.exchange.AwaitsUsage(time.Now().Add(usageForwardInterval + usageFlushInterval - sinceEnd))
		},
		MaxCloseDelay: max(usageGrace, h.settings.UsageDue-reportMargin),
	})
	h.log.Info("candidacy_begun")
	return c
}

// endCandidacy flushes the counts of a candidacy, releases its lease and closes
// it.
func (d *duties) endCandidacy(c *candidacy) {
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

// stop flushes the usage counts and ends the candidacy. It is called once the
// context of run has ended.
func (d *duties) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout/2)
	defer cancel()
	if err := d.counter.Close(ctx); err != nil {
		d.host.log.WithError(err).Warn("usage_not_flushed")
	}
	if c := d.currentCandidacy(); c != nil {
		d.endCandidacy(c)
	}
}

func (d *duties) currentCandidacy() *candidacy {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.candidacy
}

// candidates returns the names of the hosts that are to be candidates, most
// preferred first.
func (d *duties) candidates() []string { return rankHosts(d.host.exchange.Live(), maxCandidates) }

// HandOver implements usage.Peers. A candidate also accepts the flushes itself.
func (d *duties) HandOver(_ context.Context, flushes []usage.Flush) error {
	candidates := d.candidates()
	if c := d.currentCandidacy(); c != nil {
		c.usage.AcceptFlushes(flushes)
		// The other candidates are a second way to the store. If none of them
		// is reached, this host still appends the counts itself.
		if err := d.host.exchange.ForwardUsage(candidates, usageForwardPeers, flushes); err != nil && len(candidates) > 1 {
			d.host.log.WithError(err).Warn("counts_not_handed")
		}
		return nil
	}
	return d.host.exchange.ForwardUsage(candidates, usageForwardPeers, flushes)
}

// acceptUsage accepts usage counts of another host. They are ignored if this
// host is not a candidate.
func (d *duties) acceptUsage(flushes []usage.Flush) {
	if c := d.currentCandidacy(); c != nil {
		c.usage.AcceptFlushes(flushes)
	}
}

// updateCandidacy starts or ends the candidacy of this host. A host that holds
// the lease stays a candidate.
func (d *duties) updateCandidacy(held bool) {
	wanted := slices.Contains(d.candidates(), d.host.settings.Host)
	c := d.currentCandidacy()
	switch {
	case wanted && c == nil:
		d.setCandidacy(d.startCandidacy())
	case !wanted && c != nil && !held:
		d.setCandidacy(nil)
		d.endCandidacy(c)
	}
}

func (d *duties) setCandidacy(c *candidacy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidacy = c
}

// run takes part in the lease and performs the duties while this host holds it,
// until ctx ends.
func (d *duties) run(ctx context.Context) {
	// Until the other hosts are heard, each new host would consider itself the
	// only candidate.
	sleep.For(ctx, d.host.discoveryPeriod())
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	held, checkedAt := false, time.Time{}
	for {
		if now := time.Now(); now.Sub(checkedAt) >= candidacyInterval {
			checkedAt = now
			d.updateCandidacy(held)
		}
		held = d.runOnce(ctx, held)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// underLease calls send if this host holds the lease. The context of send ends with
// the term, and its authority is valid at the time of the call. Errors are those of the
// lease and of send.
func (d *duties) underLease(ctx context.Context, c *candidacy, send func(ctx context.Context, by Authority) error) error {
	use, err := c.leases.Begin(d.key)
	if err != nil {
		return err
	}
	defer use.Done()
	grant, err := use.Check()
	if err != nil {
		return err
	}
	ctx, cancel := grant.Context(ctx, d.clock, orderTimeout)
	defer cancel()
	return send(ctx, Authority{Holder: grant.Holder, Fence: grant.Fence})
}

// runOnce performs the duties if this host holds the lease, and reports whether
// it does. heldBefore is the previous result.
func (d *duties) runOnce(ctx context.Context, heldBefore bool) bool {
	c := d.currentCandidacy()
	if c == nil {
		return false
	}
	grant, err := c.leases.Check(d.key)
	held := err == nil
	if held != heldBefore {
		d.host.log.WithField("held", held).WithField("fence", grant.Fence).Info("lease_changed")
		// The orders of earlier holders are not known.
		clear(d.lastOrders)
	}
	if held && d.host.settings.OrderEndpoints {
		d.decideCapacity(ctx, c)
	}
	if held && d.host.settings.OrderEngines {
		d.decideRoles(ctx, c)
	}
	return held
}
