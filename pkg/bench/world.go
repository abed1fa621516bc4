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

// Periods and delays of the simulated world.
const (
	tick            = 10 * time.Millisecond
	pollPeriod      = 50 * time.Millisecond
	reportPeriod    = 500 * time.Millisecond
	gossipPeriod    = time.Second
	gossipDelay     = 500 * time.Millisecond
	noticeDelay     = 200 * time.Millisecond
	reclaimNotice   = 5 * time.Second
	roleChangeTime  = 6 * time.Second
	startTime       = 90 * time.Second
	resetDelay      = 50 * time.Millisecond
	silentDelay     = 3 * time.Second
	clientRetry     = time.Second
	balancerDelay   = 2 * time.Second
	orderTime       = 30 * time.Millisecond
	settleTime      = 45 * time.Second
	reportsTooOld   = 3 * time.Second
	connectTimeout  = time.Second
	clientResends   = 3
	outputAtLimit   = 216 // streams at which a decode step takes the limit
	decodeStepLimit = 44 * time.Millisecond
)

// epoch is the time at which traces begin.
var epoch = time.Unix(1_700_000_000, 0)

// job is one request on its way.
type job struct {
	arrival
	id       int
	priority int
	req      *admission.Request
	// on is the host that has it.
	on       *host
	produced int
	attempts int
	resends  int
	// firstAt and doneAt are when the caller has the first token and the whole
	// answer; zero if it never does.
	firstAt, doneAt time.Duration
	refused         refusal
	lost            bool
	closed          bool
	// onCheap says that it ran on a reclaimable endpoint, interrupted that one
	// was withdrawn under it.
	onCheap, interrupted bool
	runs                 int
}

type refusal int

const (
	notRefused refusal = iota
	refusedHonest
	refusedWrong
)

// host is an entry host: the decision code with its own view.
type host struct {
	id, domain string
	up         bool
	// inBalancer says that the load balancer still sends to it.
	inBalancer bool
	run        int
	controller *admission.Controller
	config     admission.Config
	reports    map[string]report
	trends     *routing.Trends
}

type report struct {
	load    endpoint.Load
	takenAt time.Duration
}

// world is one run.
type world struct {
	dep     Deployment
	trace   Trace
	policy  Policy
	classes map[string]declaration.Class
	rng     *rand.Rand

	now     time.Duration
	events  eventHeap
	eventNo int

	jobs    []*job
	engines []*fakeEngine
	orders  []endpoint.Endpoint
	hosts   []*host
	cut     string
	down    bool
	crashOn bool
	gone    map[capacity.Place]time.Duration
	created int

	meter    *roles.Meter
	forecast *capacity.Forecast
	offered  roles.Work
	strict   float64
	tolerant float64

	retries map[string]*retry.Budgets
	result  *Result
	seen    map[uint64]bool
}

func at(t time.Duration) time.Time { return epoch.Add(t) }

