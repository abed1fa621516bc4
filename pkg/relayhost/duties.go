package relayhost

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/orders"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/steadyclock"
	"github.com/clementineshed/clementineshed/pkg/steperr"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// leaseMargin is added by challengers; clocks of hosts run alike within it.
	// The lease itself is the time within which two hosts must not take turns: a
	// longer one would leave a report undone when its holder is cut off.
	leaseMargin = 700 * time.Millisecond
	// leasePoll and leasePace bound the reads of the lease stream.
	leasePoll = 2 * time.Second
	leasePace = 400 * time.Millisecond
	// usageFlush is how often counts are written: what a killed host loses of a
	// window must stay below the tolerated error of a report.
	usageFlush = time.Second
	// usageGrace is the time from the end of a window until its figures are
	// fixed. A host that is cut off from the store notices it within three
	// seconds and then hands its counts to others.
	usageGrace = 3500 * time.Millisecond
	// usagePace bounds the reads of a stream that all hosts append to.
	usagePace = time.Second
	// usageQuiet is the time without a record after which a host that does not
	// know which windows are closed goes on; windows are a few seconds long.
	usageQuiet = 12 * time.Second
	// decideInterval is how often the roles of engines are decided on.
	decideInterval = 500 * time.Millisecond
	// orderTimeout bounds one order; unanswered ones may still be carried out.
	orderTimeout = 1500 * time.Millisecond
	// changeSlack is added to the time of a role change before an engine that
	// does not show it is ordered again.
	changeSlack = 2 * time.Second
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

// duties performs what one host at a time may do.
type duties struct {
	host     *Host
	platform Platform
	key      lease.Key
	leases   *lease.Manager
	usage    *usage.Reporter
	policy   roles.Policy
	capacity capacity.FillCheap

	mu sync.Mutex
	// changes holds when the role of an engine was ordered and to what; guarded
	// by mu.
	changes map[string]change
	// placed holds the last orders for endpoints; it is used by run only.
	placed map[place]capacity.Placed
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

// newDuties starts the lease and the counting of usage.
func newDuties(h *Host, stream logservice.Client, platform Platform) *duties {
	clock := steadyclock.New()
	incarnation := h.settings.Host + "/" + uuid.NewString()
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	d := &duties{host: h, platform: platform, key: lease.Key{Duty: lease.Coordination}, policy: roles.DefaultSplitMix(),
		capacity: capacity.DefaultFillCheap(), changes: map[string]change{}, placed: map[place]capacity.Placed{}}
	d.leases = lease.New(lease.Options{
		Client: stream, Clock: clock, Rand: rand.New(rand.NewSource(random.Int63())),
		Incarnation: incarnation, Host: h.settings.Host, Address: h.settings.CallersAddr, Keys: []lease.Key{d.key},
		LiveHosts: h.hosts, HostAbsentFor: func(string) time.Duration { return 0 },
		Duration: h.settings.LeaseTime, Margin: leaseMargin, PollWait: leasePoll, Pace: leasePace, Log: h.log,
	})
	d.usage = usage.New(usage.Options{
		Client: stream, Clock: clock, Rand: random, Incarnation: incarnation, LiveHosts: h.hosts,
		Key: d.key, Leases: d.leases, Sender: orders.NewSender(orders.Options{Clock: clock, Leases: d.leases, Incarnation: incarnation, Log: h.log}),
		Windows: platform, Peers: h.share, Log: h.log, Window: h.settings.UsageWindow,
		Grace: usageGrace, FlushInterval: usageFlush, QuietTime: usageQuiet, PollWait: leasePoll, Pace: usagePace,
	})
	return d
}

// stop flushes the counts and gives the lease up.
func (d *duties) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout/2)
	defer cancel()
	if err := d.usage.Flush(ctx); err != nil {
		d.host.log.WithError(err).Warn("usage_not_flushed")
	}
	d.usage.Close()
	if err := d.leases.Release(ctx, d.key); err != nil {
		d.host.log.WithError(err).Warn("lease_not_released")
	}
	d.leases.Close()
}

