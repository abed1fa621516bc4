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
	// decideInterval is the time between two decisions on roles and capacity.
	decideInterval = 2 * time.Second
	// stepInterval is the time between two steps of a planned change.
	stepInterval = 500 * time.Millisecond
	// provisionLead is how far ahead of demand endpoints are ordered.
	provisionLead = 60 * time.Second
	// unavailableBackoff is how long a kind is not ordered in a domain after
	// the platform refused it there as unavailable.
	unavailableBackoff = 30 * time.Second
)

// usageLeaseKey returns the key of the lease for usage reports. The whole
// deployment has one, in its alphabetically first failure domain.
func usageLeaseKey(domains []string) lease.Key {
	return lease.Key{Domain: slices.Min(domains), Duty: lease.UsageReports}
}

// authority acquires the host's leases. Under a lease, it decides on roles and
// endpoints and sends the orders.
type authority struct {
	host    *Host
	domain  string
	leases  *lease.Manager
	sender  *orders.Sender
	changer *orders.Changer
	roles   roles.Policy

	mu sync.Mutex
	// ownWork is the work offered to this host since its start; guarded by mu.
	ownWork offeredWork
	// problems is the last error of each failing step; guarded by mu.
	problems map[string]error
	// overridden are engines with an operator's order that cancels their
	// planned change; guarded by mu.
	overridden map[string]bool
	// operatorDrained are engines that an operator has drained through this
	// process; guarded by mu.
	operatorDrained map[string]bool

	// The fields below are used only by run.
	meter    *roles.Meter
	forecast *capacity.Forecast
	lastWork map[string]offeredWork
	// changes are the changes in progress, by engine.
	changes map[string]orders.Target
	// drainedSince is when an engine was first seen draining without a plan.
	drainedSince map[string]time.Time
	// changedAt is when the last role change of an engine was planned.
	changedAt         map[string]time.Time
	pendingProvisions []pendingProvision
	states            map[string]observedState
	unavailableUntil  map[capacity.Place]time.Time
}

type observedState struct {
	state endpoint.State
	since time.Time
}

func newAuthority(h *Host, seed int64, rolePolicy roles.Policy) *authority {
	a := &authority{
		roles: rolePolicy,
		host:  h, domain: h.settings.Host.Domain, problems: map[string]error{}, overridden: map[string]bool{}, operatorDrained: map[string]bool{},
		ownWork: offeredWork{Incarnation: h.incarnation},
		meter:   roles.NewMeter(0), forecast: capacity.NewForecast(provisionLead),
		lastWork: map[string]offeredWork{}, changes: map[string]orders.Target{}, drainedSince: map[string]time.Time{}, changedAt: map[string]time.Time{},
		states: map[string]observedState{}, unavailableUntil: map[capacity.Place]time.Time{},
	}
	a.leases = lease.New(lease.Options{
		Client: h.logs, Clock: h.clock, Rand: newRand(seed, 6),
		Incarnation: h.incarnation, Host: h.settings.Host.Instance, Address: h.settings.Listen.Peers,
		Keys: []lease.Key{
			{Domain: a.domain, Duty: lease.EngineOrders},
			{Domain: a.domain, Duty: lease.EndpointOrders},
			usageLeaseKey(h.settings.Host.Domains),
		},
		Log: h.log, LiveHosts: h.platform.liveHosts, HostAbsentFor: h.platform.absentFor,
		Duration: h.settings.Authority.LeaseTime.Std(), Margin: h.settings.Authority.Margin.Std(),
	})
	a.sender = orders.NewSender(orders.Options{
		Clock: h.clock, Leases: a.leases, Incarnation: h.incarnation, Log: h.log,
		Engines:  orders.HTTPEngines{TLS: h.tls.endpointsTLS()},
		Platform: orders.HTTPPlatform{Address: h.settings.Platform.Endpoints, TLS: h.tls.platformTLS()},
	})
	a.changer = orders.NewChanger(a.sender)
	return a
}

func (a *authority) leaseKey(d lease.Duty) lease.Key { return lease.Key{Domain: a.domain, Duty: d} }

// run decides on roles and capacity and sends orders until ctx ends.
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
			a.observeDemand()
			a.planChanges()
			a.adjustCapacity(ctx)
		case <-step.Chan():
			a.stepChanges(ctx)
		}
	}
}

// release releases the held leases at a graceful stop.
func (a *authority) release(ctx context.Context) {
	for _, k := range []lease.Key{a.leaseKey(lease.EngineOrders), a.leaseKey(lease.EndpointOrders), usageLeaseKey(a.host.settings.Host.Domains)} {
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
	a.ownWork.Prefill += work.Prefill
	a.ownWork.Decode += work.Decode
	if tolerant {
		a.ownWork.Tolerant += engines
	} else {
		a.ownWork.Strict += engines
	}
}

// offered returns the cumulative work offered to this host, in engine seconds.
func (a *authority) offered() offeredWork {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ownWork
}

// observeDemand passes the work offered to all hosts since the last call to the
// meter and the forecast.
func (a *authority) observeDemand() {
	all := a.host.peers.offeredByOthers()
	all[a.host.settings.Host.Name] = a.offered()
	var total offeredWork
	for host, now := range all {
		before, known := a.lastWork[host]
		a.lastWork[host] = now
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

// recordResult records the error of a step and logs it unless it is
// lease.ErrNotHolder. A nil err clears the step's last error.
func (a *authority) recordResult(step string, err error) {
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

// problemList returns the last errors of the failing steps, sorted by step.
func (a *authority) problemList() []ProblemStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []ProblemStatus
	for _, step := range slices.Sorted(maps.Keys(a.problems)) {
		list = append(list, problemStatus(a.problems[step]))
	}
	return list
}
