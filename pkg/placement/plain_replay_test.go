package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

const (
	plainSlots = 6
	plainTime  = 40 * time.Millisecond
	// plainTarget is the time within which an answer is on time.
	plainTarget = 250 * time.Millisecond
	plainLength = 24 * time.Second
)

// plainServer is a simulated endpoint that runs requests in the order of arrival.
type plainServer struct {
	member fleet.Member
	speed  float64
	freeAt [plainSlots]time.Duration
	pauses []time.Duration
}

// serve returns when a request that arrives at a time is answered.
func (s *plainServer) serve(at, work time.Duration) time.Duration {
	slot := 0
	for i, free := range s.freeAt {
		if free < s.freeAt[slot] {
			slot = i
		}
	}
	begin := max(at, s.freeAt[slot])
	factor := s.speed
	if slices.ContainsFunc(s.pauses, func(p time.Duration) bool { return begin >= p && begin < p+600*time.Millisecond }) {
		factor *= 2.5
	}
	s.freeAt[slot] = begin + time.Duration(factor*float64(work))
	return s.freeAt[slot]
}

// plainPicker is what a replay needs of a host: the choice of an endpoint, the end of a
// request, and the reports, which are nil if the policy has none.
type plainPicker struct {
	pick   func(now time.Time) fleet.Member
	done   func(m fleet.Member, sentAt, now time.Time)
	report func(m fleet.Member) SendReport
	apply  func(m fleet.Member, r SendReport, now time.Time)
}

// newPlainPicker returns the picker of the Balancer.
func newPlainPicker(domain string, members []fleet.Member) plainPicker {
	b := NewBalancer(domain)
	b.random = rand.New(rand.NewPCG(1, uint64(domain[0])))
	return plainPicker{
		pick:   func(now time.Time) fleet.Member { m, _ := b.Pick(members, nil, noneEjected{}, now); return m },
		done:   func(m fleet.Member, sentAt, now time.Time) { b.Done(m, sentAt, true, now) },
		report: b.Report, apply: b.ApplyPeerSend,
	}
}

// ownLoadPicker chooses by the host's own requests in flight and counts another domain
// as 1.5 of them, as hosts did that had no reports.
func ownLoadPicker(domain string, members []fleet.Member) plainPicker {
	inFlight, rotation := map[string]int{}, 0
	cost := func(m fleet.Member) float64 {
		if m.Domain != domain {
			return float64(inFlight[m.ID]) + 1.5
		}
		return float64(inFlight[m.ID])
	}
	return plainPicker{
		pick: func(time.Time) fleet.Member {
			rotation++
			best := members[rotation%len(members)]
			for i := range members {
				if m := members[(i+rotation)%len(members)]; cost(m) < cost(best) {
					best = m
				}
			}
			inFlight[best.ID]++
			return best
		},
		done: func(m fleet.Member, _, _ time.Time) { inFlight[m.ID]-- },
	}
}

// plainLoadPattern is the number of hosts, the latency of a report between them, and the
// rate of the requests outside bursts.
type plainLoadPattern struct {
	hosts int
	delay time.Duration
	rate  float64
}

