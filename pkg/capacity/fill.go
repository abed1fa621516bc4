package capacity

import (
	"slices"
	"strings"
	"time"
)

// FillCheap keeps a number of durable endpoints in each domain and fills the
// rest of what may be ordered there with reclaimable ones, as long as these are
// cheap; otherwise it keeps as many durable ones as there were. The load pattern:
// bursts that double the work within a second, while an ordered endpoint takes
// seconds to start, and domains whose reclaimable endpoints are withdrawn all at
// once.
type FillCheap struct {
	// Durable is the number of durable endpoints kept in each domain.
	Durable int
	// Cheap is the greatest price of a reclaimable endpoint, relative to a durable
	// one, at which domains are filled.
	Cheap float64
	// Spare is the share of a domain's limit that is filled.
	Spare float64
	// Retry is the time after which a count that was refused or not reached is
	// ordered again.
	Retry time.Duration
}

// DefaultFillCheap returns the strategy in use. At a fifth of the price, doubling
// the endpoints costs less than what one slow second in ten loses.
func DefaultFillCheap() FillCheap {
	return FillCheap{Durable: 1, Cheap: 0.4, Spare: 1, Retry: 3 * time.Second}
}

// Pool is the endpoints of a service in one domain.
type Pool struct {
	Domain string
	// Durable and Reclaimable count the endpoints that are not leaving.
	Durable, Reclaimable int
	// Baseline is the most durable endpoints that were seen there.
	Baseline int
	// Min and Max bound both kinds together.
	Min, Max int
	// Price is that of a reclaimable endpoint relative to a durable one; zero if
	// there are no reclaimable ones.
	Price float64
	// BootTime is how long an ordered endpoint takes to start.
	BootTime time.Duration
	// Last holds the last orders of the domain.
	Last [2]Placed
}

// Indices into Pool.Last.
const (
	KindDurable = iota
	KindReclaimable
)

// Placed is an order that was sent.
type Placed struct {
	// Sent is false if there was none.
	Sent  bool
	Count int
	At    time.Time
	// Refused says that the platform had none to give.
	Refused bool
}

// Count is an order for a number of endpoints.
type Count struct {
	Domain      string
	Reclaimable bool
	Count       int
}

// Decide returns the counts to order now.
func (p FillCheap) Decide(pools []Pool, now time.Time) []Count {
	var out []Count
	for _, pool := range pools {
		durable, reclaimable := pool.Baseline, 0
		if pool.Price > 0 && pool.Price <= p.Cheap {
			durable = p.Durable
			reclaimable = max(0, int(p.Spare*float64(pool.Max))-durable)
		}
		durable = max(pool.Min, min(durable, pool.Max))
		if p.due(pool, KindDurable, durable, pool.Durable, now) {
			out = append(out, Count{Domain: pool.Domain, Count: durable})
		}
		if reclaimable > 0 && p.due(pool, KindReclaimable, reclaimable, pool.Reclaimable, now) {
			out = append(out, Count{Domain: pool.Domain, Reclaimable: true, Count: reclaimable})
		}
	}
	slices.SortFunc(out, func(a, b Count) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}

// due reports whether a count is ordered now: it was not, or the domain does not
// have it although the endpoints had the time to start.
func (p FillCheap) due(pool Pool, kind, want, present int, now time.Time) bool {
	last := pool.Last[kind]
	if present == want {
		return false
	}
	switch {
	case !last.Sent || last.Count != want:
		return true
	case last.Refused:
		return now.Sub(last.At) >= p.Retry
	}
	return now.Sub(last.At) >= pool.BootTime+p.Retry
}
