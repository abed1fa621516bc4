package dispatch

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/pace"
)

// These are the windows, in requests of all hosts, from which on a limit makes no
// difference: engines run many streams at once, services a few requests.
const (
	usualEngine  = 32
	usualService = 12
)

// pacer applies pace.Limiter to the endpoints of a Dispatcher. It is safe for
// concurrent use.
type pacer struct {
	limiter *pace.Limiter

	mu sync.Mutex
	// The fields below are guarded by mu. instances holds the known endpoints by ID;
	// nil before the first are known. inFlight counts this host's requests.
	instances map[string]string
	inFlight  map[string]int
}

func newPacer(host string) *pacer {
	return &pacer{limiter: pace.NewUnshared(host), inFlight: map[string]int{}}
}

// update limits the endpoints that have joined or restarted since the last call. Those
// of the first call with endpoints have joined earlier.
func (p *pacer) update(statuses []endpoint.Status, hosts int, now time.Time) {
	p.limiter.SetHosts(hosts)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instances == nil && len(statuses) == 0 {
		return
	}
	next := make(map[string]string, len(statuses))
	for _, st := range statuses {
		next[st.ID] = st.Instance
		old, known := p.instances[st.ID]
		switch {
		case p.instances == nil || known && old == st.Instance:
		case known:
			// The requests at the earlier instance have ended with it.
			delete(p.inFlight, st.ID)
			p.limit(st.Endpoint, pace.Restarted, now)
		default:
			p.limit(st.Endpoint, pace.Joined, now)
		}
	}
	for id := range p.instances {
		if _, ok := next[id]; !ok {
			p.limiter.Forget(id, now)
		}
	}
	p.instances = next
}

func (p *pacer) limit(e endpoint.Endpoint, reason pace.Reason, now time.Time) {
	usual := usualService
	if e.IsEngine() {
		usual = usualEngine
	}
	p.limiter.Limit(pace.Endpoint{Service: e.Service, ID: e.ID, Usual: usual}, reason, now)
}

// full implements routing.View.Full.
func (p *pacer) full(n int, id func(i int) string, now time.Time) []bool {
	if !p.limiter.Any() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Full(n, func(i int) (string, int) { return id(i), p.inFlight[id(i)] }, now)
}

// begin counts a request to endpoints.
func (p *pacer) begin(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		p.inFlight[id]++
	}
}

// answered records the first token of a request.
func (p *pacer) answered(ids []string, sentAt time.Time, expected time.Duration, now time.Time) {
	for _, id := range ids {
		p.limiter.Answered(id, sentAt, expected, now)
	}
}

// end records the end of a request with err.
func (p *pacer) end(a *assignment, err error, now time.Time) {
	p.mu.Lock()
	for _, id := range a.endpoints() {
		if p.inFlight[id]--; p.inFlight[id] <= 0 {
			delete(p.inFlight, id)
		}
	}
	p.mu.Unlock()
	var refused *engineclient.RefusedError
	switch {
	case errors.As(err, &refused):
		p.limiter.Refused(a.answered(err).ID, now)
	case err == nil && a.request.Service != "":
		p.limiter.AnsweredTypical(a.request.Service, a.endpoint.ID, a.sentAt, now)
	}
}

// Limits returns the endpoints that are limited now.
func (d *Dispatcher) Limits() []pace.Status { return d.pacer.limiter.Limited() }

// reportLimits passes on the limits that began and ended since the last call.
func (d *Dispatcher) reportLimits() {
	for _, t := range d.pacer.limiter.TakeTransitions() {
		if d.onLimit != nil {
			d.onLimit(t)
		}
	}
}
