package retry

import (
	"sync"
	"time"
)

// SharedBudget bounds the retries of all hosts to each service. Each host takes
// its part of the allowance without asking the others: the part that its own
// requests earn, and an equal part of the fixed allowance. A host that has started
// within the last window has less, because an earlier process in its place may have used
// its part. It is safe for concurrent use.
type SharedBudget struct {
	limits SharedLimits
	// hosts returns the number of hosts that may send, including those that this
	// host cannot reach: hosts that are partitioned from each other must not take
	// each other's part.
	hosts func() int
	// startedAt is when this host started; zero if all hosts start for the first time.
	startedAt time.Time

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

// startShare takes the place of allowanceShare in the first window of a host. An earlier
// process in its place may have used allowanceShare right before it was killed; together
// they stay below the allowance, also if the host is killed again and again.
const startShare = 0.2

// window holds the times of the events in the last SharedLimits.Window, oldest
// first.
type window struct{ requests, retries []time.Time }

// NewSharedBudget returns a budget. hosts returns the number of hosts that share
// it, or zero if that is not known yet; it is called with the budget's lock held.
// startedAt is when this host started; zero if all hosts start for the first time, when
// no earlier process can have used a part.
func NewSharedBudget(limits SharedLimits, hosts func() int, startedAt time.Time) *SharedBudget {
	return &SharedBudget{limits: limits, hosts: hosts, startedAt: startedAt, services: map[string]*window{}}
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
	if !s.allows(w, now) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// Allows reports whether the budget allows a retry, without recording it.
func (s *SharedBudget) Allows(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allows(s.service(service, now), now)
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
func (s *SharedBudget) allows(w *window, now time.Time) bool {
	fixed := 0.0
	if hosts := s.hosts(); hosts > 0 {
		fixed = float64(s.limits.Fixed) / float64(hosts)
	}
	share := allowanceShare
	if age := now.Sub(s.startedAt); !s.startedAt.IsZero() && age < s.limits.Window {
		share = startShare
		fixed *= max(0, age.Seconds()/s.limits.Window.Seconds())
	}
	return float64(len(w.retries)+1) <= share*(s.limits.Ratio*float64(len(w.requests))+fixed)
}
