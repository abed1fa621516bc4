package entryhost

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/orders"
	"github.com/clementineshed/clementineshed/pkg/roles"
)

// provisioned is an endpoint that was ordered and is not listed yet.
type provisioned struct {
	place capacity.Place
	at    time.Time
}

// orderVisible is the time after which an ordered endpoint that is not listed
// is no longer counted.
const orderVisible = 10 * time.Second

// resumeAfter is how long an engine drains without a plan before it is resumed.
// It is longer than the last order of an earlier holder can be in transit.
const resumeAfter = 30 * time.Second

// operatorOrderTime bounds the questions and the order on behalf of an operator.
const operatorOrderTime = 5 * time.Second

// engines describes the engines of all domains for the role decision.
func (a *authority) engines() []roles.Engine {
	var list []roles.Engine
	for _, s := range a.host.platform.table.Snapshot().All() {
		if !s.IsEngine() || !s.HasLoad {
			continue
		}
		_, changing := a.changes[s.ID]
		list = append(list, roles.Engine{
			ID: s.ID, Domain: s.Domain, Role: s.Load.Role,
			Usable:    comesBack(s.State) && s.LeaveAtMillis == 0,
			Changing:  changing || s.Load.Draining,
			ChangedAt: a.changedAt[s.ID], DecodeStreams: s.Load.DecodeStreams,
		})
	}
	return list
}

// comesBack reports whether an engine in the state serves, now or after a planned
// change.
func comesBack(state endpoint.State) bool {
	return state == endpoint.StateLive || state == endpoint.StateDraining
}

// plannedState shows an engine that drains for a planned change as live, since
// it is neither released nor replaced.
func plannedState(state endpoint.State) endpoint.State {
	if comesBack(state) {
		return endpoint.StateLive
	}
	return state
}

// decideChanges plans changes of engines in this host's domain while it holds
// the lease for engine orders.
func (a *authority) decideChanges() {
	if _, err := a.leases.Check(a.key(lease.EngineOrders)); err != nil {
		clear(a.changes)
		clear(a.drainedSince)
		return
	}
	now := a.host.clock.Now()
	a.decideRoles(now)
	for _, s := range a.host.platform.table.Snapshot().All() {
		if s.IsEngine() && s.HasLoad && s.Domain == a.domain && s.LeaveAtMillis == 0 && comesBack(s.State) {
			a.decideResume(s, now)
			a.decideLoad(s)
		}
	}
}

func (a *authority) decideRoles(now time.Time) {
	snapshot := a.host.platform.table.Snapshot()
	in := roles.Input{Now: now, Engines: a.engines(), Work: a.meter.Work(), Domain: a.domain}
	for _, change := range a.roles.Decide(in) {
		status, ok := snapshot.Get(change.Engine)
		if !ok {
			continue
		}
		a.plan(status, orders.Target{Role: change.To, Model: status.Load.Model, Version: status.Load.Version})
		a.changedAt[change.Engine] = now
	}
}

// plan begins a change of an engine.
func (a *authority) plan(s endpoint.Status, target orders.Target) {
	a.changes[s.ID] = target
	a.host.log.WithFields(log.Fields{
		"step": "plan change", "endpoint": s.ID, "role": string(target.Role), "model": target.Model, "version": target.Version,
		"from_role": string(s.Load.Role), "from_version": s.Load.Version,
	}).Info("change of an engine planned")
}

// decideResume takes an engine back to work that an earlier holder of the lease
// drained and did not finish with. Without it the engine would stay drained for
// ever, because the plan is lost with its holder.
func (a *authority) decideResume(s endpoint.Status, now time.Time) {
	_, planned := a.changes[s.ID]
	if planned || !s.Load.Draining || a.isHeld(s.ID) {
		delete(a.drainedSince, s.ID)
		return
	}
	since, seen := a.drainedSince[s.ID]
	if !seen {
		a.drainedSince[s.ID] = now
		return
	}
	if now.Sub(since) >= resumeAfter {
		delete(a.drainedSince, s.ID)
		a.plan(s, orders.Target{Role: s.Load.Role, Model: s.Load.Model, Version: s.Load.Version})
	}
}

func (a *authority) isHeld(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[id]
}

// decideLoad plans the load of the declared version of an engine's model, one
// engine of the domain at a time: the weight store is rate-limited, and the
// others go on serving.
func (a *authority) decideLoad(s endpoint.Status) {
	model, declared := a.host.store.View().Model(s.Load.Model)
	if len(a.changes) > 0 || s.Load.Draining || !declared || model.Version == s.Load.Version {
		return
	}
	a.plan(s, orders.Target{Role: s.Load.Role, Model: model.Name, Version: model.Version})
}

// stepChanges takes each planned change one step further.
func (a *authority) stepChanges(ctx context.Context) {
	a.dropTaken()
	snapshot := a.host.platform.table.Snapshot()
	for id, target := range a.changes {
		status, ok := snapshot.Get(id)
		if !ok || status.State == endpoint.StateLeaving {
			delete(a.changes, id)
			continue
		}
		step, err := a.changer.Step(ctx, a.key(lease.EngineOrders), status.Endpoint, target)
		a.fail("change "+id, err)
		var notCleared *orders.NotClearedError
		if step == orders.StepDone || errors.As(err, &notCleared) {
			// Without clearance the engine stays as it is; the next decision
			// may plan the change again.
			delete(a.changes, id)
		}
	}
}

