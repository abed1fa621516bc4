package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

// farRequests is how many more own requests a near endpoint may have in flight
// than one in another failure domain before that one is preferred.
const farRequests = 1.5

// Balancer chooses endpoints of plain services: the one with the fewest own
// requests in flight, near ones first. It is safe for concurrent use.
type Balancer struct {
	domain string

	mu       sync.Mutex
	inFlight map[string]int // guarded by mu
	turn     int            // guarded by mu
}

// NewBalancer returns a balancer for a host in the failure domain.
func NewBalancer(domain string) *Balancer {
	return &Balancer{domain: domain, inFlight: map[string]int{}}
}

// Pick chooses among the members and counts the request until Done. Suspects and
// members that warm up are chosen only if there is nobody else. It returns false
// if no member may take the request.
func (b *Balancer) Pick(members []fleet.Member, exclude []string, health Health, now time.Time) (fleet.Member, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	best, bestCost := -1, 0.0
	for i := range members {
		m := members[(i+b.turn)%len(members)]
		if m.State != endpoint.StateLive || slices.Contains(exclude, m.ID) {
			continue
		}
		cost := float64(b.inFlight[m.ID])
		if m.Domain != b.domain {
			cost += farRequests
		}
		if health.Suspect(m, now) {
			cost += 1000
		}
		if m.Warming > 0 {
			cost += 2
		}
		if best < 0 || cost < bestCost {
			best, bestCost = (i+b.turn)%len(members), cost
		}
	}
	if best < 0 {
		return fleet.Member{}, false
	}
	b.inFlight[members[best].ID]++
	return members[best], true
}

// Done ends the count of a request.
func (b *Balancer) Done(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight[id]--; b.inFlight[id] <= 0 {
		delete(b.inFlight, id)
	}
}
