package pace

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// startWindow is the window of an endpoint that has just started or recovered: with 2,
	// engines that were as fast as before cost 65 hosts 0.022 of the requests on time.
	// minWindow is the least one, which still shows when the endpoint recovers.
	startWindow = 4.0
	minWindow   = 1.0
	// lateFactor and lateSlack say how much longer than expected a late answer takes.
	// Endpoints of one service differ by a factor of 1.6 from the mean.
	lateFactor = 2.0
	lateSlack  = 30 * time.Millisecond
	// lateDecrease and refusalDecrease are the factors of the window after a late
	// answer and a refusal. Both apply once per round trip: the other requests in
	// flight were sent with the same window.
	lateDecrease    = 0.7
	refusalDecrease = 0.5
	// minShrinkInterval separates two decreases for reports of other hosts, which do
	// not say when their requests were sent.
	minShrinkInterval = 100 * time.Millisecond
	// expiry is the time without a late answer or a refusal, from when the endpoint
	// can first be chosen, after which a limit ends without answers: the endpoint
	// gets so little work that a limit makes no difference, or reports were lost.
	expiry = 15 * time.Second
	// settleTime is how long after the end of a limit reports of hosts that still
	// apply it are ignored.
	settleTime = 5 * time.Second
	// turnTime is the length of a turn of a host whose share is below one.
	turnTime = 250 * time.Millisecond
	// minOpenShare is the least share of unlimited endpoints among those that can take
	// a request for limits to apply. Fewer cannot carry the load of all.
	minOpenShare = 0.5
	// typicalGain is the weight of one answer in the typical time of a service.
	typicalGain = 0.05
	// maxTransitions bounds the queue of Transitions.
	maxTransitions = 1024
)

// Reason says why an endpoint is limited.
type Reason uint8

// The values are used in reports between hosts.
const (
	Joined    Reason = 1
	Restarted Reason = 2
	Ejected   Reason = 3
	Paused    Reason = 4
)

// String returns the reason for log lines and metrics.
func (r Reason) String() string {
	switch r {
	case Joined:
		return "joined"
	case Restarted:
		return "restarted"
	case Ejected:
		return "ejected"
	case Paused:
		return "paused"
	}
	return "unknown"
}

// Causes of the end of a limit.
const (
	causeAnswers = "answers"
	causeReport  = "report"
	causeTime    = "time"
	causeGone    = "gone"
)

// Endpoint identifies an endpoint. Usual is the window from which on a limit makes no
// difference.
type Endpoint struct {
	Service, ID string
	Usual       int
}

// Counts are numbers of answers of a limited endpoint: in time, late, and refusals.
type Counts struct{ Good, Late, Refused int }

// Report is what a host has learned about a limited endpoint since its last report.
type Report struct {
	Service, ID string
	Reason      Reason
	Counts      Counts
	// Window is the sender's window, zero if it no longer limits the endpoint.
	Window float64
}

// Transition is the begin or the end of a limit.
type Transition struct {
	Service, ID string
	Reason      Reason
	Limited     bool
	// Cause says why a limit ended, empty at its begin.
	Cause string
	// Counts are those of this host and the reports since the limit began.
	Counts Counts
	Since  time.Time
}

// Status describes a limited endpoint.
type Status struct {
	Service, ID string
	Reason      Reason
	Window      float64
	Counts      Counts
	Since       time.Time
}

// limit is the state of a limited endpoint.
type limit struct {
	Status
	usual float64
	// offeredAt is when the endpoint could first be chosen, shrunkAt when the window
	// last shrank; both may be zero.
	offeredAt, shrunkAt time.Time
	// unreported are the answers to this host since its last report, changed says
	// that a report is due.
	unreported Counts
	changed    bool
}

// ended is the last limit of an endpoint that is not limited.
type ended struct {
	service  string
	reason   Reason
	at       time.Time
	reported bool
}

// Limiter decides which endpoints get no more requests. It is safe for concurrent use.
type Limiter struct {
	host string
	// Passed counts choices that left out an endpoint with a full window although it
	// was expected to be faster. Beyond counts choices of one in spite of its window,
	// because the request would otherwise have been late.
	Passed, Beyond atomic.Int64

	mu sync.Mutex
	// The fields below are guarded by mu.
	hosts int
	// unshared says that hosts do not exchange reports.
	unshared    bool
	limits      map[string]*limit
	ended       map[string]ended
	typical     map[string]time.Duration
	transitions []Transition
}