// replayPlain replays a service of five endpoints in three domains with unequal load
// and bursts of twice the rate. It returns the share of the requests that were answered
// on time.
func replayPlain(seed uint64, load plainLoadPattern, newPicker func(domain string, members []fleet.Member) plainPicker) float64 {
	rng := rand.New(rand.NewPCG(seed, seed))
	speeds := []float64{1.6, 0.6, 1, 1, 1.6}
	var members []fleet.Member
	servers := map[string]*plainServer{}
	for i, speed := range speeds {
		m := fleet.Member{Endpoint: endpoint.Endpoint{ID: fmt.Sprint("p", i), Service: "desk", Domain: fmt.Sprint(i / 2), State: endpoint.StateLive}, Slots: plainSlots}
		members = append(members, m)
		s := &plainServer{member: m, speed: speed}
		// The pauses take 15% of the time.
		for at := time.Duration(0); at < plainLength; at += 600 * time.Millisecond {
			if at += time.Duration(rng.ExpFloat64() * float64(3400*time.Millisecond)); at < plainLength {
				s.pauses = append(s.pauses, at)
			}
		}
		servers[m.ID] = s
	}
	var hosts []plainPicker
	for i := range load.hosts {
		hosts = append(hosts, newPicker(fmt.Sprint(i%3), members))
	}
	var pending events
	late, n := 0, 0
	for at := time.Duration(0); at < plainLength; n++ {
		now := load.rate
		if at%(8*time.Second) < 2*time.Second {
			now *= 2
		}
		at += time.Duration(rng.ExpFloat64() / now * float64(time.Second))
		for len(pending) > 0 && pending[0].at <= at {
			e := heap.Pop(&pending).(event)
			e.run(replayStart.Add(e.at))
		}
		// Of the callers, 45% are in the domain of the slow and the fast endpoint, 20% in
		// that of two, and 35% in that of one.
		domain := 0
		if u := rng.Float64(); u > 0.65 {
			domain = 2
		} else if u > 0.45 {
			domain = 1
		}
		self := domain + 3*rng.IntN(load.hosts/3)
		sentAt := replayStart.Add(at)
		m := hosts[self].pick(sentAt)
		way := 2 * time.Millisecond
		if m.Domain != fmt.Sprint(domain) {
			way = 10 * time.Millisecond
		}
		work := time.Duration((0.6 + 0.8*rng.Float64()) * float64(plainTime))
		answeredAt := servers[m.ID].serve(at+way/2, work) + way/2
		if answeredAt-at > plainTarget {
			late++
		}
		heap.Push(&pending, event{answeredAt, func(now time.Time) { hosts[self].done(m, sentAt, now) }})
		if hosts[self].report == nil {
			continue
		}
		report := hosts[self].report(m)
		heap.Push(&pending, event{at + load.delay, func(now time.Time) {
			for other, h := range hosts {
				if other != self {
					h.apply(m, report, now)
				}
			}
		}})
	}
	return 1 - float64(late)/float64(n)
}

// TestReplayUnequalPlainServers guards against requests that queue at the endpoint of
// their failure domain, or at a slow or pausing one, while others have free slots, and
// against hosts that all choose the same endpoint because they know of each other's
// requests late.
func TestReplayUnequalPlainServers(t *testing.T) {
	for _, tt := range []struct {
		load        plainLoadPattern
		least, gain float64
	}{
		// The bursts take 0.6 and 0.9 of what the endpoints can do. Reports of 65 hosts go
		// over two relay hosts. With 6 hosts the own requests tell most of the load.
		{plainLoadPattern{65, 75 * time.Millisecond, 200}, 0.97, 0.06},
		{plainLoadPattern{65, 75 * time.Millisecond, 300}, 0.93, 0.1},
		{plainLoadPattern{6, 2 * time.Millisecond, 200}, 0.99, -0.01},
		{plainLoadPattern{6, 2 * time.Millisecond, 300}, 0.98, -0.01},
	} {
		for seed := range uint64(2) {
			without, with := replayPlain(seed, tt.load, ownLoadPicker), replayPlain(seed, tt.load, newPlainPicker)
			t.Logf("%v, seed %d: %.4f on time, %.4f by the host's own load", tt.load, seed, with, without)
			if with < tt.least || with < without+tt.gain {
				t.Errorf("%v, seed %d: %.4f on time, want %.2f; %.4f by the host's own load", tt.load, seed, with, tt.least, without)
			}
		}
	}
}

// TestIdleServiceStaysInDomain guards against requests that cross failure domains while
// their own domain has free slots, although the endpoint there is slower, and against
// requests that wait for a slot there while another domain has some.
func TestIdleServiceStaysInDomain(t *testing.T) {
	near := fleet.Member{Endpoint: endpoint.Endpoint{ID: "near", Service: "desk", Domain: "0", State: endpoint.StateLive}, Slots: plainSlots}
	far := near
	far.ID, far.Domain = "far", "1"
	members := []fleet.Member{far, near}
	b := NewBalancer("0")
	now := replayStart
	for i := range 100 {
		for _, m := range members {
			took := map[string]time.Duration{"near": 64 * time.Millisecond, "far": 24 * time.Millisecond}[m.ID]
			b.Pick([]fleet.Member{m}, nil, noneEjected{}, now)
			b.Done(m, now, true, now.Add(took))
		}
		now = now.Add(time.Second)
		m, _ := b.Pick(members, nil, noneEjected{}, now)
		b.Done(m, now, false, now)
		if m.ID != "near" {
			t.Fatalf("request %d of an idle service left its domain", i)
		}
	}
	counts := map[string]int{}
	b = NewBalancer("0")
	for range 2 * plainSlots {
		m, _ := b.Pick(members, nil, noneEjected{}, now)
		counts[m.ID]++
	}
	if counts["near"] > plainSlots+2 || counts["far"] > plainSlots {
		t.Errorf("%v of %d requests at once", counts, 2*plainSlots)
	}
}
