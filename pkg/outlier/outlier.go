// Package outlier ejects endpoints that fail requests, judged by the answers to
// this host's own requests, by the ejections of other hosts, and by nothing that an
// endpoint says of itself.
//
// State: per endpoint its recent failures and the end of its ejection. An
// ejected endpoint is a suspect: it gets work only if there is no other choice.
// When the ejection ends it is tried again; the next failure ejects it for
// twice as long, a success forgives it step by step. An endpoint that flaps is
// therefore left alone for longer each time.
//
// The load patterns: endpoints that go dark (one missing answer ejects), and
// endpoints that fail a part of their requests while they report to be healthy
// (a share of failures ejects). With many hosts each would lose requests to the same
// dark endpoint, so an ejection by one of them counts for all (Heard). A host that is
// cut off ejects what the others reach: beyond a share of the endpoints nobody is
// believed, and neither is a word against an endpoint that has just answered.
//
// A host that is cut off from a failure domain would wait for each of its endpoints
// in turn. Several silent ones and no answer from the domain eject all of them.
package outlier

import (
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/fleet"
)

const (
	// firstEjection and longestEjection bound the time without work. The first
	// is about the time in which a crashed endpoint's announcement lapses.
	firstEjection   = 1500 * time.Millisecond
	longestEjection = 12 * time.Second
	// failureShare ejects an endpoint with at least minSamples recent answers.
	failureShare = 0.34
	minSamples   = 4.0
	// memory is the weight that an earlier answer keeps with each new one.
	memory = 0.85
	// forgiveAfter is the time without failure after which an endpoint starts
	// anew.
	forgiveAfter = 20 * time.Second
	// believedShare is the part of a service's endpoints up to which ejections are
	// shared: a whole failure domain, of three or more, may be lost.
	believedShare = 0.34
	// provenFor is how long an own answer outweighs the word of another host.
	provenFor = 500 * time.Millisecond
	// heardMargin is how much longer an ejection holds where it was heard of: the
	// host that ejected tries the endpoint first and tells if it still fails.
	heardMargin = 400 * time.Millisecond
)

// Severity says how much a failure tells about the endpoint.
type Severity int

// Severities. A Silent endpoint could not be reached; an Unanswering one was, and
// gave no answer in its time, which a slow one does as well; an Erratic one answered
// with a failure or broke its answer off.
const (
	Erratic Severity = iota
	Unanswering
	Silent
)

type record struct {
	samples, failures float64
	ejections         int
	until, failedAt   time.Time
	succeededAt       time.Time
}

// Tracker judges endpoints. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	records map[string]*record
	domains map[string]*domain
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker {
	return &Tracker{records: map[string]*record{}, domains: map[string]*domain{}}
}

// Succeeded notes a whole answer.
func (t *Tracker) Succeeded(m fleet.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domain(m.Domain).answered(now)
	r := t.record(m.ID)
	r.succeededAt = now
	r.samples = r.samples*memory + 1
	r.failures *= memory
	if now.Sub(r.failedAt) > forgiveAfter {
		*r = record{succeededAt: now}
	}
}

// record must be called with mu held.
func (t *Tracker) record(id string) *record {
	r := t.records[id]
	if r == nil {
		r = &record{}
		t.records[id] = r
	}
	return r
}

// domain must be called with mu held.
func (t *Tracker) domain(name string) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{silent: map[string]time.Time{}}
		t.domains[name] = d
	}
	return d
}

// Verdict is what a failure led to.
type Verdict struct {
	// Ejected says that the endpoint was ejected, DomainEjected that all endpoints
	// of its failure domain were.
	Ejected, DomainEjected bool
}

// Failed notes a failure of this host's own request.
func (t *Tracker) Failed(m fleet.Member, severity Severity, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Verdict{
		Ejected:       t.failed(m.ID, severity, now),
		DomainEjected: severity != Erratic && t.domain(m.Domain).fell(m.ID, true, now),
	}
}

// failed must be called with mu held.
func (t *Tracker) failed(id string, severity Severity, now time.Time) bool {
	r := t.record(id)
	r.samples = r.samples*memory + 1
	r.failures = r.failures*memory + 1
	r.failedAt = now
	if now.Before(r.until) {
		return false
	}
	share := r.failures / max(r.samples, minSamples)
	if severity != Silent && share < failureShare {
		return false
	}
	r.eject(now, 0)
	return true
}

func (r *record) eject(now time.Time, margin time.Duration) {
	r.until = now.Add(min(longestEjection, firstEjection<<min(r.ejections, 4)) + margin)
	r.ejections++
}

// Heard notes that another host has ejected the endpoint, one of those of a service,
// after a failure of the severity. spread, from 0 to 1, lengthens the ejection by up
// to heardMargin more, so that the hosts do not try the endpoint again at once.
func (t *Tracker) Heard(m fleet.Member, severity Severity, endpoints []fleet.Member, spread float64, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := Verdict{DomainEjected: severity == Silent && t.domain(m.Domain).fell(m.ID, false, now)}
	r := t.record(m.ID)
	if now.Before(r.until) || now.Sub(r.succeededAt) < provenFor || !t.believable(endpoints, now) {
		return v
	}
	r.eject(now, heardMargin+time.Duration(spread*float64(heardMargin)))
	v.Ejected = true
	return v
}

// believable reports whether so few of a service's endpoints are ejected here that
// they are more likely at fault than the links of a host. It must be called with mu
// held.
func (t *Tracker) believable(endpoints []fleet.Member, now time.Time) bool {
	ejected := 0
	for _, m := range endpoints {
		if r := t.records[m.ID]; r != nil && now.Before(r.until) {
			ejected++
		}
	}
	return float64(ejected) <= max(1, believedShare*float64(len(endpoints)))
}

// Suspect reports whether the endpoint or its failure domain is ejected.
func (t *Tracker) Suspect(m fleet.Member, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[m.ID]; r != nil && now.Before(r.until) {
		return true
	}
	d := t.domains[m.Domain]
	return d != nil && now.Before(d.until)
}

// Forget drops what is known of an endpoint that is gone or has restarted.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, id)
}
