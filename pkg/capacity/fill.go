package capacity

import (
	"slices"
	"strings"
	"time"
)

// FillReclaimable keeps a number of durable endpoints in each domain and fills the
// rest of the domain's limit with reclaimable ones if these are cheap enough.
// Otherwise it keeps as many durable endpoints as there were.
//
// It suits bursts that double the work within a second, while an ordered
// endpoint takes seconds to start, and domains whose reclaimable endpoints are
// reclaimed all at once. While a loaded domain lacks them, because they are leaving,
// refused or starting, it has more durable ones. A fleet whose load stays low gives
// some of them back, and fills up again before the load reaches its limit.
type FillReclaimable struct {
	// Durable is the number of durable endpoints in each domain that is filled.
	Durable int
	// MaxPriceRatio is the highest price of a reclaimable endpoint, relative to
	// a durable one, at which domains are filled.
	MaxPriceRatio float64
	// FillShare is the share of a domain's limit that is filled.
	FillShare float64
	// FallbackShare is the share of a domain's limit that is kept under load, with
	// durable endpoints, while fewer than half of the reclaimable ones are live.
	FallbackShare float64
	// A service that has been loaded for ObserveTime and whose peak load, as a share
	// of its endpoints, is below LowLoad is reduced to MinFillShare of the limit. From
	// GrowLoad on it is filled again.
	ObserveTime                     time.Duration
	LowLoad, GrowLoad, MinFillShare float64
	// RetryAfter is the time after which a refused count is ordered again. A
	// count that was not reached is ordered again after BootTime + RetryAfter.
	RetryAfter time.Duration
}

// DefaultFillReclaimable returns the default policy. At a fifth of the price,
// doubling the endpoints costs less than what is lost if one second in ten is
// slow.
func DefaultFillReclaimable() FillReclaimable {
	return FillReclaimable{Durable: 1, MaxPriceRatio: 0.4, FillShare: 1, FallbackShare: 0.5,
		ObserveTime: 8 * time.Second, LowLoad: 0.1, GrowLoad: 0.3, MinFillShare: 0.5, RetryAfter: 3 * time.Second}
}

// Pool describes the endpoints of a service in one failure domain.
type Pool struct {
	Domain string
	// Durable and Reclaimable count the endpoints that are not leaving.
	Durable, Reclaimable int
	// Baseline is the largest number of durable endpoints that was seen in the
	// domain.
	Baseline int
	// Min and Max bound the number of endpoints of both kinds together.
	Min, Max int
	// Loaded is set while there is work for the endpoints, LoadedFor is for how long.
	Loaded    bool
	LoadedFor time.Duration
	// PeakLoad is the recent peak of the share of the service's endpoints that are
	// busy.
	PeakLoad float64
	// Price is the price of a reclaimable endpoint relative to a durable one.
	// It is zero if there are no reclaimable endpoints.
	Price float64
	// BootTime is the time that an ordered endpoint takes to start.
	BootTime time.Duration
	// LastOrders holds the last order of each kind, indexed by KindDurable and
	// KindReclaimable.
	LastOrders [2]LastOrder
}

// These are the indices of Pool.LastOrders.
const (
	KindDurable = iota
	KindReclaimable
)

// LastOrder is the last order of a kind.
type LastOrder struct {
	// Sent is false if no order was sent.
	Sent  bool
	Count int
	At    time.Time
	// Refused is set if the platform had no endpoint of the kind available.
	Refused bool
}

// TargetCount orders the total number of endpoints of a kind in a domain.
type TargetCount struct {
	Domain      string
	Reclaimable bool
	Count       int
}

// Decide returns the counts to order now, sorted by domain.
func (p FillReclaimable) Decide(pools []Pool, now time.Time) []TargetCount {
	var out []TargetCount
	for _, pool := range pools {
		durable, reclaimable := pool.Baseline, 0
		if pool.Price > 0 && pool.Price <= p.MaxPriceRatio {
			durable = p.Durable
			reclaimable = max(0, p.fill(pool)-durable)
			if pool.Loaded && pool.Reclaimable < reclaimable/2 {
				durable = max(durable, int(p.FallbackShare*float64(pool.Max))-pool.Reclaimable)
			}
		}
		durable = max(pool.Min, min(durable, pool.Max))
		if p.due(pool, KindDurable, durable, pool.Durable, now) {
			out = append(out, TargetCount{Domain: pool.Domain, Count: durable})
		}
		if reclaimable > 0 && p.due(pool, KindReclaimable, reclaimable, pool.Reclaimable, now) {
			out = append(out, TargetCount{Domain: pool.Domain, Reclaimable: true, Count: reclaimable})
		}
	}
	slices.SortFunc(out, func(a, b TargetCount) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}

// fill returns the wanted number of endpoints of both kinds in a domain that is
// filled.
func (p FillReclaimable) fill(pool Pool) int {
	full := int(p.FillShare * float64(pool.Max))
	last := pool.LastOrders[KindReclaimable]
	// A reduced domain stays so until GrowLoad, although the reduction itself raises
	// the load above LowLoad.
	if last.Sent && last.Count+p.Durable < full && pool.Loaded && pool.PeakLoad < p.GrowLoad {
		return last.Count + p.Durable
	}
	if !pool.Loaded || pool.LoadedFor < p.ObserveTime || pool.PeakLoad >= p.LowLoad {
		return full
	}
	return min(full, int(p.MinFillShare*float64(pool.Max)))
}

// due reports whether the wanted count must be ordered now: it differs from the
// present one and was not the last order, or that order was refused or had no
// effect in time.
func (p FillReclaimable) due(pool Pool, kind, want, present int, now time.Time) bool {
	last := pool.LastOrders[kind]
	if present == want {
		return false
	}
	switch {
	case !last.Sent || last.Count != want:
		return true
	case last.Refused:
		return now.Sub(last.At) >= p.RetryAfter
	}
	return now.Sub(last.At) >= pool.BootTime+p.RetryAfter
}
