package pathwatch

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// unavailableTime is how long a host that cannot help is not asked, busyTime one that
	// carries as many tunnels as it may.
	unavailableTime = time.Second
	busyTime        = 100 * time.Millisecond
)

// Helper is another entry host that may open connections for this one.
type Helper struct {
	Host, Domain string
	// Address is the address at which it accepts tunnels.
	Address netip.AddrPort
}

// Helpers orders the hosts that may help. It is safe for concurrent use.
type Helpers struct {
	mu sync.Mutex
	// unavailableUntil is guarded by mu. It holds the hosts that could not help.
	unavailableUntil map[string]time.Time
}

// NewHelpers returns an order without experience.
func NewHelpers() *Helpers { return &Helpers{unavailableUntil: map[string]time.Time{}} }

// Unavailable records that a host could not help.
func (h *Helpers) Unavailable(host string, now time.Time) { h.skip(host, unavailableTime, now) }

// Busy records that a host has no room for another tunnel.
func (h *Helpers) Busy(host string, now time.Time) { h.skip(host, busyTime, now) }

func (h *Helpers) skip(host string, d time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for other, until := range h.unavailableUntil {
		if !now.Before(until) {
			delete(h.unavailableUntil, other)
		}
	}
	h.unavailableUntil[host] = now.Add(d)
}

// Order returns the hosts to ask, at most limit, the first one first. Hosts of other failure
// domains come before those of the own one, which are likely to be cut off as well. Hosts
// that could not help lately are left out; if there is no other, one of them is asked, which
// may only have been slow.
func (h *Helpers) Order(hosts []Helper, ownDomain string, limit int, random *rand.Rand, now time.Time) []Helper {
	available := h.available(hosts, now)
	if len(available) == 0 {
		available, limit = slices.Clone(hosts), min(limit, 1)
	}
	random.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	order := make([]Helper, 0, limit)
	for _, own := range []bool{false, true} {
		for _, o := range available {
			if len(order) < limit && (o.Domain == ownDomain) == own {
				order = append(order, o)
			}
		}
	}
	return order
}

// available returns the hosts that have not lately been found unable to help.
func (h *Helpers) available(hosts []Helper, now time.Time) []Helper {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(hosts), func(o Helper) bool { return now.Before(h.unavailableUntil[o.Host]) })
}
