package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/roles"
)

// decisionsPerSecond is the rate at which a lease holder decides on roles and on
// endpoints.
const decisionsPerSecond = 0.5

func decisionSlopes() []slope {
	return []slope{newSlope(sweep{"decisions", "runners over which the holder of a failure domain's leases decides every 2 s", TodayRunners, TargetRunners},
		[]int{16, 160, 1600, 10000}, []int{16, 80, 160}, measureDecisions)}
}

// measureDecisions sets a demand close to the capacity of the fleet, so that the
// policies run their whole search but order little.
func measureDecisions(_ context.Context, runners int) ([]figure, error) {
	now := time.Now()
	kinds := []declaration.EndpointKind{{Name: "steady", HourlyCost: 4}, {Name: "cheap", Reclaimable: true, HourlyCost: 1}}
	engines, endpoints := make([]roles.Engine, runners), make([]capacity.Endpoint, runners)
	for i, e := range fleet(runners) {
		kind := kinds[i/TargetDomains%2]
		engines[i] = roles.Engine{ID: e.ID, Domain: e.Domain, Role: endpoint.RoleMixed, Usable: true, ChangedAt: now.Add(-time.Hour), DecodeStreams: i % 16}
		endpoints[i] = capacity.Endpoint{
			ID: e.ID, Domain: e.Domain, Kind: kind.Name, Reclaimable: kind.Reclaimable,
			State: endpoint.StateLive, Since: now.Add(-time.Hour), Load: i % 16,
		}
	}
	var domains []string
	for i := range TargetDomains {
		domains = append(domains, fmt.Sprintf("domain-%02d", i))
	}
	n := float64(runners)
	rolesInput := roles.Input{Now: now, Engines: engines, Work: roles.Work{Prefill: n * 0.27, Decode: n * 0.6}, Domain: domains[0]}
	capacityInput := capacity.Input{
		Now: now, Domains: domains, Endpoints: endpoints, Kinds: kinds, Domain: domains[0],
		Budget:   declaration.Budget{Currency: "EUR", MaxHourlyCost: 3 * n},
		Forecast: capacity.Demand{Strict: n * 0.4, Tolerant: n * 0.2},
	}
	calls := max(1, 2000/runners)
	rolesTime := secondsPerCall(calls, func(int) { roles.DefaultMixedRolePolicy().Decide(rolesInput) })
	capacityTime := secondsPerCall(calls, func(int) { capacity.DefaultFollowDemand().Decide(capacityInput) })
	return []figure{
		{measure: "processor time of decisions on roles", unit: "cores", value: rolesTime * decisionsPerSecond, budget: BudgetCoreShare, timed: true},
		{measure: "processor time of decisions on endpoints", unit: "cores", value: capacityTime * decisionsPerSecond, budget: BudgetCoreShare, timed: true},
	}, nil
}
