package bench

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/routing"
)

// observe counts a request's work as offered, as the hosts do.
func (w *world) observe(h *host, j *job, plan routing.Plan) {
	if j.class == classOrder || j.attempts > 0 {
		return
	}
	w.budgets(h).Earn(j.team, j.class, at(w.now))
	prefill := float64(max(1, j.prompt-plan.Run.CachedTokens)) / prefillRate
	decode := float64(j.req.OutputTokens) * decodeStepLimit.Seconds() / outputAtLimit
	w.offered.Prefill += prefill
	w.offered.Decode += decode
	// A mixed engine gives up more decode for prefill than the time it takes.
	engines := prefill*roles.DefaultMixedRolePolicy().Interference + decode
	if j.req.Tolerant {
		w.tolerant += engines
	} else {
		w.strict += engines
	}
}

func (w *world) budgets(h *host) *retry.Budgets { return w.retries[h.id] }

// control runs the holders of the authority: roles and capacity.
func (w *world) control() {
	w.meter.Observe(w.offered, at(w.now))
	w.forecast.Observe(capacity.Demand{Strict: w.strict, Tolerant: w.tolerant}, at(w.now))
	w.offered, w.strict, w.tolerant = roles.Work{}, 0, 0
	if w.now < warmUp/2 {
		return
	}
	for _, change := range w.policy.Roles.Decide(w.rolesInput()) {
		if e := w.engine(change.Engine); w.reachable(e.Domain, w.dep.Domains[0]) {
			w.changeRole(e, change.To)
			w.result.countRoleChange(w.now)
		}
	}
	if !w.down {
		for _, order := range w.policy.Capacity.Decide(w.capacityInput()) {
			w.order(order)
		}
	}
}

func (w *world) rolesInput() roles.Input {
	in := roles.Input{Now: at(w.now), Work: w.meter.Work()}
	for _, e := range w.engines {
		r := roles.Engine{ID: e.ID, Domain: e.Domain, Role: e.role, DecodeStreams: len(e.streams),
			Usable: e.up && e.State == endpoint.StateLive, Changing: e.changing}
		if e.changing {
			r.Role = e.target
		}
		if e.changedAt > 0 {
			r.ChangedAt = at(e.changedAt)
		}
		in.Engines = append(in.Engines, r)
	}
	return in
}

// changeRole drains the engine and then takes it out of service for the change.
func (w *world) changeRole(e *fakeEngine, to endpoint.Role) {
	e.draining, e.changing, e.target, e.changedAt = true, true, to, w.now
	w.awaitDrain(e)
}

func (w *world) awaitDrain(e *fakeEngine) {
	if !e.up || !e.changing {
		return
	}
	if !e.idle() {
		w.after(100*time.Millisecond, func() { w.awaitDrain(e) })
		return
	}
	e.up = false
	w.after(roleChangeTime, func() {
		if !e.changing {
			return
		}
		e.up, e.draining, e.changing, e.role, e.at = true, false, false, e.target, w.now
		e.Instance += "."
		newCache(e)
		e.sequence, e.events = 0, nil
	})
}

func (w *world) capacityInput() capacity.Input {
	in := capacity.Input{Now: at(w.now), Domains: w.dep.Domains, Kinds: kinds(), Forecast: w.forecast.Demand(),
		Unavailable: map[capacity.Place]bool{}}
	in.Budget.MaxHourlyCost = budgetEngines
	for place, until := range w.gone {
		in.Unavailable[place] = w.now < until
	}
	for _, e := range w.engines {
		load := len(e.waiting) + len(e.streams) + len(e.arriving)
		in.Endpoints = append(in.Endpoints, capacity.Endpoint{ID: e.ID, Domain: e.Domain, Kind: e.Kind,
			Reclaimable: e.Reclaimable, State: e.State, Since: at(e.since), Load: load})
	}
	return in
}

func (w *world) order(o capacity.Order) {
	switch o.Kind {
	case capacity.Provision:
		w.addEngine(o.Place, startTime)
	case capacity.Drain:
		if e := w.engine(o.Endpoint); !e.changing {
			w.leave(e, 0)
		}
	case capacity.Release:
		if e := w.engine(o.Endpoint); e.LeaveAtMillis == 0 && e.idle() && w.now-e.since > time.Second {
			w.remove(e, false)
		}
	}
}

// account adds up the spend of the last second.
func (w *world) account() {
	if w.now < warmUp || w.now >= w.trace.Length {
		return
	}
	for _, e := range w.engines {
		w.result.Spend += e.cost / 3600
	}
}
