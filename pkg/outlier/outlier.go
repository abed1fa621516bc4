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
package outlier

import (
	"sync"
	"time"
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

// Severities. A Silent endpoint did not answer or could not be reached; an
// Erratic one answered with a failure or broke its answer off.
const (
	Erratic Severity = iota
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
	mu      sync.Mutex
	records map[string]*record // guarded by mu
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker { return &Tracker{records: map[string]*record{}} }

// Succeeded notes a whole answer.
func (t *Tracker) Succeeded(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
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

// Failed notes a failure and reports whether the endpoint was ejected by it.
func (t *Tracker) Failed(id string, severity Severity, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
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
// and reports whether it is ejected here by it. spread, from 0 to 1, lengthens the
// ejection by up to heardMargin more, so that the hosts do not try the endpoint again
// at the same time.
func (t *Tracker) Heard(id string, endpoints []string, spread float64, now time.Time) bool {
	if !t.Believable(endpoints, now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	if now.Before(r.until) || now.Sub(r.succeededAt) < provenFor {
		return false
	}
	r.eject(now, heardMargin+time.Duration(spread*float64(heardMargin)))
	return true
}

// Believable reports whether so few of a service's endpoints are ejected here that
// the endpoints are more likely at fault than this host's links.
func (t *Tracker) Believable(endpoints []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ejected := 0
	for _, id := range endpoints {
		if r := t.records[id]; r != nil && now.Before(r.until) {
			ejected++
		}
	}
	return float64(ejected) <= max(1, believedShare*float64(len(endpoints)))
}

// Suspect reports whether the endpoint is ejected.
func (t *Tracker) Suspect(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	return r != nil && now.Before(r.until)
}

// Forget drops what is known of an endpoint that is gone or has restarted.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, id)
}
