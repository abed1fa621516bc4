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

// pendingProvision is an endpoint that was ordered and is not listed yet.
type pendingProvision struct {
	place     capacity.Place
	orderedAt time.Time
}

// pendingProvisionTTL is how long an ordered endpoint that is not listed yet
// counts as starting.
const pendingProvisionTTL = 10 * time.Second

// orphanedDrainTimeout is how long an engine drains without a planned change
// before it is resumed. It exceeds the time for which an order of an earlier
// lease holder can be in transit.
const orphanedDrainTimeout = 30 * time.Second

// operatorOrderTimeout bounds an operator's order, including the clearance that
// precedes it.
const operatorOrderTimeout = 5 * time.Second

// engines returns the engines of all domains as input of the role decision.
func (a *authority) engines() []roles.Engine {
	var list []roles.Engine
	for _, s := range a.host.platform.table.Snapshot().All() {
		if !s.IsEngine() || !s.HasLoad {
			continue
		}
		_, changing := a.changes[s.ID]
		list = append(list, roles.Engine{
			ID: s.ID, Domain: s.Domain, Role: s.Load.Role,
			Usable:    inService(s.State) && s.LeaveAtMillis == 0,
			Changing:  changing || s.Load.Draining,
			ChangedAt: a.changedAt[s.ID], DecodeStreams: s.Load.DecodeStreams,
		})
	}
	return list
}

// inService reports whether an engine in the state serves now or is expected to
// serve again after its drain.
func inService(state endpoint.State) bool {
	return state == endpoint.StateLive || state == endpoint.StateDraining
}

// capacityState returns the state as the capacity decision sees it. A draining
// engine counts as live, since an engine that drains for a planned change is
// neither released nor replaced.
func capacityState(state endpoint.State) endpoint.State {
	if inService(state) {
		return endpoint.StateLive
	}
	return state
}

// planChanges plans changes of engines in this host's domain while it holds the
// engine-orders lease.
func (a *authority) planChanges() {
	if _, err := a.leases.Check(a.leaseKey(lease.EngineOrders)); err != nil {
		clear(a.changes)
		clear(a.drainedSince)
		return
	}
	now := a.host.clock.Now()
	a.planRoleChanges(now)
	for _, s := range a.host.platform.table.Snapshot().All() {
		if s.IsEngine() && s.HasLoad && s.Domain == a.domain && s.LeaveAtMillis == 0 && inService(s.State) {
			a.planResume(s, now)
			a.planModelLoad(s)
		}
	}
}

func (a *authority) planRoleChanges(now time.Time) {
	snapshot := a.host.platform.table.Snapshot()
	in := roles.Input{Now: now, Engines: a.engines(), Work: a.meter.Work(), Domain: a.domain}
	for _, change := range a.roles.Decide(in) {
		status, ok := snapshot.Get(change.Engine)
		if !ok {
			continue
		}
		a.planChange(status, orders.Target{Role: change.To, Model: status.Load.Model, Version: status.Load.Version})
		a.changedAt[change.Engine] = now
	}
}

func (a *authority) planChange(s endpoint.Status, target orders.Target) {
	a.changes[s.ID] = target
	a.host.log.WithFields(log.Fields{
		"step": "plan change", "endpoint": s.ID, "role": string(target.Role), "model": target.Model, "version": target.Version,
		"from_role": string(s.Load.Role), "from_version": s.Load.Version,
	}).Info("engine change planned")
}

// planResume plans to resume an engine that an earlier lease holder drained.
// The plan of that holder is lost with it, so the engine would otherwise drain
// forever.
func (a *authority) planResume(s endpoint.Status, now time.Time) {
	_, planned := a.changes[s.ID]
	if planned || !s.Load.Draining || a.isOperatorDrained(s.ID) {
		delete(a.drainedSince, s.ID)
		return
	}
	since, seen := a.drainedSince[s.ID]
	if !seen {
		a.drainedSince[s.ID] = now
		return
	}
	if now.Sub(since) >= orphanedDrainTimeout {
		delete(a.drainedSince, s.ID)
		a.planChange(s, orders.Target{Role: s.Load.Role, Model: s.Load.Model, Version: s.Load.Version})
	}
}