// after schedules an action.
func (w *world) after(delay time.Duration, do func()) {
	w.eventNo++
	heap.Push(&w.events, event{at: w.now + delay, no: w.eventNo, do: do})
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

// Run measures one policy on one trace.
func Run(d Deployment, t Trace, p Policy, seed uint64) Result {
	w := newWorld(d, t, p, seed)
	next := 0
	for w.now = 0; w.now < t.Length+settleTime; w.now += tick {
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

func (w *world) periodic() {
	if w.now%pollPeriod == 0 {
		for _, h := range w.hosts {
			if h.up && h.controller.Held() > 0 {
				w.act(h, h.controller.Poll(at(w.now)))
			}
		}
	}
	if w.now%reportPeriod == 0 {
		w.report()
	}
	if w.now%gossipPeriod == 0 {
		w.gossip()
		w.control()
		w.account()
	}
}

func newWorld(d Deployment, t Trace, p Policy, seed uint64) *world {
	w := &world{dep: d, trace: t, policy: p, classes: classes(), rng: rand.New(rand.NewPCG(seed, 7)),
		gone: map[capacity.Place]time.Duration{}, meter: roles.NewMeter(0),
		forecast: capacity.NewForecast(startTime), seen: map[uint64]bool{}, retries: map[string]*retry.Budgets{}}
	for i, a := range arrivals(d, t, seed) {
		j := &job{arrival: a, id: i}
		if a.class == classStrict {
			j.priority = 1
		}
		w.jobs = append(w.jobs, j)
	}
	for i := range d.Runners {
		kind := kindStandard
		if i >= d.Runners-d.Reclaimable {
			kind = kindSpot
		}
		e := w.addEngine(capacity.Place{Domain: d.Domains[i%len(d.Domains)], Kind: kind}, 0)
		if p.Split {
			e.role = []endpoint.Role{endpoint.RolePrefill, endpoint.RoleDecode}[(i/len(d.Domains)+i)%2]
		}
	}
	for i := range d.OrderRunners {
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
		w.after(f.At, func() { w.fail(f) })
	}
	return w
}

func (w *world) addEngine(place capacity.Place, startsIn time.Duration) *fakeEngine {
	e := &fakeEngine{role: endpoint.RoleMixed, model: w.dep.Model, speed: 0.97 + 0.06*w.rng.Float64(),
		readyAt: w.now + startsIn, since: w.now, at: w.now, cost: 1}
	w.created++
	e.Endpoint = endpoint.Endpoint{ID: fmt.Sprintf("engine-%02d", w.created), Instance: "1", Domain: place.Domain,
		Kind: place.Kind, Reclaimable: place.Kind == kindSpot, State: endpoint.StateStarting}
	if e.Reclaimable {
		e.cost = spotCost
	}
	newCache(e)
	w.engines = append(w.engines, e)
	if startsIn == 0 {
		w.makeLive(e)
	} else {
		w.after(startsIn, func() {
			if e.State == endpoint.StateStarting {
				w.makeLive(e)
			}
		})
	}
	return e
}

func (w *world) makeLive(e *fakeEngine) {
	e.up, e.State, e.since, e.at = true, endpoint.StateLive, w.now, w.now
}

// startHost gives the host empty state, as a new process has.
func (w *world) startHost(h *host, seed uint64) {
	h.run++
	h.reports, h.trends = map[string]report{}, routing.NewTrends()
	var number uint64
	_, _ = fmt.Sscanf(h.id, "host-%d", &number)
	h.config = newConfig(w.policy, rand.New(rand.NewPCG(seed, 100+number+1000*uint64(h.run))), at(w.now))
	w.retries[h.id] = retry.NewBudgets()
	h.controller = admission.NewController(h.config, at(w.now))
}

// reachable reports whether the two domains can talk.
func (w *world) reachable(a, b string) bool {
	return w.cut == "" || (a == w.cut) == (b == w.cut)
}

// report takes all engines' reports and cache events and delivers them late.
func (w *world) report() {
	loads := map[string]endpoint.Load{}
	taken := w.now
	for _, e := range w.engines {
		if e.up {
			loads[e.ID] = e.load()
		}
	}
	if w.now%gossipPeriod == 0 {
		w.cacheEvents()
	}
	w.after(w.trace.Lag, func() {
		for _, h := range w.hosts {
			if !h.up {
				continue
			}
			for _, e := range w.engines {
				load, ok := loads[e.ID]
				if ok && w.reachable(h.domain, e.Domain) {
					h.reports[e.ID] = report{load: load, takenAt: taken}
					h.config.Sends.Acknowledge(e.ID, at(taken))
					h.trends.Observe(e.ID, load, at(taken))
				}
			}
			w.refresh(h)
		}
	})
}

func (w *world) cacheEvents() {
	for _, e := range w.engines {
		answer := e.publish(w.rng)
		w.after(time.Second, func() {
			for _, h := range w.hosts {
				if h.up && w.reachable(h.domain, e.Domain) {
					h.config.Index.ApplyEvents(e.ID, answer, at(w.now))
				}
			}
		})
	}
}

// refresh gives the host a new snapshot from what it has heard.
func (w *world) refresh(h *host) {
	statuses := make([]endpoint.Status, 0, len(w.engines)+len(w.orders))
	for _, e := range w.engines {
		r, ok := h.reports[e.ID]
		if !ok || w.now-r.takenAt > reportsTooOld+w.trace.Lag {
			continue
		}
		statuses = append(statuses, endpoint.Status{Endpoint: e.Endpoint, Load: r.load, HasLoad: true, LoadAge: w.now - r.takenAt})
	}
	for _, o := range w.orders {
		if w.reachable(h.domain, o.Domain) {
			statuses = append(statuses, endpoint.Status{Endpoint: o})
		}
	}
	hosts := 0
	for _, other := range w.hosts {
		if other.up && w.reachable(h.domain, other.domain) {
			hosts++
		}
	}
	snap := routing.NewSnapshot(routing.View{Domain: h.domain, Hosts: hosts, Endpoints: statuses,
		Sends: h.config.Sends, Trends: h.trends, Delays: routing.UniformDelay(w.dep.Delay)})
	h.controller.SetSnapshot(snap)
}

// gossip spreads the served tokens.
func (w *world) gossip() {
	for _, from := range w.hosts {
		if !from.up {
			continue
		}
		counts := from.config.Ledger.AppendLocal(nil, from.id, fmt.Sprint(from.run))
		w.after(gossipDelay, func() {
			for _, to := range w.hosts {
				if to != from && to.up && w.reachable(from.domain, to.domain) {
					to.config.Ledger.Merge(counts, at(w.now))
				}
			}
		})
	}
	if w.now%fairness.DefaultWindow == 0 {
		for _, h := range w.hosts {
			h.config.Ledger.Sweep(at(w.now))
		}
	}
}
