package roles

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// MixedRolePolicy turns mixed engines into prefill engines and back as the ratio of
// prefill to decode work changes. All other engines stay mixed, so that a wrong
// forecast costs little.
type MixedRolePolicy struct {
	// SufficientCapacity is the ratio of capacity to work at and above which no
	// role changes.
	SufficientCapacity float64
	// MinGain is the least relative increase of capacity for which roles change.
	// It accounts for the cost of a change and provides hysteresis.
	MinGain float64
	// MinCapacityAfter is the least ratio of capacity to work after the change.
	// Below it a change would take engines out of service without ending the
	// overload.
	MinCapacityAfter float64
	// Cooldown is the least time between two changes of one engine.
	Cooldown time.Duration
	// MaxChangingShare bounds the share of engines that change at the same
	// time.
	MaxChangingShare float64
	// Interference is the decode work that a unit of prefill work displaces on a
	// mixed engine. PrefillUtilization, from 0 to 1, is the usable part of a
	// prefill engine; above it the queue gets long.
	Interference, PrefillUtilization float64
}

// DefaultMixedRolePolicy returns the default policy. A change empties the engine's
// prefix cache; at a MinGain of 0.08 this costs the benchmark more than the new
// roles gain. Interference is L/(L-b) for a limit L of 44 ms between tokens and
// a step of b = 18 ms with an empty batch.
func DefaultMixedRolePolicy() MixedRolePolicy {
	return MixedRolePolicy{SufficientCapacity: 0.9, MinGain: 0.2, MinCapacityAfter: 1, Cooldown: 45 * time.Second, MaxChangingShare: 0.2, Interference: 1.7, PrefillUtilization: 0.8}
}

// Capacity returns the ratio of the fleet's capacity to the work, with the
// given numbers of prefill and mixed engines. It is 1 if the work just fits.
func (p MixedRolePolicy) Capacity(work Work, prefill, mixed int) float64 {
	total := work.Prefill*p.Interference + work.Decode
	if total <= 0 {
		return 1e9
	}
	ratio := (float64(prefill)*p.PrefillUtilization*p.Interference + float64(mixed)) / total
	if work.Decode <= 0 {
		return ratio
	}
	return min(ratio, float64(mixed)/work.Decode)
}

// BestPrefillEngines returns the smallest number of prefill engines, at most
// limit, that maximizes the capacity of n engines.
func (p MixedRolePolicy) BestPrefillEngines(work Work, n, limit int) int {
	best := 0
	for k := 1; k <= limit; k++ {
		if p.Capacity(work, k, n-k) > p.Capacity(work, best, n-best)*(1+1e-9) {
			best = k
		}
	}
	return best
}

// Decide implements Policy.
func (p MixedRolePolicy) Decide(in Input) []Change {
	fleet := countFleet(in.Engines)
	if fleet.usable == 0 {
		return nil
	}
	mixed := fleet.usable - fleet.prefill
	current := p.Capacity(in.Work, fleet.prefill, mixed)
	best := p.BestPrefillEngines(in.Work, fleet.usable, fleet.prefillLimit())
	if best == fleet.prefill || current >= p.SufficientCapacity {
		return nil
	}
	step := 1
	to := endpoint.RolePrefill
	if best < fleet.prefill {
		step, to = -1, endpoint.RoleMixed
	}
	after := p.Capacity(in.Work, best, fleet.usable-best)
	if after < current*(1+p.MinGain) || after < p.MinCapacityAfter {
		return nil
	}
	allowed := max(1, int(p.MaxChangingShare*float64(fleet.usable))) - fleet.changing
	return p.pickChanges(in, fleet, to, min(allowed, (best-fleet.prefill)*step))
}

// pickChanges selects up to n engines of the fleet in a fixed order and returns
// the changes that are in in.Domain.
func (p MixedRolePolicy) pickChanges(in Input, fleet *fleetCounts, to endpoint.Role, n int) []Change {
	var out []Change
	for _, e := range fleet.changeOrder(in.Engines) {
		if n <= 0 {
			break
		}
		if !e.Usable || e.Changing || (e.Role == endpoint.RolePrefill) == (to == endpoint.RolePrefill) {
			continue
		}
		if !e.ChangedAt.IsZero() && in.Now.Sub(e.ChangedAt) < p.Cooldown {
			continue
		}
		if to == endpoint.RolePrefill && fleet.mixedByDomain[e.Domain] <= minMixedPerDomain {
			continue
		}
		if to == endpoint.RolePrefill {
			fleet.mixedByDomain[e.Domain]--
			fleet.prefillByDomain[e.Domain]++
		} else {
			fleet.prefillByDomain[e.Domain]--
		}
		n--
		if in.Domain == "" || in.Domain == e.Domain {
			out = append(out, Change{Engine: e.ID, From: e.Role, To: to})
		}
	}
	return out
}

// minMixedPerDomain is the number of mixed engines that each domain keeps, so
// that it can serve both phases when it is cut off.
const minMixedPerDomain = 1

// fleetCounts holds the numbers of engines by role. An engine that is leaving
// the mixed role counts in usable but not in mixedByDomain, because it is out
// of service.
type fleetCounts struct {
	usable, prefill, changing      int
	mixedByDomain, prefillByDomain map[string]int
}

func countFleet(engines []Engine) *fleetCounts {
	c := &fleetCounts{mixedByDomain: map[string]int{}, prefillByDomain: map[string]int{}}
	for _, e := range engines {
		if e.Changing {
			c.changing++
		}
		if !e.Usable {
			continue
		}
		c.usable++
		if e.Role == endpoint.RolePrefill {
			c.prefill++
			c.prefillByDomain[e.Domain]++
		} else if !e.Changing {
			c.mixedByDomain[e.Domain]++
		}
	}
	return c
}

// prefillLimit returns the largest number of prefill engines that leaves each
// domain minMixedPerDomain mixed ones.
func (c *fleetCounts) prefillLimit() int {
	limit := c.prefill
	for _, mixed := range c.mixedByDomain {
		limit += max(0, mixed-minMixedPerDomain)
	}
	return limit
}

// changeOrder sorts the engines in the order in which they change: those in
// domains with few prefill engines first, to keep the domains even, then those
// with few streams.
func (c *fleetCounts) changeOrder(engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(c.prefillByDomain[a.Domain], c.prefillByDomain[b.Domain]),
			cmp.Compare(a.DecodeStreams, b.DecodeStreams),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return sorted
}
