package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	domains = []string{"d0", "d1", "d2", "d3"}
	kinds   = []declaration.EndpointKind{{Name: "standard", HourlyCost: 1}, {Name: "spot", Reclaimable: true, HourlyCost: 0.4}}
)

func input(durable, reclaimable int, demand Demand) Input {
	in := Input{Now: start.Add(time.Hour), Domains: domains, Kinds: kinds, Forecast: demand,
		Budget: declaration.Budget{MaxHourlyCost: 12}}
	for i := range durable + reclaimable {
		e := Endpoint{ID: fmt.Sprintf("e%02d", i), Domain: domains[i%4], Kind: "standard", State: endpoint.StateLive, Since: start}
		if i >= durable {
			e.Kind, e.Reclaimable = "spot", true
		}
		in.Endpoints = append(in.Endpoints, e)
	}
	return in
}

// TestPlanBearsLossOfOneDomain guards against a fleet that misses targets when
// the reclaimable endpoints of one domain are reclaimed, and against one that
// has hardly any durable endpoints.
func TestPlanBearsLossOfOneDomain(t *testing.T) {
	p := DefaultFollowDemand()
	for strict := 0.0; strict < 8; strict += 0.5 {
		for tolerant := 0.0; tolerant < 6; tolerant += 0.5 {
			plan := p.Plan(Demand{strict, tolerant}, 4, 1, 0.4, 100)
			if float64(plan.Durable)*p.TargetUtilization+1e-9 < strict*p.DurableShare {
				t.Fatalf("strict %v: %+v", strict, plan)
			}
			left := float64(plan.Durable+plan.Reclaimable-ceilDiv(plan.Reclaimable, 4)) * p.TargetUtilization
			if left+1e-9 < strict+tolerant/2 {
				t.Fatalf("strict %v tolerant %v: %+v leaves %v", strict, tolerant, plan, left)
			}
		}
	}
}

// TestBudgetBoundsPlan guards against a plan that costs more than the budget.
func TestBudgetBoundsPlan(t *testing.T) {
	for budget := 4.0; budget < 20; budget++ {
		plan := DefaultFollowDemand().Plan(Demand{Strict: 30, Tolerant: 30}, 4, 1, 0.4, budget)
		if cost := float64(plan.Durable) + 0.4*float64(plan.Reclaimable); cost > budget {
			t.Fatalf("budget %v: %+v costs %v", budget, plan, cost)
		}
	}
}

// TestOrdersStayWithinBudget guards against a transition between kinds that
// costs more than the budget.
func TestOrdersStayWithinBudget(t *testing.T) {
	in := input(8, 4, Demand{Strict: 30, Tolerant: 30})
	for budget := 9.0; budget < 20; budget++ {
		in.Budget.MaxHourlyCost = budget
		cost := 8 + 4*0.4
		for _, o := range DefaultFollowDemand().Decide(in) {
			if o.Kind == Provision {
				cost += map[string]float64{"standard": 1, "spot": 0.4}[o.Place.Kind]
			}
		}
		if cost > max(budget, 9.6) {
			t.Fatalf("budget %v: costs %v", budget, cost)
		}
	}
}

// TestReleasesOneAtATimeAboveFloor guards against draining the last endpoints
// of a domain, and against draining many at once after one low forecast.
func TestReleasesOneAtATimeAboveFloor(t *testing.T) {
	orders := DefaultFollowDemand().Decide(input(12, 0, Demand{Strict: 1}))
	if len(orders) != 1 || orders[0].Kind != Drain {
		t.Fatalf("got %+v", orders)
	}
	if orders := DefaultFollowDemand().Decide(input(4, 0, Demand{})); len(orders) != 0 {
		t.Fatalf("the last endpoints of the domains are drained: %+v", orders)
	}
}

// TestProvisionSpreadsAndAvoidsRefusedPlaces guards against orders for a kind
// that the platform has just refused, and against an uneven spread over the
// domains.
func TestProvisionSpreadsAndAvoidsRefusedPlaces(t *testing.T) {
	in := input(8, 0, Demand{Strict: 6, Tolerant: 3})
	in.Unavailable = map[Place]bool{{Domain: "d1", Kind: "spot"}: true}
	got := map[Place]int{}
	for _, o := range DefaultFollowDemand().Decide(in) {
		got[o.Place]++
	}
	if len(got) < 3 || got[Place{"d1", "spot"}] > 0 {
		t.Fatalf("got %v", got)
	}
}

// TestForecastRisesFastAndFallsSlowly guards against a forecast that drops as
// fast as it rises.
func TestForecastRisesFastAndFallsSlowly(t *testing.T) {
	f := NewForecast(time.Minute)
	at := start
	observe := func(strict float64, seconds int) {
		for range seconds {
			at = at.Add(time.Second)
			f.Observe(Demand{Strict: strict}, at)
		}
	}
	observe(4, 60)
	observe(8, 30)
	if got := f.Demand().Strict; got < 7 {
		t.Errorf("30 s after a rise to 8: %v", got)
	}
	observe(8, 300)
	observe(2, 30)
	if got := f.Demand().Strict; got < 6 {
		t.Errorf("30 s after a fall: %v", got)
	}
}
