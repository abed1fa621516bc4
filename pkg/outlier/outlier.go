// Package outlier ejects endpoints that fail requests, judged by the answers to
// this host's own requests and by nothing that an endpoint says of itself.
//
// State: per endpoint its recent failures and the end of its ejection. An
// ejected endpoint is a suspect: it gets work only if there is no other choice.
// When the ejection ends it is tried again; the next failure ejects it for
// twice as long, a success forgives it step by step. An endpoint that flaps is
// therefore left alone for longer each time.
//
// The load patterns: endpoints that go dark (one missing answer ejects), and
// endpoints that fail a part of their requests while they report to be healthy
// (a share of failures ejects).
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
	r := t.records[id]
	if r == nil {
		return
	}
	r.samples = r.samples*memory + 1
	r.failures *= memory
	if now.Sub(r.failedAt) > forgiveAfter {
		delete(t.records, id)
	}
}

// Failed notes a failure and reports whether the endpoint was ejected by it.
func (t *Tracker) Failed(id string, severity Severity, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		r = &record{}
		t.records[id] = r
	}
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
	r.until = now.Add(min(longestEjection, firstEjection<<min(r.ejections, 4)))
	r.ejections++
	return true
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
