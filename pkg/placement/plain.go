package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/pace"
)

const (
	// minLimitedService is the least number of endpoints of a service whose endpoints are
	// limited after a start: with four, the others may not be able to take the share of
	// one. Plays that seemed to show this had another fault, see maxIdle in pkg/relay, and
	// were not repeated without it.
	minLimitedService = 8
	// warmupCost is the cost of an endpoint that says that it is warming up, in service
	// times, in a service whose endpoints are not limited.
	warmupCost = 2
	// crossDomainTime is the cost of an endpoint in another failure domain: the longer
	// way, and the bytes between the domains. In an idle service it is idleDomainCost
	// service times, as much as one and a half requests of this host and more than the
	// endpoints differ in speed, so that requests stay in their domain. It falls to
	// crossDomainTime as the share of the slots that are in use grows to busyShare.
	crossDomainTime = 8 * time.Millisecond
	idleDomainCost  = 1.5 * ownWeight
	busyShare       = 0.25
	// crowdingWeight is the cost of an endpoint whose slots are all taken, in service
	// times.
	crowdingWeight = 0.25
	// ownWeight is the cost of each request of this host at the endpoint, in service times:
	// its own requests show what is really queued there, those of other hosts are
	// estimates. With 6 hosts, 300 requests/s and weight 0, 0.973 were on time; by the
	// own requests alone 0.983 were.
	ownWeight = 2.0
	// ejectedTime is the cost of an ejected endpoint. It exceeds all other costs.
	ejectedTime = time.Hour
	// defaultServiceTime is the assumed service time of endpoints until some have been
	// measured. The times that are learned stay between the bounds.
	defaultServiceTime = 40 * time.Millisecond
	minServiceTime     = time.Millisecond
	maxServiceTime     = 20 * time.Second
	// lessStep and moreStep are the relative changes of an endpoint's service time with
	// an answer that took less or more, so that 30% of the answers take less: pauses and
	// queues that this host does not know of only lengthen answers.
	lessStep = 0.05
	moreStep = 0.02
	// maxQueuedExcess is the excess, in service times, above which the answers say nothing
	// about the service time.
	maxQueuedExcess = 1.0
	// excessGain is the weight of one answer in how much longer than its service time an
	// endpoint takes at present. The excess decays with excessDecay, since an endpoint
	// that is avoided gives no answers; a pause lasts for less than a second.
	excessGain  = 0.5
	excessDecay = 300 * time.Millisecond
	// unseenTime is the usual age of what a host knows of the sends of others.
	// unseenWeight is the spread of the choices, in mean service times, when as many
	// requests as the service has slots are sent within that time.
	unseenTime   = 90 * time.Millisecond
	unseenWeight = 3.0
	// peerRateTime is the time constant of the rate of other hosts' requests.
	peerRateTime = time.Second
	// maxReportedAnswers bounds the answers that wait for the next report.
	maxReportedAnswers = 4
	// maxPeerSends bounds the sends of other hosts that are kept for an endpoint.
	maxPeerSends = 1024
)

// Balancer chooses endpoints of plain services, which have no engines, by the expected
// time to the answer: from the work of all hosts, the endpoint's slots, and its speed
// as it follows from the answers. It is safe for concurrent use.
//
// Load pattern: many hosts, each of which has none or one request in flight, and few
// endpoints that differ in speed. A choice by this host's own requests alone sends the
// whole load of a failure domain to its endpoint, regardless of the others.
type Balancer struct {
	domain string
	// limiter says which endpoints get no more requests; nil if none is limited.
	limiter *pace.Limiter

	mu sync.Mutex
	// The fields below are guarded by mu.
	services map[string]*plainService
	rotation int
	random   *rand.Rand
}

// plainService is what is known about a plain service.
type plainService struct {
	// meanTime is the mean of the service times of the endpoints.
	meanTime  time.Duration
	endpoints map[string]*plainEndpoint
	// byHash finds the endpoints by the hashes of their IDs.
	byHash map[uint64]*plainEndpoint
	// unreported holds answers to this host that the next report tells the others.
	unreported []AnswerTime
	// peerRate is the rate of the requests of other hosts, per second, at peerRateAt.
	peerRate   float64
	peerRateAt time.Time
}

