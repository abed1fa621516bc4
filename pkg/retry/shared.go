package retry

import (
	"sync"
	"time"
)

// SharedBudget bounds the retries of all hosts to each service. Each host takes
// its part of the allowance without asking the others: the part that its own
// requests earn, and an equal part of the fixed allowance. It is safe for
// concurrent use.
type SharedBudget struct {
	limits SharedLimits
	// hosts returns the number of hosts that may send, including those that this
	// host cannot reach: hosts that are partitioned from each other must not take
	// each other's part.
	hosts func() int

	mu       sync.Mutex
	services map[string]*window // guarded by mu
}

// SharedLimits are the operators' limits on retries.
type SharedLimits struct {
	// Ratio is the number of retries allowed per request, Fixed the number allowed
	// in addition. Both hold for any span of length Window.
	Ratio  float64
	Fixed  int
	Window time.Duration
}

// allowanceShare is the part of the allowance that the hosts use. The rest covers
// that hosts join and leave, and that the windows of a host begin at other times
// than those in which the limit is checked.
const allowanceShare = 0.75

// window holds the times of the events in the last SharedLimits.Window, oldest
// first.
type window struct{ requests, retries []time.Time }

// NewSharedBudget returns a budget. hosts returns the number of hosts that share
// it and is called with the budget's lock held.
func NewSharedBudget(limits SharedLimits, hosts func() int) *SharedBudget {
	return &SharedBudget{limits: limits, hosts: hosts, services: map[string]*window{}}
}

// service returns the window of a service without the events that are too old. It
// must be called with mu held.
func (s *SharedBudget) service(name string, now time.Time) *window {
	w := s.services[name]
	if w == nil {
		w = &window{}
		s.services[name] = w
	}
	since := now.Add(-s.limits.Window)
	w.requests = dropBefore(w.requests, since)
	w.retries = dropBefore(w.retries, since)
	return w
}

func dropBefore(times []time.Time, since time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(since) {
		n++
	}
	return times[n:]
}

// RecordRequest records a caller's request, which adds to the allowance.
func (s *SharedBudget) RecordRequest(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.service(service, now)
	w.requests = append(w.requests, now)
}

// Spend reports whether the budget allows a retry, and records it if so.
func (s *SharedBudget) Spend(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.service(service, now)
	if !s.allows(w) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// Allows reports whether the budget allows a retry, without recording it.
func (s *SharedBudget) Allows(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allows(s.service(service, now))
}

// RecordRetry records a send that counts as a retry whether or not the budget
// allows it, such as a first send that was rejected.
func (s *SharedBudget) RecordRetry(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.service(service, now)
	w.retries = append(w.retries, now)
}

// allows must be called with mu held.
func (s *SharedBudget) allows(w *window) bool {
	allowance := s.limits.Ratio*float64(len(w.requests)) + float64(s.limits.Fixed)/float64(max(s.hosts(), 1))
	return float64(len(w.retries)+1) <= allowanceShare*allowance
}