// run decides on the roles of the engines while this host holds the lease.
func (d *duties) run(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	held := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		grant, err := d.leases.Check(d.key)
		if holds := err == nil; holds != held {
			held = holds
			d.host.log.WithField("held", held).WithField("fence", grant.Fence).Info("lease_changed")
			// What an earlier holder ordered is not known.
			clear(d.placed)
		}
		if held && d.host.settings.OrderServers {
			d.decideCapacity(ctx)
		}
		if held && d.host.settings.OrderEngines {
			d.decideRoles(ctx)
		}
	}
}

// decideRoles compares the wanted roles with the present ones and orders the
// difference.
func (d *duties) decideRoles(ctx context.Context) {
	table, err := d.host.routes.Current()
	if err != nil {
		// Nothing is known of the services yet.
		return
	}
	now := time.Now()
	for _, s := range table.Services() {
		if s.Engine == nil {
			continue
		}
		switchTime := s.Engine.SwitchTime
		members := d.host.fleet.Members(s.Name)
		in := roles.Input{Now: now, Work: d.host.models.For(s.Name).Work(now), Engines: d.engines(members, switchTime, now)}
		var wg sync.WaitGroup
		for _, c := range d.policy.Decide(in) {
			for _, m := range members {
				if m.ID == c.Engine {
					wg.Go(func() { d.order(ctx, m, c.To, switchTime, in.Work) })
				}
			}
		}
		wg.Wait()
	}
}

// engines describes the members for the decision.
func (d *duties) engines(members []fleet.Member, switchTime time.Duration, now time.Time) []roles.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]roles.Engine, 0, len(members))
	for _, m := range members {
		if m.Role == "" {
			continue
		}
		e := roles.Engine{ID: m.ID, Domain: m.Domain, Role: m.Role, Usable: m.State == endpoint.StateLive}
		if c, ok := d.changes[m.ID]; ok {
			e.ChangedAt = c.began
			e.Changing = m.Role != c.to && now.Sub(c.began) < switchTime+changeSlack
			if e.Changing {
				// It counts where it will be.
				e.Role = c.to
			}
		}
		list = append(list, e)
	}
	return list
}

// order gives one engine its role.
func (d *duties) order(ctx context.Context, m fleet.Member, to endpoint.Role, switchTime time.Duration, work roles.Work) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fields := log.Fields{"engine": m.ID, "from": string(m.Role), "to": string(to), "prefill_work": work.Prefill, "decode_work": work.Decode}
	err := d.orderOnce(ctx, m, to, switchTime, fields)
	if err != nil {
		step, peer := steperr.StepAndPeer(err)
		d.host.log.WithFields(fields).WithField("step", step).WithField("peer", peer).WithError(err).Warn("role_not_ordered")
		return
	}
	d.host.log.WithFields(fields).Info("role_ordered")
}

func (d *duties) orderOnce(ctx context.Context, m fleet.Member, to endpoint.Role, switchTime time.Duration, fields log.Fields) error {
	report, err := d.platform.Report(ctx, m)
	if err != nil {
		return err
	}
	if report.Busy {
		return errors.New("another order is in progress")
	}
	use, err := d.leases.Begin(d.key)
	if err != nil {
		return err
	}
	defer use.Done()
	grant, err := use.Check()
	if err != nil {
		return err
	}
	fields["fence"] = grant.Fence
	d.mu.Lock()
	d.changes[m.ID] = change{to: to, began: time.Now()}
	d.mu.Unlock()
	// From here on the engine refuses what it has not begun.
	d.host.blocked(m.Service, m.ID, switchTime)
	d.host.share.Block(m.Service, m.ID, switchTime)
	// The condition on the count of orders keeps an unanswered order from taking
	// effect after a later one.
	return d.platform.SetRole(ctx, m, to, report.Orders, Authority{Holder: grant.Holder, Fence: grant.Fence})
}
