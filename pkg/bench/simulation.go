package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementineshed/clementineshed/pkg/admission"
	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fairness"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/routing"
)

// Periods, delays and limits of the simulation.
const (
	timeStep           = 10 * time.Millisecond
	pollPeriod         = 50 * time.Millisecond
	reportPeriod       = 500 * time.Millisecond
	gossipPeriod       = time.Second
	gossipDelay        = 500 * time.Millisecond
	noticeDelay        = 200 * time.Millisecond
	reclaimNotice      = 5 * time.Second
	roleChangeTime     = 6 * time.Second
	engineStartTime    = 90 * time.Second
	resetDelay         = 50 * time.Millisecond
	silenceTimeout     = 3 * time.Second
	clientRetryDelay   = time.Second
	balancerDelay      = 2 * time.Second
	orderServiceTime   = 30 * time.Millisecond
	settleTime         = 45 * time.Second
	maxReportAge       = 3 * time.Second
	connectTimeout     = time.Second
	maxClientResends   = 3
	streamsAtStepLimit = 216 // streams at which a decode step takes decodeStepLimit
	decodeStepLimit    = 44 * time.Millisecond
)

// epoch is the wall-clock time at which traces begin.
var epoch = time.Unix(1_700_000_000, 0)

// job is one request of the trace and what became of it.
type job struct {
	arrival
	id       int
	priority int
	req      *admission.Request
	// entryHost is the host that handles the request.
	entryHost *host
	produced  int
	attempts  int
	resends   int
	// firstAt and doneAt are when the caller has received the first token and
	// the whole answer; zero if it never does.
	firstAt, doneAt time.Duration
	refused         refusal
	lost            bool
	closed          bool
	// ranReclaimable reports whether it ran on a reclaimable endpoint,
	// interrupted whether a reclaim interrupted it.
	ranReclaimable, interrupted bool
	orderRuns                   int
}

type refusal int

const (
	notRefused refusal = iota
	refusedCorrectly
	refusedWrongly
)

// host is an entry host. It runs the decision code on its own, possibly stale,
// view of the endpoints.
type host struct {
	id, domain string
	up         bool
	// inBalancer reports whether the load balancer sends requests to it.
	inBalancer  bool
	incarnation int
	controller  *admission.Controller
	config      admission.Config
	reports     map[string]report
	trends      *routing.Trends
}

type report struct {
	load    endpoint.Load
	takenAt time.Duration
}

// simulation is the state of one run.
type simulation struct {
	dep     Deployment
	trace   Trace
	policy  Policy
	classes map[string]declaration.Class
	rng     *rand.Rand

	now      time.Duration
	events   eventHeap
	eventSeq int

	jobs             []*job
	engines          []*fakeEngine
	orders           []endpoint.Endpoint
	hosts            []*host
	partitioned      string
	platformDown     bool
	crashPending     bool
	unavailableUntil map[capacity.Place]time.Duration
	enginesCreated   int

	meter    *roles.Meter
	forecast *capacity.Forecast
	offered  roles.Work
	strict   float64
	tolerant float64

	retries         map[string]*retry.Budgets
	result          *Result
	prefilledChunks map[uint64]bool
}

func at(t time.Duration) time.Time { return epoch.Add(t) }

// after schedules do. Events of the same time run in the order of scheduling.
func (s *simulation) after(delay time.Duration, do func()) {
	s.eventSeq++
	heap.Push(&s.events, event{at: s.now + delay, no: s.eventSeq, do: do})
}

type event struct {
	at time.Duration
	no int
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].no < h[b].no
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Run simulates one policy on one trace. Equal arguments give equal results; it
// may run concurrently if the policies share no state.
func Run(d Deployment, t Trace, p Policy, seed uint64) Result {
	w := newSimulation(d, t, p, seed)
	next := 0
	for w.now = 0; w.now < t.Length+settleTime; w.now += timeStep {
		for len(w.events) > 0 && w.events[0].at <= w.now {
			heap.Pop(&w.events).(event).do()
		}
		for ; next < len(w.jobs) && w.jobs[next].at <= w.now; next++ {
			w.arrive(w.jobs[next])
		}
		for _, e := range w.engines {
			e.advance(w.now, w)
		}
		w.periodic()
	}
	return w.finish()
}

func (s *simulation) periodic() {
	if s.now%pollPeriod == 0 {
		for _, h := range s.hosts {
			if h.up && h.controller.Held() > 0 {
				s.applyOutcomes(h, h.controller.Poll(at(s.now)))
			}
		}
	}
	if s.now%reportPeriod == 0 {
		s.report()
	}
	if s.now%gossipPeriod == 0 {
		s.gossip()
		s.control()
		s.addSpend()
	}
}

func newSimulation(d Deployment, t Trace, p Policy, seed uint64) *simulation {
	w := &simulation{dep: d, trace: t, policy: p, classes: classes(), rng: rand.New(rand.NewPCG(seed, 7)),
		unavailableUntil: map[capacity.Place]time.Duration{}, meter: roles.NewMeter(0),
		forecast: capacity.NewForecast(engineStartTime), prefilledChunks: map[uint64]bool{}, retries: map[string]*retry.Budgets{}}
	for i, a := range arrivals(d, t, seed) {
		j := &job{arrival: a, id: i}
		if a.class == classStrict {
			j.priority = 1
		}
		w.jobs = append(w.jobs, j)
	}
	for i := range d.Engines {
		kind := kindStandard
		if i >= d.Engines-d.Reclaimable {
			kind = kindReclaimable
		}
		e := w.addEngine(capacity.Place{Domain: d.Domains[i%len(d.Domains)], Kind: kind}, 0)
		if p.SplitRoles {
			e.role = []endpoint.Role{endpoint.RolePrefill, endpoint.RoleDecode}[(i/len(d.Domains)+i)%2]
		}
	}
	for i := range d.OrderEndpoints {
		w.orders = append(w.orders, endpoint.Endpoint{ID: fmt.Sprintf("order-%d", i), Instance: "1",
			Domain: d.Domains[i%len(d.Domains)], Kind: kindStandard, Service: "order-desk", State: endpoint.StateLive})
	}
	for i := range d.Hosts {
		h := &host{id: fmt.Sprintf("host-%d", i), domain: d.Domains[i%len(d.Domains)], up: true, inBalancer: true}
		w.hosts = append(w.hosts, h)
		w.startHost(h, seed)
	}
	w.result = newResult(d, t, p, seed)
	for _, f := range t.Faults {
		w.after(f.At, func() { w.inject(f) })
	}
	return w
}