func (a *authority) isOperatorDrained(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.operatorDrained[id]
}

// planModelLoad plans the load of the declared version of an engine's model. It
// changes one engine of the domain at a time, because the weight store is
// rate-limited and the other engines must keep serving.
func (a *authority) planModelLoad(s endpoint.Status) {
	model, declared := a.host.store.View().Model(s.Load.Model)
	if len(a.changes) > 0 || s.Load.Draining || !declared || model.Version == s.Load.Version {
		return
	}
	a.planChange(s, orders.Target{Role: s.Load.Role, Model: model.Name, Version: model.Version})
}

// stepChanges advances each planned change by one step.
func (a *authority) stepChanges(ctx context.Context) {
	a.dropOverridden()
	snapshot := a.host.platform.table.Snapshot()
	for id, target := range a.changes {
		status, ok := snapshot.Get(id)
		if !ok || status.State == endpoint.StateLeaving {
			delete(a.changes, id)
			continue
		}
		step, err := a.changer.Step(ctx, a.leaseKey(lease.EngineOrders), status.Endpoint, target)
		a.recordResult("change "+id, err)
		var notCleared *orders.NotClearedError
		if step == orders.StepDone || errors.As(err, &notCleared) {
			// Without clearance the engine keeps its role and model. The next
			// decision may plan the change again.
			delete(a.changes, id)
		}
	}
}

// adjustCapacity orders and releases endpoints of this host's domain while it
// holds the endpoint-orders lease.
func (a *authority) adjustCapacity(ctx context.Context) {
	view := a.host.store.View()
	budget := view.Budget()
	if _, err := a.leases.Check(a.leaseKey(lease.EndpointOrders)); err != nil || budget == nil {
		return
	}
	now := a.host.clock.Now()
	in := capacity.Input{
		Now: now, Domains: a.host.settings.Host.Domains, Endpoints: a.capacityEndpoints(now), Kinds: a.declaredKinds(),
		Budget: *budget, Forecast: a.forecast.Demand(), Unavailable: map[capacity.Place]bool{}, Domain: a.domain,
	}
	for place, until := range a.unavailableUntil {
		if now.Before(until) {
			in.Unavailable[place] = true
		}
	}
	for _, order := range capacity.DefaultFollowDemand().Decide(in) {
		a.recordResult("order endpoint", a.executeOrder(ctx, order, now))
	}
}

func (a *authority) declaredKinds() []declaration.EndpointKind {
	return a.host.store.View().EndpointKinds()
}

// capacityEndpoints returns the engines of all domains as input of the capacity
// decision, including those that this host ordered and that are not listed yet.
func (a *authority) capacityEndpoints(now time.Time) []capacity.Endpoint {
	var list []capacity.Endpoint
	starting := map[capacity.Place]int{}
	for _, s := range a.host.platform.table.Snapshot().All() {
		if !s.IsEngine() {
			continue
		}
		if a.states[s.ID].state != s.State {
			a.states[s.ID] = observedState{state: s.State, since: now}
		}
		if s.State == endpoint.StateStarting {
			starting[capacity.Place{Domain: s.Domain, Kind: s.Kind}]++
		}
		list = append(list, capacity.Endpoint{
			ID: s.ID, Domain: s.Domain, Kind: s.Kind, Reclaimable: s.Reclaimable,
			State: capacityState(s.State), Since: a.states[s.ID].since, Load: s.Load.Running + s.Load.Waiting,
		})
	}
	a.prunePendingProvisions(now, starting)
	for _, o := range a.pendingProvisions {
		list = append(list, capacity.Endpoint{ID: "ordered", Domain: o.place.Domain, Kind: o.place.Kind, State: endpoint.StateStarting, Since: o.orderedAt})
	}
	return list
}

