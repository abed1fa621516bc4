package pathwatch

import (
	"math/rand/v2"
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
	// Address is the address at which it accepts tunnels, as IP:port.
	Address string
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

// Order returns the hosts to ask, at most limit, the first one first. Hosts that could not
// help lately are left out. Hosts of other failure domains come before those of the own
// one, which are likely to be cut off as well.
func (h *Helpers) Order(hosts []Helper, ownDomain string, limit int, random *rand.Rand, now time.Time) []Helper {
	h.mu.Lock()
	available := slices.DeleteFunc(slices.Clone(hosts), func(o Helper) bool { return now.Before(h.unavailableUntil[o.Host]) })
	h.mu.Unlock()
	slices.SortFunc(available, func(a, b Helper) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	random.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	slices.SortStableFunc(available, func(a, b Helper) int {
		switch own := a.Domain == ownDomain; {
		case own == (b.Domain == ownDomain):
			return 0
		case own:
			return 1
		}
		return -1
	})
	return available[:min(limit, len(available))]
}
