// Package outlier ejects endpoints that fail requests. It judges an endpoint by
// the answers to this host's requests and by the ejections that other hosts
// report, never by what the endpoint reports of itself.
//
// State: for each endpoint its recent failures and the end of its ejection. An
// ejected endpoint gets work only if no other endpoint can take it. When the
// ejection ends the endpoint is tried again. The next failure ejects it for
// twice as long, up to a limit, because it may be flapping. Each success lowers
// its share of failures, and a period without failures resets its record.
//
// Load patterns: endpoints that become unreachable (one request that cannot be
// sent ejects), and endpoints that fail some of their requests while they
// report to be healthy (a share of failures ejects, unless the whole service fails as
// often). With many hosts, each
// would lose requests to the same unreachable endpoint, so an ejection by one
// host applies to all (ApplyPeerEjection). A host that is cut off ejects
// endpoints that the others reach. Reported ejections are therefore ignored once
// a share of the service's endpoints is ejected, and for an endpoint that has
// just answered this host. A refused connection is an answer of the endpoint's machine,
// whatever the link: reports of two hosts that the process is gone are applied as
// long as another endpoint remains.
//
// A host that is cut off from a failure domain would time out on each of its
// endpoints in turn. Several unreachable endpoints without an answer from the
// domain therefore eject the whole domain.
package outlier

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

const (
	// firstEjection and longestEjection bound the duration of an ejection. The
	// first is about the time in which a crashed endpoint's announcement
	// lapses.
	firstEjection   = 1500 * time.Millisecond
	longestEjection = 12 * time.Second
	// An endpoint is ejected if at least maxFailureShare of its recent answers
	// are failures. Fewer than minSamples answers count as minSamples.
	maxFailureShare = 0.34
	minSamples      = 4.0
	// sampleDecay is the factor by which each new answer reduces the weight of
	// the earlier ones.
	sampleDecay = 0.85
	// An endpoint whose answers are failures is ejected only if their share exceeds that
	// of the service's other endpoints by serviceDeviations standard deviations: some
	// services answer 14% of their requests with 500. Three gave 76
	// ejections in 26,000 requests of such a service, four 31, both with half the prior. serviceDecay is the factor by which
	// each answer reduces the weight of the earlier ones in that share. To begin
	// with the share is that of priorFailures in priorSamples.
	serviceDeviations = 4
	serviceDecay      = 0.99
	priorFailures     = 1.0
	priorSamples      = 8.0
	// resetAfter is the time without failure after which a success resets the
	// record of an endpoint.
	resetAfter = 20 * time.Second
	// maxPeerEjectedShare is the share of a service's endpoints that may be
	// ejected for reports of other hosts to be applied. It admits the loss of a
	// whole failure domain out of three or more.
	maxPeerEjectedShare = 0.34
	// ownAnswerMaxAge is how long an answer to this host outweighs an ejection
	// that another host reports.
	ownAnswerMaxAge = 500 * time.Millisecond
	// peerEjectionMargin extends an ejection that another host reports. That
	// host retries the endpoint first and reports if it still fails.
	peerEjectionMargin = 400 * time.Millisecond
	// minRefusingHosts is how many hosts, this one included, must have found within
	// refusedMaxAge that an endpoint refuses connections, for its ejection to be
	// applied whatever share of the service is ejected.
	minRefusingHosts = 2
	refusedMaxAge    = 1200 * time.Millisecond
	// refusedReportInterval is the least time between two reports that an ejected
	// endpoint refuses connections.
	refusedReportInterval = 500 * time.Millisecond
)

// FailureKind is the kind of a failure. Hosts of other versions receive the values.
type FailureKind int

const (
	// BadAnswer means that the endpoint answered with a failure or broke off its
	// answer.
	BadAnswer FailureKind = 0
	// TimedOut means that the endpoint was reached but did not answer in time.
	// It may only be slow.
	TimedOut FailureKind = 1
	// Unreachable means that the endpoint could not be reached.
	Unreachable FailureKind = 2
	// Refused means that the endpoint's machine refused or reset a new connection: the
	// process is gone.
	Refused FailureKind = 3
)

// String returns the name of the kind for logs and metrics.
func (k FailureKind) String() string {
	switch k {
	case TimedOut:
		return "timed_out"
	case Unreachable:
		return "unreachable"
	case Refused:
		return "refused"
	}
	return "bad_answer"
}

