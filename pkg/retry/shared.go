package retry

import (
	"sync"
	"time"
)

// Shared bounds the repeated sends of all hosts to one service. Each host takes
// its part of the allowance without asking the others: the part that its own
// requests earn, and an even part of the fixed allowance. It is safe for
// concurrent use.
type Shared struct {
	limits SharedLimits
	// hosts counts those that may send, also the ones that this host does not
	// hear: hosts that are cut off from each other must not take each other's part.
	hosts func() int

	mu       sync.Mutex
	services map[string]*window // guarded by mu
}

// SharedLimits are the operators' bounds.
type SharedLimits struct {
	// Ratio is the repeated sends allowed per request, Fixed the number allowed
	// besides, both in any span of Window.
	Ratio  float64
	Fixed  int
	Window time.Duration
}

// sharedUse is the part of the allowance that is used: a window of the host and
// one of the judge do not begin together, and hosts come and go.
const sharedUse = 0.75

// window counts events in the last span.
type window struct{ requests, repeats []time.Time }

// NewShared returns a budget; hosts returns the number of hosts that share it.
func NewShared(limits SharedLimits, hosts func() int) *Shared {
	return &Shared{limits: limits, hosts: hosts, services: map[string]*window{}}
}

// service must be called with mu held.
func (s *Shared) service(name string, now time.Time) *window {
	w := s.services[name]
	if w == nil {
		w = &window{}
		s.services[name] = w
	}
	since := now.Add(-s.limits.Window)
	w.requests = dropBefore(w.requests, since)
	w.repeats = dropBefore(w.repeats, since)
	return w
}

func dropBefore(times []time.Time, since time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(since) {
		n++
	}
	return times[n:]
}

// Earn notes a request of a caller.
func (s *Shared) Earn(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.service(service, now)
	w.requests = append(w.requests, now)
}

// Spend takes one repeated send and reports whether the budget allows it.
func (s *Shared) Spend(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.service(service, now)
	if !s.allows(w) {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

// Allows reports whether the budget allows a repeated send, without taking it.
func (s *Shared) Allows(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allows(s.service(service, now))
}

// Count notes a send that counts as repeated although nobody asked for it, such
// as a first one that was rejected.
func (s *Shared) Count(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.service(service, now)
	w.repeats = append(w.repeats, now)
}

// allows must be called with mu held.
func (s *Shared) allows(w *window) bool {
	allowance := s.limits.Ratio*float64(len(w.requests)) + float64(s.limits.Fixed)/float64(max(s.hosts(), 1))
	return float64(len(w.repeats)+1) <= sharedUse*allowance
}