// decideCapacity orders and releases endpoints of this host's domain while it
// holds the lease for endpoint orders.
func (a *authority) decideCapacity(ctx context.Context) {
	view := a.host.store.View()
	budget := view.Budget()
	if _, err := a.leases.Check(a.key(lease.EndpointOrders)); err != nil || budget == nil {
		return
	}
	now := a.host.clock.Now()
	in := capacity.Input{
		Now: now, Domains: a.host.settings.Host.Domains, Endpoints: a.capacityEndpoints(now), Kinds: a.kinds(),
		Budget: *budget, Forecast: a.forecast.Demand(), Unavailable: map[capacity.Place]bool{}, Domain: a.domain,
	}
	for place, until := range a.unavailable {
		if now.Before(until) {
			in.Unavailable[place] = true
		}
	}
	for _, order := range capacity.DefaultFollowDemand().Decide(in) {
		a.fail("order endpoint", a.order(ctx, order, now))
	}
}

// kinds returns the declared kinds at their declared cost.
func (a *authority) kinds() []declaration.EndpointKind {
	return a.host.store.View().EndpointKinds()
}

// capacityEndpoints describes the engines of all domains, with those that were
// ordered here and are not listed yet.
func (a *authority) capacityEndpoints(now time.Time) []capacity.Endpoint {
	var list []capacity.Endpoint
	starting := map[capacity.Place]int{}
	for _, s := range a.host.platform.table.Snapshot().All() {
		if !s.IsEngine() {
			continue
		}
		if a.since[s.ID].state != s.State {
			a.since[s.ID] = stateSince{state: s.State, at: now}
		}
		if s.State == endpoint.StateStarting {
			starting[capacity.Place{Domain: s.Domain, Kind: s.Kind}]++
		}
		list = append(list, capacity.Endpoint{
			ID: s.ID, Domain: s.Domain, Kind: s.Kind, Reclaimable: s.Reclaimable,
			State: plannedState(s.State), Since: a.since[s.ID].at, Load: s.Load.Running + s.Load.Waiting,
		})
	}
	a.forgetOrdered(now, starting)
	for _, o := range a.ordered {
		list = append(list, capacity.Endpoint{ID: "ordered", Domain: o.place.Domain, Kind: o.place.Kind, State: endpoint.StateStarting, Since: o.at})
	}
	return list
}

// forgetOrdered drops orders whose endpoint is listed as starting or is overdue.
func (a *authority) forgetOrdered(now time.Time, starting map[capacity.Place]int) {
	kept := a.ordered[:0]
	for _, o := range a.ordered {
		if starting[o.place] > 0 {
			starting[o.place]--
			continue
		}
		if now.Sub(o.at) < orderVisible {
			kept = append(kept, o)
		}
	}
	a.ordered = kept
}

// order carries out one decision.
func (a *authority) order(ctx context.Context, o capacity.Order, now time.Time) error {
	switch o.Kind {
	case capacity.Provision:
		return a.provision(ctx, o.Place, now)
	case capacity.Drain:
		status, ok := a.host.platform.table.Snapshot().Get(o.Endpoint)
		if !ok {
			return nil
		}
		// Hosts stop sending to a leaving endpoint, so that it becomes idle. This
		// needs no order to the engine, for which another host may hold the lease.
		delete(a.changes, o.Endpoint)
		a.host.peers.publishLeaving(status.Endpoint)
		return nil
	default:
		return a.sender.SendPlatform(ctx, a.key(lease.EndpointOrders), orders.PlatformOrder{
			Kind: orders.Release, Domain: a.domain, Endpoint: o.Endpoint,
		})
	}
}

// errUnknownEngine reports an endpoint that is no known engine of this domain.
var errUnknownEngine = errors.New("no such engine in this failure domain")

// operatorOrder sends a drain or resume on behalf of an operator. It ends a
// planned role change of the engine. Errors are errUnknownEngine and those of
// orders.Sender.SendEngine.
func (a *authority) operatorOrder(id string, kind enginewire.OrderKind) error {
	status, ok := a.host.platform.table.Snapshot().Get(id)
	if !ok || !status.IsEngine() || status.Domain != a.domain {
		return errUnknownEngine
	}
	a.mu.Lock()
	a.taken[id] = true
	if kind == enginewire.OrderDrain {
		a.held[id] = true
	} else {
		delete(a.held, id)
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), operatorOrderTime)
	defer cancel()
	err := a.sender.SendEngine(ctx, a.key(lease.EngineOrders), status.Endpoint, enginewire.Order{Kind: kind})
	a.host.log.WithFields(log.Fields{"step": "operator " + string(kind), "endpoint": id, "error": err}).Info("operator's order")
	return err
}

// dropTaken ends the planned changes of engines that operators have taken over.
func (a *authority) dropTaken() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.taken {
		delete(a.changes, id)
	}
	clear(a.taken)
}

func (a *authority) provision(ctx context.Context, place capacity.Place, now time.Time) error {
	models := a.host.store.View().Models()
	if len(models) == 0 {
		return nil
	}
	err := a.sender.SendPlatform(ctx, a.key(lease.EndpointOrders), orders.PlatformOrder{
		Kind: orders.Provision, Domain: place.Domain, EndpointKind: place.Kind, Model: models[0].Name, Version: models[0].Version,
	})
	var refused *orders.RefusedError
	if errors.As(err, &refused) && refused.Code == endpointapi.CodeKindUnavailable {
		a.unavailable[place] = now.Add(unavailableFor)
	}
	if err == nil || errors.Is(err, orders.ErrUnanswered) {
		a.ordered = append(a.ordered, provisioned{place: place, at: now})
	}
	if err == nil {
		a.host.log.WithFields(log.Fields{"step": "provision", "domain": place.Domain, "kind": place.Kind}).Info("endpoint ordered")
	}
	return err
}