// record is what is known about one endpoint. samples and failures are counts
// of answers, decayed by sampleDecay. ejections is the number of ejections
// since the last reset.
type record struct {
	service           string
	samples, failures float64
	// all and allFailed are counts of all answers and of those that were failures,
	// decayed by serviceDecay. They outlive a reset.
	all, allFailed         float64
	ejections              int
	ejectedUntil, failedAt time.Time
	succeededAt            time.Time
	// refusedBy holds when each host last found that the endpoint refuses connections,
	// since the last answer to this host. This host has the empty name. reportedAt is
	// when this host last had to report that.
	refusedBy  map[string]time.Time
	reportedAt time.Time
}

// Tracker decides which endpoints are ejected. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	records map[string]*record
	domains map[string]*domain
}

// NewTracker returns a tracker without ejections.
func NewTracker() *Tracker {
	return &Tracker{records: map[string]*record{}, domains: map[string]*domain{}}
}

// Succeeded records a complete answer to this host. It ends an ejection of the
// failure domain, and one of the endpoint if this host has seen no failure of
// it for resetAfter.
func (t *Tracker) Succeeded(m fleet.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domain(m.Domain).recordAnswer(now)
	r := t.record(m.ID)
	r.succeededAt, r.refusedBy = now, nil
	r.samples = r.samples*sampleDecay + 1
	r.failures *= sampleDecay
	r.countAnswer(m.Service, 0)
	if now.Sub(r.failedAt) > resetAfter {
		*r = record{service: r.service, all: r.all, allFailed: r.allFailed, succeededAt: now}
	}
}

// countAnswer counts an answer; failed is 1 if it was a failure and 0 if not.
func (r *record) countAnswer(service string, failed float64) {
	r.service = service
	r.all = r.all*serviceDecay + 1
	r.allFailed = r.allFailed*serviceDecay + failed
}

// usualShare returns the share of failures up to which an endpoint with so many recent
// answers fails no more often than the others of its service. It must be called with mu
// held.
func (t *Tracker) usualShare(m fleet.Member, samples float64) float64 {
	all, failed := 0.0, 0.0
	for id, r := range t.records {
		if id != m.ID && r.service == m.Service {
			all, failed = all+r.all, failed+r.allFailed
		}
	}
	if all == 0 {
		return 0
	}
	share := (failed + priorFailures) / (all + priorSamples)
	return share + serviceDeviations*math.Sqrt(share*(1-share)/samples)
}

// record returns the record of an endpoint. It must be called with mu held.
func (t *Tracker) record(id string) *record {
	r := t.records[id]
	if r == nil {
		r = &record{}
		t.records[id] = r
	}
	return r
}

// domain returns the state of a failure domain. It must be called with mu held.
func (t *Tracker) domain(name string) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{unreachable: map[string]time.Time{}}
		t.domains[name] = d
	}
	return d
}

// Verdict is the effect of a failure.
type Verdict struct {
	// Ejected says that the endpoint was ejected by it, DomainEjected that the
	// endpoint's failure domain was.
	Ejected, DomainEjected bool
	// Reportable says that the other hosts are to be told of the failure, because it
	// ejected the endpoint or is further evidence that its process is gone.
	Reportable bool
	// Confirmed says that the endpoint was ejected although many of the service are,
	// because several hosts found that its process is gone.
	Confirmed bool
}

// Failed records a failure of a request of this host.
func (t *Tracker) Failed(m fleet.Member, kind FailureKind, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := Verdict{
		Ejected:       t.recordFailure(m, kind, now),
		DomainEjected: kind != BadAnswer && t.domain(m.Domain).recordUnreachable(m.ID, true, now),
	}
	r := t.record(m.ID)
	v.Reportable = v.Ejected
	if kind == Refused {
		r.recordRefused("", now)
		v.Reportable = v.Ejected || now.Sub(r.reportedAt) >= refusedReportInterval
	}
	if v.Reportable {
		r.reportedAt = now
	}
	return v
}

// recordRefused records that a host found that the endpoint refuses connections, and
// reports whether enough hosts have.
func (r *record) recordRefused(host string, now time.Time) bool {
	if r.refusedBy == nil {
		r.refusedBy = map[string]time.Time{}
	}
	r.refusedBy[host] = now
	for other, at := range r.refusedBy {
		if now.Sub(at) > refusedMaxAge {
			delete(r.refusedBy, other)
		}
	}
	return len(r.refusedBy) >= minRefusingHosts
}