// prunePendingProvisions drops ordered endpoints that are now listed as
// starting or that exceed pendingProvisionTTL.
func (a *authority) prunePendingProvisions(now time.Time, starting map[capacity.Place]int) {
	kept := a.pendingProvisions[:0]
	for _, o := range a.pendingProvisions {
		if starting[o.place] > 0 {
			starting[o.place]--
			continue
		}
		if now.Sub(o.orderedAt) < pendingProvisionTTL {
			kept = append(kept, o)
		}
	}
	a.pendingProvisions = kept
}

func (a *authority) executeOrder(ctx context.Context, o capacity.Order, now time.Time) error {
	switch o.Kind {
	case capacity.Provision:
		return a.provision(ctx, o.Place, now)
	case capacity.Drain:
		status, ok := a.host.platform.table.Snapshot().Get(o.Endpoint)
		if !ok {
			return nil
		}
		// Other hosts stop routing to a leaving endpoint, so it becomes idle. A
		// drain order to the engine would need the engine-orders lease, which
		// another host may hold.
		delete(a.changes, o.Endpoint)
		a.host.peers.publishLeaving(status.Endpoint)
		return nil
	default:
		return a.sender.SendPlatform(ctx, a.leaseKey(lease.EndpointOrders), orders.PlatformOrder{
			Kind: orders.Release, Domain: a.domain, Endpoint: o.Endpoint,
		})
	}
}

// errUnknownEngine reports an ID that is not an engine of this failure domain.
var errUnknownEngine = errors.New("no such engine in this failure domain")

// operatorOrder sends a drain or resume order on behalf of an operator. It
// cancels the engine's planned change. Errors are errUnknownEngine and those of
// orders.Sender.SendEngine.
func (a *authority) operatorOrder(id string, kind enginewire.OrderKind) error {
	status, ok := a.host.platform.table.Snapshot().Get(id)
	if !ok || !status.IsEngine() || status.Domain != a.domain {
		return errUnknownEngine
	}
	a.mu.Lock()
	a.overridden[id] = true
	if kind == enginewire.OrderDrain {
		a.operatorDrained[id] = true
	} else {
		delete(a.operatorDrained, id)
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), operatorOrderTimeout)
	defer cancel()
	err := a.sender.SendEngine(ctx, a.leaseKey(lease.EngineOrders), status.Endpoint, enginewire.Order{Kind: kind})
	a.host.log.WithFields(log.Fields{"step": "operator " + string(kind), "endpoint": id, "error": err}).Info("operator order processed")
	return err
}

// dropOverridden cancels the planned changes that operators' orders override.
func (a *authority) dropOverridden() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.overridden {
		delete(a.changes, id)
	}
	clear(a.overridden)
}

func (a *authority) provision(ctx context.Context, place capacity.Place, now time.Time) error {
	models := a.host.store.View().Models()
	if len(models) == 0 {
		return nil
	}
	err := a.sender.SendPlatform(ctx, a.leaseKey(lease.EndpointOrders), orders.PlatformOrder{
		Kind: orders.Provision, Domain: place.Domain, EndpointKind: place.Kind, Model: models[0].Name, Version: models[0].Version,
	})
	var refused *orders.RefusedError
	if errors.As(err, &refused) && refused.Code == endpointapi.CodeKindUnavailable {
		a.unavailableUntil[place] = now.Add(unavailableBackoff)
	}
	if err == nil || errors.Is(err, orders.ErrUnanswered) {
		a.pendingProvisions = append(a.pendingProvisions, pendingProvision{place: place, orderedAt: now})
	}
	if err == nil {
		a.host.log.WithFields(log.Fields{"step": "provision", "domain": place.Domain, "kind": place.Kind}).Info("endpoint ordered")
	}
	return err
}
