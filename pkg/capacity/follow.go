package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// FollowDemand provisions endpoints for the forecast demand and releases those
// that stay unused.
type FollowDemand struct {
	// TargetUtilization, from 0 to 1, is the planned load of an endpoint. The
	// rest covers bursts and uneven load.
	TargetUtilization float64
	// Surplus is the number of endpoints above the plan that are kept, so that
	// small variations of the demand cause no orders.
	Surplus int
	// MinAge is the least time that an endpoint is live before it is drained.
	MinAge time.Duration
	// DurableShare, from 0 to 1, is the share of the strict work that must fit
	// on durable endpoints, which cannot be reclaimed. This work continues if
	// the other endpoints of several domains are reclaimed one after the other.
	DurableShare float64
	// MinDurablePerDomain is the least number of durable endpoints in each
	// domain. They serve the domain when it is cut off.
	MinDurablePerDomain int
}

// DefaultFollowDemand returns the default policy.
func DefaultFollowDemand() FollowDemand {
	return FollowDemand{TargetUtilization: 0.8, Surplus: 2, MinAge: 5 * time.Minute, DurableShare: 0.5, MinDurablePerDomain: 1}
}

// Plan is the wanted number of endpoints of each kind.
type Plan struct{ Durable, Reclaimable int }

// Plan computes the wanted numbers for a demand over a number of failure
// domains. durable and reclaimable are the hourly costs of an endpoint;
// reclaimable is 0 if there is no such kind. If the reclaimable endpoints of
// one domain are reclaimed, the others can run the strict work and half of the
// tolerant work, whose rest can wait. A budget that is too small for the plan
// reduces the reclaimable endpoints first.
func (p FollowDemand) Plan(demand Demand, domains int, durable, reclaimable float64, budget float64) Plan {
	strict, all := demand.Strict/p.TargetUtilization, (demand.Strict+demand.Tolerant)/p.TargetUtilization
	if reclaimable <= 0 {
		return Plan{Durable: affordable(max(int(math.Ceil(all)), domains*p.MinDurablePerDomain), durable, budget)}
	}
	plan := Plan{Durable: max(int(math.Ceil(strict*p.DurableShare)), domains*p.MinDurablePerDomain)}
	plan.Durable = affordable(plan.Durable, durable, budget)
	need := strict + (all-strict)/2
	fits := func(n int) bool {
		total := float64(plan.Durable + n)
		return total >= all && total-float64(ceilDiv(n, domains)) >= need
	}
	limit := affordable(math.MaxInt32, reclaimable, budget-float64(plan.Durable)*durable)
	for plan.Reclaimable < limit && !fits(plan.Reclaimable) {
		plan.Reclaimable++
	}
	return plan
}

// affordable returns n, or the largest number that the budget pays for if that
// is less.
func affordable(n int, cost, budget float64) int {
	if cost <= 0 {
		return n
	}
	return max(0, min(n, int(budget/cost+1e-9)))
}

func ceilDiv(a, b int) int { return (a + b - 1) / max(b, 1) }

// Decide implements Policy.
func (p FollowDemand) Decide(in Input) []Order {
	durable, reclaimable := cheapestKind(in.Kinds, false), cheapestKind(in.Kinds, true)
	plan := p.Plan(in.Forecast, len(in.Domains), durable.HourlyCost, reclaimable.HourlyCost, in.Budget.MaxHourlyCost)
	remaining := in.Budget.MaxHourlyCost - currentCost(in)
	orders := p.releaseDrained(in)
	orders = append(orders, p.adjustCount(in, durable, plan.Durable, &remaining)...)
	if reclaimable.Name != "" {
		orders = append(orders, p.adjustCount(in, reclaimable, plan.Reclaimable, &remaining)...)
	}
	return slices.DeleteFunc(orders, func(o Order) bool { return in.Domain != "" && o.Place.Domain != in.Domain })
}

// currentCost returns the hourly cost of all endpoints, including those that
// are starting or leaving.
func currentCost(in Input) float64 {
	cost := map[string]float64{}
	for _, k := range in.Kinds {
		cost[k.Name] = k.HourlyCost
	}
	total := 0.0
	for _, e := range in.Endpoints {
		total += cost[e.Kind]
	}
	return total
}

// cheapestKind returns the cheapest reclaimable or durable kind. Its name is
// empty if there is none.
func cheapestKind(kinds []declaration.EndpointKind, reclaimable bool) declaration.EndpointKind {
	var best declaration.EndpointKind
	for _, k := range kinds {
		if k.Reclaimable == reclaimable && (best.Name == "" || k.HourlyCost < best.HourlyCost) {
			best = k
		}
	}
	return best
}

// adjustCount orders the difference between the wanted and the present number
// of a kind. It provisions in the domains with the fewest endpoints and drains
// where there are the most. It subtracts new cost from remaining, the part of
// the budget not yet spent.
func (p FollowDemand) adjustCount(in Input, kind declaration.EndpointKind, wanted int, remaining *float64) []Order {
	perDomain := map[string]int{}
	present := 0
	for _, e := range in.Endpoints {
		if e.Reclaimable == kind.Reclaimable && e.State != endpoint.StateLeaving {
			perDomain[e.Domain]++
			present++
		}
	}
	var orders []Order
	for ; present < wanted && kind.HourlyCost <= *remaining+1e-9; present++ {
		place, ok := placeWithFewest(in, kind.Name, perDomain)
		if !ok {
			break
		}
		*remaining -= kind.HourlyCost
		perDomain[place.Domain]++
		orders = append(orders, Order{Kind: Provision, Place: place})
	}
	if present > wanted+p.Surplus {
		orders = append(orders, p.pickDrain(in, kind, perDomain)...)
	}
	return orders
}

// placeWithFewest returns the available domain with the fewest endpoints of the
// kind. It returns false if the kind is unavailable in all domains.
func placeWithFewest(in Input, kind string, perDomain map[string]int) (Place, bool) {
	best, found := Place{}, false
	for _, d := range in.Domains {
		place := Place{Domain: d, Kind: kind}
		if in.Unavailable[place] {
			continue
		}
		if !found || perDomain[d] < perDomain[best.Domain] {
			best, found = place, true
		}
	}
	return best, found
}

// pickDrain selects an endpoint of the domain with the most of them. Only one
// endpoint drains at a time, so that a wrong forecast shows before the next one
// does.
func (p FollowDemand) pickDrain(in Input, kind declaration.EndpointKind, perDomain map[string]int) []Order {
	var candidates []Endpoint
	for _, e := range in.Endpoints {
		if e.State == endpoint.StateLeaving && e.Reclaimable == kind.Reclaimable {
			return nil
		}
		if e.State != endpoint.StateLive || e.Reclaimable != kind.Reclaimable || in.Now.Sub(e.Since) < p.MinAge {
			continue
		}
		if kind.Reclaimable || perDomain[e.Domain] > p.MinDurablePerDomain {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	e := slices.MinFunc(candidates, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(perDomain[b.Domain], perDomain[a.Domain]), cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
	})
	return []Order{{Kind: Drain, Endpoint: e.ID, Place: Place{Domain: e.Domain, Kind: e.Kind}}}
}

func (p FollowDemand) releaseDrained(in Input) []Order {
	var orders []Order
	for _, e := range in.Endpoints {
		if e.State == endpoint.StateLeaving && e.Load == 0 {
			orders = append(orders, Order{Kind: Release, Endpoint: e.ID, Place: Place{Domain: e.Domain, Kind: e.Kind}})
		}
	}
	return orders
}
