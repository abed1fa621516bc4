package bench

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/routing"
)

// observe adds a request's estimated work to the offered work, as hosts do.
func (s *simulation) observe(h *host, j *job, plan routing.Plan) {
	if j.class == classOrder || j.attempts > 0 {
		return
	}
	s.budgets(h).Earn(j.team, j.class, at(s.now))
	prefill := float64(max(1, j.prompt-plan.Run.CachedTokens)) / prefillRate
	decode := float64(j.req.OutputTokens) * decodeStepLimit.Seconds() / streamsAtStepLimit
	s.offered.Prefill += prefill
	s.offered.Decode += decode
	// Prefill costs a mixed engine more decode capacity than its own time.
	engines := prefill*roles.DefaultMixedRolePolicy().Interference + decode
	if j.req.Tolerant {
		s.tolerant += engines
	} else {
		s.strict += engines
	}
}

func (s *simulation) budgets(h *host) *retry.Budgets { return s.retries[h.id] }

// control runs the role and capacity policies, as the lease holders do.
func (s *simulation) control() {
	s.meter.Observe(s.offered, at(s.now))
	s.forecast.Observe(capacity.Demand{Strict: s.strict, Tolerant: s.tolerant}, at(s.now))
	s.offered, s.strict, s.tolerant = roles.Work{}, 0, 0
	if s.now < warmUp/2 {
		return
	}
	for _, change := range s.policy.Roles.Decide(s.rolesInput()) {
		if e := s.engine(change.Engine); s.reachable(e.Domain, s.dep.Domains[0]) {
			s.changeRole(e, change.To)
			s.result.countRoleChange(s.now)
		}
	}
	if !s.platformDown {
		for _, order := range s.policy.Capacity.Decide(s.capacityInput()) {
			s.applyOrder(order)
		}
	}
}

func (s *simulation) rolesInput() roles.Input {
	in := roles.Input{Now: at(s.now), Work: s.meter.Work()}
	for _, e := range s.engines {
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
func (s *simulation) changeRole(e *fakeEngine, to endpoint.Role) {
	e.draining, e.changing, e.target, e.changedAt = true, true, to, s.now
	s.awaitDrain(e)
}

func (s *simulation) awaitDrain(e *fakeEngine) {
	if !e.up || !e.changing {
		return
	}
	if !e.idle() {
		s.after(100*time.Millisecond, func() { s.awaitDrain(e) })
		return
	}
	e.up = false
	s.after(roleChangeTime, func() {
		if !e.changing {
			return
		}
		e.up, e.draining, e.changing, e.role, e.at = true, false, false, e.target, s.now
		e.Instance += "."
		newCache(e)
		e.sequence, e.events = 0, nil
	})
}

func (s *simulation) capacityInput() capacity.Input {
	in := capacity.Input{Now: at(s.now), Domains: s.dep.Domains, Kinds: kinds(), Forecast: s.forecast.Demand(),
		Unavailable: map[capacity.Place]bool{}}
	in.Budget.MaxHourlyCost = budgetEngines
	for place, until := range s.unavailableUntil {
		in.Unavailable[place] = s.now < until
	}
	for _, e := range s.engines {
		load := len(e.waiting) + len(e.streams) + len(e.arriving)
		in.Endpoints = append(in.Endpoints, capacity.Endpoint{ID: e.ID, Domain: e.Domain, Kind: e.Kind,
			Reclaimable: e.Reclaimable, State: e.State, Since: at(e.since), Load: load})
	}
	return in
}

func (s *simulation) applyOrder(o capacity.Order) {
	switch o.Kind {
	case capacity.Provision:
		s.addEngine(o.Place, engineStartTime)
	case capacity.Drain:
		if e := s.engine(o.Endpoint); !e.changing {
			s.announceLeave(e, 0)
		}
	case capacity.Release:
		if e := s.engine(o.Endpoint); e.LeaveAtMillis == 0 && e.idle() && s.now-e.since > time.Second {
			s.remove(e, false)
		}
	}
}

// addSpend adds the spend of the last second.
func (s *simulation) addSpend() {
	if s.now < warmUp || s.now >= s.trace.Length {
		return
	}
	for _, e := range s.engines {
		s.result.Spend += e.cost / 3600
	}
}
