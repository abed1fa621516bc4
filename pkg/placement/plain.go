package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/pace"
)

const (
	// These are the costs of an endpoint in another failure domain, of one whose
	// window is full and of an ejected one, in requests in flight. The second is
	// above the requests that an endpoint runs at once, so that such an endpoint
	// gets requests that would otherwise wait.
	crossDomainCost = 1.5
	fullWindowCost  = 8
	ejectedCost     = 1000
)

// Balancer chooses endpoints of plain services, which have no engines. It
// prefers the endpoint with the fewest requests of this host in flight, with a
// preference for the host's failure domain. It is safe for concurrent use.
type Balancer struct {
	domain string
	// limiter says which endpoints get no more requests; nil if none is limited.
	limiter *pace.Limiter

	mu       sync.Mutex
	inFlight map[string]int // guarded by mu
	rotation int            // guarded by mu
}

// NewBalancer returns a balancer for a host in the given failure domain.
func NewBalancer(domain string) *Balancer {
	return &Balancer{domain: domain, inFlight: map[string]int{}}
}

// SetLimiter sets the limiter. It must be called before the first Pick.
func (b *Balancer) SetLimiter(l *pace.Limiter) { b.limiter = l }

// Pick chooses one of the members and counts the request as in flight until
// Done. Ejected members are chosen only if there is no other, paused ones never. It
// returns false if no member can take the request.
func (b *Balancer) Pick(members []fleet.Member, exclude []string, health Health, now time.Time) (fleet.Member, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotation++
	full := b.fullWindows(members, exclude, health, now)
	best, bestCost := -1, 0.0
	for i := range members {
		m := members[(i+b.rotation)%len(members)]
		if m.State != endpoint.StateLive || slices.Contains(exclude, m.ID) || now.Before(health.PausedUntil(m)) {
			continue
		}
		cost := float64(b.inFlight[m.ID])
		if m.Domain != b.domain {
			cost += crossDomainCost
		}
		if health.Ejected(m, now) {
			cost += ejectedCost
		}
		if full[m.ID] {
			cost += fullWindowCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = (i+b.rotation)%len(members), cost
		}
	}
	if best < 0 {
		return fleet.Member{}, false
	}
	b.inFlight[members[best].ID]++
	return members[best], true
}

// fullWindows returns the IDs of the endpoints that can take the request and are to get
// no more. It must be called with mu held.
func (b *Balancer) fullWindows(members []fleet.Member, exclude []string, health Health, now time.Time) map[string]bool {
	if !b.limiter.Any() {
		return nil
	}
	var ids []string
	for _, m := range members {
		if m.State == endpoint.StateLive && !slices.Contains(exclude, m.ID) && !health.Ejected(m, now) && !now.Before(health.PausedUntil(m)) {
			ids = append(ids, m.ID)
		}
	}
	out := map[string]bool{}
	for i, full := range b.limiter.Full(len(ids), func(i int) (string, int) { return ids[i], b.inFlight[ids[i]] }, now) {
		if full {
			out[ids[i]] = true
		}
	}
	return out
}

// AnyHealthy reports whether any of the members outside exclude can take a request
// and is not ejected.
func AnyHealthy(members []fleet.Member, exclude []string, health Health, now time.Time) bool {
	return slices.ContainsFunc(members, func(m fleet.Member) bool {
		return m.State == endpoint.StateLive && !slices.Contains(exclude, m.ID) && !health.Ejected(m, now) && !now.Before(health.PausedUntil(m))
	})
}

// Done records that a request to the endpoint has ended. It must be called once
// for each successful Pick.
func (b *Balancer) Done(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight[id]--; b.inFlight[id] <= 0 {
		delete(b.inFlight, id)
	}
}
