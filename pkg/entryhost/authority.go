package entryhost

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/orders"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	// decideInterval is how often roles and capacity are decided on.
	decideInterval = 2 * time.Second
	// stepInterval is how often a planned change takes its next step.
	stepInterval = 500 * time.Millisecond
	// provisionLead is the time for which endpoints are ordered ahead.
	provisionLead = 60 * time.Second
	// unavailableFor is how long a kind that the platform refused in a domain is
	// not ordered there.
	unavailableFor = 30 * time.Second
)

// usageKey is the lease for usage reports: one for the whole deployment, named
// after its first failure domain.
func usageKey(domains []string) lease.Key {
	return lease.Key{Domain: slices.Min(domains), Duty: lease.UsageReports}
}

// authority holds the host's leases and, where it holds one, decides on roles
// and endpoints and carries the decisions out.
type authority struct {
	host    *Host
	domain  string
	leases  *lease.Manager
	sender  *orders.Sender
	changer *orders.Changer
	roles   roles.Policy

	mu sync.Mutex
	// own is the work offered to this host since its start; guarded by mu.
	own offeredWork
	// problems is the last failure by step; guarded by mu.
	problems map[string]error
	// taken are engines whose planned change an operator's order ends; guarded
	// by mu.
	taken map[string]bool
	// held are engines that an operator has drained through this process; guarded
	// by mu.
	held map[string]bool

	// The fields below belong to run.
	meter    *roles.Meter
	forecast *capacity.Forecast
	seen     map[string]offeredWork
	// changes are the planned changes under way, by engine.
	changes map[string]orders.Target
	// drainedSince is when an engine was first seen draining without a plan.
	drainedSince map[string]time.Time
	// changedAt is when the last change of an engine began.
	changedAt   map[string]time.Time
	ordered     []provisioned
	since       map[string]stateSince
	unavailable map[capacity.Place]time.Time
}

type stateSince struct {
	state endpoint.State
	at    time.Time
}

func newAuthority(h *Host, seed int64, rolePolicy roles.Policy) *authority {
	a := &authority{
		roles: rolePolicy,
		host:  h, domain: h.settings.Host.Domain, problems: map[string]error{}, taken: map[string]bool{}, held: map[string]bool{},
		own:   offeredWork{Incarnation: h.incarnation},
		meter: roles.NewMeter(0), forecast: capacity.NewForecast(provisionLead),
		seen: map[string]offeredWork{}, changes: map[string]orders.Target{}, drainedSince: map[string]time.Time{}, changedAt: map[string]time.Time{},
		since: map[string]stateSince{}, unavailable: map[capacity.Place]time.Time{},
	}
	a.leases = lease.New(lease.Options{
		Client: h.logs, Clock: h.clock, Rand: newRand(seed, 6),
		Incarnation: h.incarnation, Host: h.settings.Host.Instance, Address: h.settings.Listen.Peers,
		Keys: []lease.Key{
			{Domain: a.domain, Duty: lease.EngineOrders},
			{Domain: a.domain, Duty: lease.EndpointOrders},
			usageKey(h.settings.Host.Domains),
		},
		Log: h.log, LiveHosts: h.platform.liveHosts, HostAbsentFor: h.platform.absentFor,
		Duration: h.settings.Authority.LeaseTime.Std(), Margin: h.settings.Authority.Margin.Std(),
	})
	a.sender = orders.NewSender(orders.Options{
		Clock: h.clock, Leases: a.leases, Incarnation: h.incarnation, Log: h.log,
		Engines:  orders.HTTPEngines{TLS: h.keys.endpointsTLS()},
		Platform: orders.HTTPPlatform{Address: h.settings.Platform.Endpoints, TLS: h.keys.platformTLS()},
	})
	a.changer = orders.NewChanger(a.sender)
	return a
}

func (a *authority) key(duty lease.Duty) lease.Key { return lease.Key{Domain: a.domain, Duty: duty} }

// run decides and acts until ctx ends.
func (a *authority) run(ctx context.Context) {
	decide := a.host.clock.NewTicker(decideInterval)
	step := a.host.clock.NewTicker(stepInterval)
	defer decide.Stop()
	defer step.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-decide.Chan():
			a.observe()
			a.decideChanges()
			a.decideCapacity(ctx)
		case <-step.Chan():
			a.stepChanges(ctx)
		}
	}
}

// release gives the leases up at a planned stop.
func (a *authority) release(ctx context.Context) {
	for _, k := range []lease.Key{a.key(lease.EngineOrders), a.key(lease.EndpointOrders), usageKey(a.host.settings.Host.Domains)} {
		if _, err := a.leases.Check(k); err != nil {
			continue
		}
		if err := a.leases.Release(ctx, k); err != nil {
			a.host.log.WithFields(log.Fields{"step": "release lease", "lease": k.String()}).WithError(err).Warn("lease was not released; it ends by its time")
		}
	}
}

func (a *authority) close() { a.leases.Close() }

// addOffered counts work offered to this host, in engine seconds.
func (a *authority) addOffered(work roles.Work, tolerant bool) {
	engines := work.Prefill*roles.DefaultMixedRolePolicy().Interference + work.Decode
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.Prefill += work.Prefill
	a.own.Decode += work.Decode
	if tolerant {
		a.own.Tolerant += engines
	} else {
		a.own.Strict += engines
	}
}

// offered returns the cumulative work offered to this host.
func (a *authority) offered() offeredWork {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.own
}

// observe feeds the work offered to all hosts since the last call to the meter
// and the forecast.
func (a *authority) observe() {
	all := a.host.peers.offeredByOthers()
	all[a.host.settings.Host.Name] = a.offered()
	var total offeredWork
	for host, now := range all {
		before, known := a.seen[host]
		a.seen[host] = now
		if !known || before.Incarnation != now.Incarnation {
			continue
		}
		total.Prefill += now.Prefill - before.Prefill
		total.Decode += now.Decode - before.Decode
		total.Strict += now.Strict - before.Strict
		total.Tolerant += now.Tolerant - before.Tolerant
	}
	at := a.host.clock.Now()
	a.meter.Observe(roles.Work{Prefill: total.Prefill, Decode: total.Decode}, at)
	a.forecast.Observe(capacity.Demand{Strict: total.Strict, Tolerant: total.Tolerant}, at)
}

// fail notes and logs a failed step; a nil error clears it.
func (a *authority) fail(step string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		delete(a.problems, step)
		return
	}
	a.problems[step] = err
	if errors.Is(err, lease.ErrNotHolder) {
		return
	}
	_, peer := steperr.StepAndPeer(err)
	a.host.log.WithFields(log.Fields{"step": step, "peer": peer}).WithError(err).Warn("order was not carried out")
}

// problemList returns the steps that fail at present, sorted by step.
func (a *authority) problemList() []ProblemStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []ProblemStatus
	for _, step := range slices.Sorted(maps.Keys(a.problems)) {
		list = append(list, problem(a.problems[step]))
	}
	return list
}