// NewLimiter returns a limiter without limits for the host of the given name.
func NewLimiter(host string) *Limiter {
	return &Limiter{host: host, hosts: 1, limits: map[string]*limit{}, ended: map[string]ended{}, typical: map[string]time.Duration{}}
}

// NewUnshared returns a limiter for hosts that do not exchange reports. Each assumes that
// the other hosts get answers as it does.
func NewUnshared(host string) *Limiter {
	l := NewLimiter(host)
	l.unshared = true
	return l
}

// SetHosts sets the number of live hosts, including this one.
func (l *Limiter) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(n, 1)
}

// Limit begins a limit, or begins it anew.
func (l *Limiter) Limit(e Endpoint, reason Reason, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The other hosts learn of joins, restarts and ejections in other ways.
	l.begin(e, reason, startWindow, now).changed = reason == Paused
}

// begin must be called with mu held.
func (l *Limiter) begin(e Endpoint, reason Reason, window float64, now time.Time) *limit {
	if old := l.limits[e.ID]; old != nil {
		window = min(window, old.Window)
	} else {
		l.record(Transition{Service: e.Service, ID: e.ID, Reason: reason, Limited: true, Since: now})
	}
	s := &limit{Status: Status{Service: e.Service, ID: e.ID, Reason: reason, Window: window, Since: now}, usual: float64(e.Usual)}
	l.limits[e.ID] = s
	delete(l.ended, e.ID)
	return s
}

// end must be called with mu held.
func (l *Limiter) end(s *limit, cause string, now time.Time) {
	delete(l.limits, s.ID)
	l.ended[s.ID] = ended{service: s.Service, reason: s.Reason, at: now, reported: cause != causeAnswers}
	l.record(Transition{Service: s.Service, ID: s.ID, Reason: s.Reason, Cause: cause, Counts: s.Counts, Since: s.Since})
}

func (l *Limiter) record(t Transition) {
	if len(l.transitions) < maxTransitions {
		l.transitions = append(l.transitions, t)
	}
}

// Forget ends the limit of an endpoint that is gone.
func (l *Limiter) Forget(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.limits[id]; s != nil {
		l.end(s, causeGone, now)
	}
	delete(l.ended, id)
}

// Answered records an answer to a request of this host, which was sent at sentAt.
// expected is the time that it was expected to take.
func (l *Limiter) Answered(id string, sentAt time.Time, expected time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered(id, sentAt, expected, now)
}

func (l *Limiter) answered(id string, sentAt time.Time, expected time.Duration, now time.Time) {
	s := l.limits[id]
	if s == nil || sentAt.Before(s.Since) {
		return
	}
	if now.Sub(sentAt) > time.Duration(lateFactor*float64(expected))+lateSlack {
		l.observe(s, Counts{Late: 1}, sentAt, now)
		return
	}
	l.observe(s, Counts{Good: 1}, sentAt, now)
}

// AnsweredTypical records an answer of a service whose requests have no expected time
// of their own. It is compared with the service's typical time, which is learned from
// the endpoints without a limit.
func (l *Limiter) AnsweredTypical(service, id string, sentAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	typical := l.typical[service]
	took := now.Sub(sentAt)
	if l.limits[id] != nil {
		expected := typical
		if expected == 0 {
			expected = took
		}
		l.answered(id, sentAt, expected, now)
		return
	}
	if typical == 0 {
		l.typical[service] = took
		return
	}
	l.typical[service] += time.Duration(typicalGain * float64(took-typical))
}

// TimedOut records a request of this host that was not answered in time.
func (l *Limiter) TimedOut(id string, now time.Time) { l.failed(id, Counts{Late: 1}, now) }

// Refused records that the endpoint did not run a request of this host.
func (l *Limiter) Refused(id string, now time.Time) { l.failed(id, Counts{Refused: 1}, now) }

func (l *Limiter) failed(id string, c Counts, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.limits[id]; s != nil {
		l.observe(s, c, now.Add(-minShrinkInterval), now)
	}
}

// observe applies one answer to this host.
func (l *Limiter) observe(s *limit, c Counts, sentAt, now time.Time) {
	s.unreported = s.unreported.plus(c)
	s.changed = true
	if l.unshared {
		c.Good *= l.hosts
	}
	l.apply(s, c, !sentAt.Before(s.shrunkAt), causeAnswers, now)
}