// recordFailure adds a failure and reports whether it ejects the endpoint. It
// must be called with mu held.
func (t *Tracker) recordFailure(m fleet.Member, kind FailureKind, now time.Time) bool {
	r := t.record(m.ID)
	if kind == BadAnswer {
		r.countAnswer(m.Service, 1)
	}
	r.samples = r.samples*sampleDecay + 1
	r.failures = r.failures*sampleDecay + 1
	r.failedAt = now
	if now.Before(r.ejectedUntil) {
		return false
	}
	samples := max(r.samples, minSamples)
	share := r.failures / samples
	if kind != Unreachable && kind != Refused && share < maxFailureShare {
		return false
	}
	if kind == BadAnswer && share <= t.usualShare(m, samples) {
		return false
	}
	r.eject(now, 0)
	return true
}

// eject ejects the endpoint for a time that doubles with each ejection, up to
// longestEjection, plus the margin.
func (r *record) eject(now time.Time, margin time.Duration) {
	r.ejectedUntil = now.Add(min(longestEjection, firstEjection<<min(r.ejections, 4)) + margin)
	r.ejections++
}

// ApplyPeerEjection applies an ejection that another host reports, caused by a
// failure of the kind. endpoints are all endpoints of the service. jitter, from 0
// to 1, extends the ejection by that part of peerEjectionMargin, so that the
// hosts do not retry the endpoint at the same time.
func (t *Tracker) ApplyPeerEjection(m fleet.Member, kind FailureKind, endpoints []fleet.Member, jitter float64, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyPeerEjection(m, kind, endpoints, jitter, now)
}

// ApplyPeerRefusal applies the report of a host that the endpoint refuses connections,
// like an ejection that it reports. If several hosts found so, it is applied whatever
// share of the endpoints is ejected, as long as another one remains.
func (t *Tracker) ApplyPeerRefusal(m fleet.Member, host string, endpoints []fleet.Member, jitter float64, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(m.ID)
	confirmed := r.recordRefused(host, now)
	v := t.applyPeerEjection(m, Refused, endpoints, jitter, now)
	if v.Ejected || now.Before(r.ejectedUntil) || !confirmed || !t.otherRemains(m, endpoints, now) {
		return v
	}
	r.ejectByPeer(jitter, now)
	v.Ejected, v.Confirmed = true, true
	return v
}

// otherRemains reports whether another of a service's endpoints is live and not
// ejected. It must be called with mu held.
func (t *Tracker) otherRemains(m fleet.Member, endpoints []fleet.Member, now time.Time) bool {
	return slices.ContainsFunc(endpoints, func(o fleet.Member) bool {
		return o.ID != m.ID && o.State == endpoint.StateLive && !t.ejected(o, now)
	})
}

// applyPeerEjection is ApplyPeerEjection. It must be called with mu held.
func (t *Tracker) applyPeerEjection(m fleet.Member, kind FailureKind, endpoints []fleet.Member, jitter float64, now time.Time) Verdict {
	v := Verdict{DomainEjected: (kind == Unreachable || kind == Refused) && t.domain(m.Domain).recordUnreachable(m.ID, false, now)}
	r := t.record(m.ID)
	if now.Before(r.ejectedUntil) || now.Sub(r.succeededAt) < ownAnswerMaxAge || !t.acceptsPeerEjection(endpoints, now) {
		return v
	}
	r.ejectByPeer(jitter, now)
	v.Ejected = true
	return v
}

func (r *record) ejectByPeer(jitter float64, now time.Time) {
	r.eject(now, peerEjectionMargin+time.Duration(jitter*float64(peerEjectionMargin)))
}

// acceptsPeerEjection reports whether so few of a service's endpoints are
// ejected that the endpoints are more likely at fault than the reporting host's
// links. It must be called with mu held.
func (t *Tracker) acceptsPeerEjection(endpoints []fleet.Member, now time.Time) bool {
	ejected := 0
	for _, m := range endpoints {
		if r := t.records[m.ID]; r != nil && now.Before(r.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected) <= max(1, maxPeerEjectedShare*float64(len(endpoints)))
}

// Ejected reports whether the endpoint or its failure domain is ejected.
func (t *Tracker) Ejected(m fleet.Member, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ejected(m, now)
}

// ejected is Ejected. It must be called with mu held.
func (t *Tracker) ejected(m fleet.Member, now time.Time) bool {
	if r := t.records[m.ID]; r != nil && now.Before(r.ejectedUntil) {
		return true
	}
	d := t.domains[m.Domain]
	return d != nil && now.Before(d.ejectedUntil)
}

// Forget drops the record of an endpoint that is gone or has restarted. It does
// not affect the failure domain.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, id)
}