// plainEndpoint is the estimated state of an endpoint.
type plainEndpoint struct {
	startedMillis int64
	slots         int
	// own holds this host's sends that have not ended, peerEnds the expected ends of
	// those of other hosts.
	own      []plainSend
	peerEnds []time.Time
	// serviceTime is the time of a request that has a slot; zero if it is not known.
	serviceTime time.Duration
	// excess is how much longer than that the last answers took, as of excessAt.
	excess   time.Duration
	excessAt time.Time
}

// plainSend is a send of this host.
type plainSend struct {
	sentAt, expectedAt time.Time
}

// NewBalancer returns a balancer for a host in the given failure domain.
func NewBalancer(domain string) *Balancer {
	return &Balancer{domain: domain, services: map[string]*plainService{}, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// SetLimiter sets the limiter. It must be called before the first Pick.
func (b *Balancer) SetLimiter(l *pace.Limiter) { b.limiter = l }

// service returns the state of a service. It must be called with mu held.
func (b *Balancer) service(name string) *plainService {
	s := b.services[name]
	if s == nil {
		s = &plainService{meanTime: defaultServiceTime, endpoints: map[string]*plainEndpoint{}, byHash: map[uint64]*plainEndpoint{}}
		b.services[name] = s
	}
	return s
}

// endpoint returns the state of an endpoint, which is new after a restart. For an
// earlier start it returns the state of the present one.
func (s *plainService) endpoint(m fleet.Member) *plainEndpoint {
	e := s.endpoints[m.ID]
	if e == nil || e.startedMillis < m.StartedMillis {
		e = &plainEndpoint{startedMillis: m.StartedMillis}
		s.endpoints[m.ID] = e
		s.byHash[xxhash.Sum64String(m.ID)] = e
	}
	e.slots = max(m.Slots, 1)
	return e
}

// retain drops the endpoints that are not among the members.
func (s *plainService) retain(members []fleet.Member) {
	if len(s.endpoints) <= len(members) {
		return
	}
	for id := range s.endpoints {
		if !slices.ContainsFunc(members, func(m fleet.Member) bool { return m.ID == id }) {
			delete(s.endpoints, id)
			delete(s.byHash, xxhash.Sum64String(id))
		}
	}
}

// timeOf returns the expected time of a request that has a slot at the endpoint.
func (s *plainService) timeOf(e *plainEndpoint) time.Duration {
	if e.serviceTime == 0 {
		return s.meanTime
	}
	return e.serviceTime
}

// updateMean sets meanTime.
func (s *plainService) updateMean() {
	sum, n := time.Duration(0), 0
	for _, e := range s.endpoints {
		if e.serviceTime > 0 {
			sum, n = sum+e.serviceTime, n+1
		}
	}
	if n > 0 {
		s.meanTime = sum / time.Duration(n)
	}
}

// excessNow returns the excess, which decays.
func (e *plainEndpoint) excessNow(now time.Time) time.Duration {
	return time.Duration(float64(e.excess) * math.Exp(-max(0, now.Sub(e.excessAt).Seconds())/excessDecay.Seconds()))
}

// running returns the number of requests that the endpoint is expected to have. It
// drops the sends of other hosts that have ended.
func (e *plainEndpoint) running(now time.Time) int {
	e.peerEnds = slices.DeleteFunc(e.peerEnds, func(end time.Time) bool { return !end.After(now) })
	return len(e.own) + len(e.peerEnds)
}

// queueTime returns the expected time until a slot is free, if each request takes the
// time work.
func (e *plainEndpoint) queueTime(work time.Duration, now time.Time) time.Duration {
	waiting := e.running(now) - e.slots + 1
	return work * time.Duration(max(0, waiting)) / time.Duration(e.slots)
}

// wait returns the expected time until the endpoint begins a request: by the requests
// that it has, by its last answers, and by those of this host that are overdue.
func (e *plainEndpoint) wait(work time.Duration, now time.Time) time.Duration {
	wait := max(e.queueTime(work, now), e.excessNow(now))
	for _, s := range e.own {
		wait = max(wait, now.Sub(s.expectedAt))
	}
	return min(wait, maxQueueWait)
}

// Pick chooses one of the members, all of one service, and counts the request as in
// flight until Done. Ejected members are chosen only if there is no other, paused ones
// never. It returns false if no member can take the request.
func (b *Balancer) Pick(members []fleet.Member, exclude []string, health Health, now time.Time) (fleet.Member, bool) {
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(members[0].Service)
	s.retain(members)
	b.rotation++
	full := b.fullWindows(s, members, exclude, health, now)
	busy, unseen := s.load(members, now)
	spread := time.Duration(unseenWeight * unseen * float64(s.meanTime))
	crossDomain := max(crossDomainTime, time.Duration(idleDomainCost*(1-(busy+unseen)/busyShare)*float64(s.meanTime)))
	var open, limited cheapest
	for i := range members {
		m := members[(i+b.rotation)%len(members)]
		if m.State != endpoint.StateLive || slices.Contains(exclude, m.ID) || now.Before(health.PausedUntil(m)) {
			continue
		}
		cost := s.completionTime(m, now) + b.spreadCost(s, m, spread)
		if m.Domain != b.domain {
			cost += crossDomain
		}
		if health.Ejected(m, now) {
			cost += ejectedTime
		}
		if full == nil && m.WarmupRemaining > 0 {
			cost += warmupCost * s.meanTime
		}
		if full[m.ID] {
			limited.add(m, cost)
		} else {
			open.add(m, cost)
		}
	}
	m, found := open.member, open.found
	if limited.found && (!found || limited.cost < open.cost && (health.Ejected(m, now) || s.queues(m, now))) {
		m, found = limited.member, true
	}
	if !found {
		return fleet.Member{}, false
	}
	e := s.endpoint(m)
	work := s.timeOf(e)
	e.own = append(e.own, plainSend{sentAt: now, expectedAt: now.Add(e.wait(work, now) + work)})
	return m, true
}

// cheapest keeps the member with the least cost.
type cheapest struct {
	member fleet.Member
	cost   time.Duration
	found  bool
}

func (c *cheapest) add(m fleet.Member, cost time.Duration) {
	if !c.found || cost < c.cost {
		c.member, c.cost, c.found = m, cost, true
	}
}

// queues reports whether a request would wait for a slot of the endpoint. One with a full
// window gets only requests that would otherwise wait.
func (s *plainService) queues(m fleet.Member, now time.Time) bool {
	e := s.endpoint(m)
	return e.running(now) >= e.slots
}

// completionTime returns the expected time to the answer of an endpoint, and more for
// each of its slots that is taken and for each request of this host that it has.
func (s *plainService) completionTime(m fleet.Member, now time.Time) time.Duration {
	e := s.endpoint(m)
	work := s.timeOf(e)
	crowding := crowdingWeight * min(1, float64(e.running(now))/float64(e.slots))
	return e.wait(work, now) + work + time.Duration((crowding+ownWeight*float64(len(e.own)))*float64(work))
}

// load returns the share of the service's slots that are expected to be in use, and
// that of the requests which other hosts have sent and this one does not know of yet.
func (s *plainService) load(members []fleet.Member, now time.Time) (busy, unseen float64) {
	slots, running := 0, 0
	for _, m := range members {
		e := s.endpoint(m)
		slots, running = slots+e.slots, running+e.running(now)
	}
	return float64(running) / float64(slots), s.peerRateNow(now) * unseenTime.Seconds() / float64(slots)
}

// spreadCost returns a random cost of an endpoint. All hosts would otherwise send the
// requests that they do not know of to the endpoint that is the best one at present. Its
// distribution (Gumbel) makes the share of each endpoint proportional to its capacity,
// as far as the expected times differ by less than the spread. It must be called with
// mu held.
func (b *Balancer) spreadCost(s *plainService, m fleet.Member, spread time.Duration) time.Duration {
	if spread <= 0 {
		return 0
	}
	e := s.endpoint(m)
	capacity := float64(e.slots) / s.timeOf(e).Seconds()
	return time.Duration(float64(spread) * (math.Log(b.random.ExpFloat64()) - math.Log(capacity)))
}

func (s *plainService) peerRateNow(now time.Time) float64 {
	return s.peerRate * math.Exp(-max(0, now.Sub(s.peerRateAt).Seconds())/peerRateTime.Seconds())
}

// Report returns the report of the send to a member that Pick has chosen, for the
// other hosts.
func (b *Balancer) Report(m fleet.Member) SendReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(m.Service)
	report := SendReport{EngineID: m.ID, WorkMicros: s.timeOf(s.endpoint(m)).Microseconds(), Answers: s.unreported}
	s.unreported = nil
	return report
}

// ApplyPeerSend applies a send that another host reported.
func (b *Balancer) ApplyPeerSend(m fleet.Member, report SendReport, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(m.Service)
	for _, a := range report.Answers {
		if e := s.byHash[a.EndpointHash]; e != nil {
			s.learn(e, time.Duration(a.Micros)*time.Microsecond, now)
		}
	}
	e := s.endpoint(m)
	work := min(time.Duration(report.WorkMicros)*time.Microsecond, maxServiceTime)
	if len(e.peerEnds) < maxPeerSends {
		e.peerEnds = append(e.peerEnds, now.Add(e.queueTime(work, now)+work))
	}
	s.peerRate, s.peerRateAt = s.peerRateNow(now)+1/peerRateTime.Seconds(), now
}

// learn applies the time in which an endpoint answered.
func (s *plainService) learn(e *plainEndpoint, took time.Duration, now time.Time) {
	took = min(max(took, minServiceTime), maxServiceTime)
	if e.serviceTime == 0 {
		e.serviceTime = min(took, 2*s.meanTime)
	}
	excess := e.excessNow(now)
	e.excess, e.excessAt = excess+time.Duration(excessGain*float64(max(0, took-e.serviceTime)-excess)), now
	step := 1 + moreStep
	if took < e.serviceTime {
		step = 1 - lessStep
	} else if e.running(now) >= e.slots || excess > time.Duration(maxQueuedExcess*float64(e.serviceTime)) {
		// The answer waited for a slot.
		return
	}
	e.serviceTime = min(max(time.Duration(step*float64(e.serviceTime)), minServiceTime), maxServiceTime)
	s.updateMean()
}

// PlainLoad is the load of an endpoint as this host estimates it.
type PlainLoad struct {
	Endpoint    string
	Running     int
	ServiceTime time.Duration
}

// Loads returns the load of each endpoint that this host knows, sorted by ID.
func (b *Balancer) Loads(now time.Time) []PlainLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []PlainLoad
	for _, s := range b.services {
		for id, e := range s.endpoints {
			loads = append(loads, PlainLoad{id, e.running(now), s.timeOf(e)})
		}
	}
	slices.SortFunc(loads, func(a, b PlainLoad) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return loads
}

// fullWindows returns the IDs of the endpoints that can take the request and are to get
// no more. It must be called with mu held.
func (b *Balancer) fullWindows(s *plainService, members []fleet.Member, exclude []string, health Health, now time.Time) map[string]bool {
	if !b.limiter.Any() || len(members) < minLimitedService {
		return nil
	}
	var ids []string
	var inFlight []int
	for _, m := range members {
		if m.State == endpoint.StateLive && !slices.Contains(exclude, m.ID) && !health.Ejected(m, now) && !now.Before(health.PausedUntil(m)) {
			ids, inFlight = append(ids, m.ID), append(inFlight, len(s.endpoint(m).own))
		}
	}
	out := map[string]bool{}
	for i, full := range b.limiter.Full(len(ids), func(i int) (string, int) { return ids[i], inFlight[i] }, now) {
		if full {
			out[ids[i]] = true
		}
	}
	return out
}

// AnyHealthy reports whether any of the members outside exclude can take a request
// and is not ejected.
func AnyHealthy(members []fleet.Member, exclude []string, health Health, now time.Time) bool {
	return slices.ContainsFunc(members, func(m fleet.Member) bool {
		return m.State == endpoint.StateLive && !slices.Contains(exclude, m.ID) && !health.Ejected(m, now) && !now.Before(health.PausedUntil(m))
	})
}

// Done records that the request to a member that Pick chose at the time sentAt has
// ended. It must be called once for each successful Pick. answered says that a
// complete answer without a failure has arrived.
func (b *Balancer) Done(m fleet.Member, sentAt time.Time, answered bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(m.Service)
	e := s.endpoint(m)
	i := slices.IndexFunc(e.own, func(o plainSend) bool { return o.sentAt.Equal(sentAt) })
	if i < 0 {
		// The endpoint has restarted since.
		return
	}
	e.own = slices.Delete(e.own, i, i+1)
	if !answered {
		return
	}
	took := now.Sub(sentAt)
	if m.Domain != b.domain {
		took -= crossDomainTime
	}
	took = max(took, minServiceTime)
	s.learn(e, took, now)
	if len(s.unreported) < maxReportedAnswers {
		s.unreported = append(s.unreported, AnswerTime{xxhash.Sum64String(m.ID), took.Microseconds()})
	}
}