// apply adds answers to the window. mayShrink is false if an earlier decrease covers
// them.
func (l *Limiter) apply(s *limit, c Counts, mayShrink bool, cause string, now time.Time) {
	s.Counts = s.Counts.plus(c)
	if c.Late+c.Refused > 0 {
		if mayShrink {
			factor := lateDecrease
			if c.Refused > 0 {
				factor = refusalDecrease
			}
			s.Window = max(minWindow, s.Window*factor)
		}
		s.shrunkAt = now
	}
	s.Window += float64(c.Good)
	if s.Window >= s.usual {
		l.end(s, cause, now)
	}
}

func (c Counts) plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Late: c.Late + o.Late, Refused: c.Refused + o.Refused}
}

// Any reports whether any endpoint is limited. A nil Limiter limits none.
func (l *Limiter) Any() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits) > 0
}

// Full returns which of n endpoints that can take a request are to get no more, nil if
// none. candidate returns the ID of an endpoint and the number of requests of this
// host in flight there. Limits do not apply if too few of the endpoints are without.
func (l *Limiter) Full(n int, candidate func(i int) (id string, inFlight int), now time.Time) []bool {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limits) == 0 {
		return nil
	}
	var full []bool
	limited := 0
	for i := range n {
		id, inFlight := candidate(i)
		s := l.limits[id]
		if s == nil {
			continue
		}
		if s.offeredAt.IsZero() {
			s.offeredAt = now
		}
		if now.Sub(s.offeredAt) > expiry && now.Sub(s.shrunkAt) > expiry {
			l.end(s, causeTime, now)
			continue
		}
		limited++
		if full == nil {
			full = make([]bool, n)
		}
		full[i] = inFlight >= l.share(s, now)
	}
	if float64(n-limited) < minOpenShare*float64(n) {
		return nil
	}
	return full
}

// share returns the number of requests that this host may have in flight at the
// endpoint. Its fraction is granted to the host in a random part of the turns.
func (l *Limiter) share(s *limit, now time.Time) int {
	whole, fraction := math.Modf(s.Window / float64(l.hosts))
	var turn [8]byte
	binary.BigEndian.PutUint64(turn[:], uint64(now.UnixNano()/int64(turnTime)))
	hash := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = hash.Write(turn[:])
	_, _ = hash.WriteString(l.host)
	_, _ = hash.WriteString("/")
	_, _ = hash.WriteString(s.ID)
	if float64(hash.Sum64())/math.MaxUint64 < fraction {
		whole++
	}
	return int(whole)
}

// TakeReports returns what this host has learned since the last call, for the other
// hosts.
func (l *Limiter) TakeReports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Report
	for _, s := range l.limits {
		if s.changed {
			out = append(out, Report{Service: s.Service, ID: s.ID, Reason: s.Reason, Counts: s.unreported, Window: s.Window})
			s.unreported, s.changed = Counts{}, false
		}
	}
	for id, e := range l.ended {
		if !e.reported {
			out = append(out, Report{Service: e.service, ID: id, Reason: e.reason})
			e.reported = true
			l.ended[id] = e
		}
	}
	return out
}

// ApplyReport applies the report of another host. It begins a limit that this host has
// missed, but not one for an ejection: hosts decide by themselves whether to believe
// an ejection.
func (l *Limiter) ApplyReport(e Endpoint, r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limits[e.ID]
	switch {
	case s != nil && r.Window == 0:
		l.end(s, causeReport, now)
	case s != nil:
		l.apply(s, r.Counts, now.Sub(s.shrunkAt) >= minShrinkInterval, causeReport, now)
	case r.Window > 0 && r.Reason != Ejected:
		if last, ok := l.ended[e.ID]; ok && now.Sub(last.at) < settleTime {
			return
		}
		l.begin(e, r.Reason, max(r.Window, minWindow), now)
	}
}

// TakeTransitions returns the limits that began and ended since the last call.
func (l *Limiter) TakeTransitions() []Transition {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.transitions
	l.transitions = nil
	return out
}

// Limited returns the limited endpoints, sorted by ID.
func (l *Limiter) Limited() []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Status, 0, len(l.limits))
	for _, s := range l.limits {
		out = append(out, s.Status)
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