func (s *simulation) addEngine(place capacity.Place, startsIn time.Duration) *fakeEngine {
	e := &fakeEngine{role: endpoint.RoleMixed, model: s.dep.Model, speed: 0.97 + 0.06*s.rng.Float64(),
		readyAt: s.now + startsIn, since: s.now, at: s.now, cost: 1}
	s.enginesCreated++
	e.Endpoint = endpoint.Endpoint{ID: fmt.Sprintf("engine-%02d", s.enginesCreated), Instance: "1", Domain: place.Domain,
		Kind: place.Kind, Reclaimable: place.Kind == kindReclaimable, State: endpoint.StateStarting}
	if e.Reclaimable {
		e.cost = reclaimableCost
	}
	newCache(e)
	s.engines = append(s.engines, e)
	if startsIn == 0 {
		s.makeLive(e)
	} else {
		s.after(startsIn, func() {
			if e.State == endpoint.StateStarting {
				s.makeLive(e)
			}
		})
	}
	return e
}

func (s *simulation) makeLive(e *fakeEngine) {
	e.up, e.State, e.since, e.at = true, endpoint.StateLive, s.now, s.now
}

// startHost gives the host the empty state of a new process.
func (s *simulation) startHost(h *host, seed uint64) {
	h.incarnation++
	h.reports, h.trends = map[string]report{}, routing.NewTrends()
	var number uint64
	_, _ = fmt.Sscanf(h.id, "host-%d", &number)
	h.config = newConfig(s.policy, rand.New(rand.NewPCG(seed, 100+number+1000*uint64(h.incarnation))), at(s.now))
	s.retries[h.id] = retry.NewBudgets()
	h.controller = admission.NewController(h.config, at(s.now))
}

// reachable reports whether the network connects the two domains.
func (s *simulation) reachable(a, b string) bool {
	return s.partitioned == "" || (a == s.partitioned) == (b == s.partitioned)
}

// report collects the load reports and cache events of all engines and delivers
// them to the hosts after a delay.
func (s *simulation) report() {
	loads := map[string]endpoint.Load{}
	taken := s.now
	for _, e := range s.engines {
		if e.up {
			loads[e.ID] = e.load()
		}
	}
	if s.now%gossipPeriod == 0 {
		s.cacheEvents()
	}
	s.after(s.trace.Lag, func() {
		for _, h := range s.hosts {
			if !h.up {
				continue
			}
			for _, e := range s.engines {
				load, ok := loads[e.ID]
				if ok && s.reachable(h.domain, e.Domain) {
					h.reports[e.ID] = report{load: load, takenAt: taken}
					h.config.Sends.Acknowledge(e.ID, at(taken))
					h.trends.Observe(e.ID, load, at(taken))
				}
			}
			s.refresh(h)
		}
	})
}

func (s *simulation) cacheEvents() {
	for _, e := range s.engines {
		answer := e.publish(s.rng)
		s.after(time.Second, func() {
			for _, h := range s.hosts {
				if h.up && s.reachable(h.domain, e.Domain) {
					h.config.Index.ApplyEvents(e.ID, answer, at(s.now))
				}
			}
		})
	}
}

// refresh builds a new snapshot from the reports that the host has received.
func (s *simulation) refresh(h *host) {
	statuses := make([]endpoint.Status, 0, len(s.engines)+len(s.orders))
	for _, e := range s.engines {
		r, ok := h.reports[e.ID]
		if !ok || s.now-r.takenAt > maxReportAge+s.trace.Lag {
			continue
		}
		statuses = append(statuses, endpoint.Status{Endpoint: e.Endpoint, Load: r.load, HasLoad: true, LoadAge: s.now - r.takenAt})
	}
	for _, o := range s.orders {
		if s.reachable(h.domain, o.Domain) {
			statuses = append(statuses, endpoint.Status{Endpoint: o})
		}
	}
	hosts := 0
	for _, other := range s.hosts {
		if other.up && s.reachable(h.domain, other.domain) {
			hosts++
		}
	}
	snap := routing.NewSnapshot(routing.View{Domain: h.domain, Hosts: hosts, Endpoints: statuses,
		Sends: h.config.Sends, Trends: h.trends, Delays: routing.UniformDelay(s.dep.Delay)})
	h.controller.SetSnapshot(snap)
}

// gossip sends each host's counts of served tokens to the other hosts.
func (s *simulation) gossip() {
	for _, from := range s.hosts {
		if !from.up {
			continue
		}
		counts := from.config.Ledger.AppendLocal(nil, from.id, fmt.Sprint(from.incarnation))
		s.after(gossipDelay, func() {
			for _, to := range s.hosts {
				if to != from && to.up && s.reachable(from.domain, to.domain) {
					to.config.Ledger.Merge(counts, at(s.now))
				}
			}
		})
	}
	if s.now%fairness.DefaultWindow == 0 {
		for _, h := range s.hosts {
			h.config.Ledger.Sweep(at(s.now))
		}
	}
}
