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
	"github.com/clementineshed/clementineshed/pkg/pace"
)

// fleetReplay replays arrivals through hosts that choose among nine prefill engines.
type fleetReplay struct {
	hosts       int
	reportDelay time.Duration
	// limited says that the hosts limit engines that have restarted.
	limited bool
	// slowness returns the slowness of an engine; nil for none.
	slowness func(engine int, at time.Duration) float64
	// restartAt is when every third engine restarts with an empty cache; zero for
	// never.
	restartAt time.Duration
}

// run returns the time of each prefill and the engine that ran it.
func (r fleetReplay) run(arrivals []arrival) (took []time.Duration, engine []string) {
	models, engines := replayDeployment(r.hosts)
	var limiters []*pace.Limiter
	for i, m := range models {
		l := pace.NewLimiter(fmt.Sprint("h", i))
		l.SetHosts(r.hosts)
		limiters = append(limiters, l)
		m.limiter = l
	}
	members := replayFleet(9, 3)
	for i, m := range members {
		if r.slowness != nil {
			engines[m.ID].slowness = func(at time.Time) float64 { return r.slowness(i, at.Sub(replayStart)) }
		}
	}
	var pending events
	at := func(d time.Duration, run func(now time.Time)) { heap.Push(&pending, event{d, run}) }
	toOthers := func(self int, d time.Duration, apply func(other int, now time.Time)) {
		at(d+r.reportDelay, func(now time.Time) {
			for other := range models {
				if other != self {
					apply(other, now)
				}
			}
		})
	}
	if r.restartAt > 0 {
		at(r.restartAt, func(now time.Time) { r.restart(members, engines, models, limiters, now) })
	}
	end := arrivals[len(arrivals)-1].at
	for d := 100 * time.Millisecond; d < end; d += 100 * time.Millisecond {
		at(d, func(time.Time) {
			for self := range models {
				for _, p := range limiters[self].TakeReports() {
					toOthers(self, d, func(other int, now time.Time) {
						limiters[other].ApplyReport(pace.Endpoint{ID: p.ID, Usual: usualPrefill}, p, now)
					})
				}
			}
		})
	}
	took, engine = make([]time.Duration, len(arrivals)), make([]string, len(arrivals))
	for i, a := range arrivals {
		at(a.at, func(now time.Time) {
			self := i % r.hosts
			a.job.Due = now.Add(firstTokenTarget)
			c, _ := models[self].ChoosePrefill(a.job, noneEjected{}, now)
			inFlight, sent := models[self].BeginSend(endpoint.RolePrefill, a.job, c, now)
			done, _ := engines[c.Engine.ID].serve(a.job, engines[c.Source.ID], now)
			took[i], engine[i] = done.Sub(now), c.Engine.ID
			at(done.Sub(replayStart), func(done time.Time) {
				models[self].EndSend(inFlight, Completed, done)
				limiters[self].Answered(c.Engine.ID, now, c.Expected(), done)
			})
			toOthers(self, a.at, func(other int, now time.Time) { models[other].ApplyPeerSend(sent, now) })
		})
	}
	for len(pending) > 0 {
		e := heap.Pop(&pending).(event)
		e.run(replayStart.Add(e.at))
	}
	return took, engine
}

// restart restarts every third engine.
func (r fleetReplay) restart(members []fleet.Member, engines map[string]*simulatedEngine, models []*Model, limiters []*pace.Limiter, now time.Time) {
	restarted := slices.Clone(members)
	for i := 0; i < 9; i += 3 {
		restarted[i].StartedMillis++
		engines[restarted[i].ID].ready = map[uint64]time.Time{}
		engines[restarted[i].ID].free = now
	}
	for h, m := range models {
		m.SetFleet(restarted)
		for i := 0; i < 9 && r.limited; i += 3 {
			limiters[h].Limit(PaceEndpoint(restarted[i]), pace.Restarted, now)
		}
	}
}

// onTimeBetween returns the share of the requests that arrived in a span and met the
// target.
func onTimeBetween(arrivals []arrival, took []time.Duration, from, to time.Duration) float64 {
	n, met := 0, 0
	for i, a := range arrivals {
		if a.at >= from && a.at < to {
			n++
			if took[i] <= firstTokenTarget {
				met++
			}
		}
	}
	return float64(met) / float64(max(n, 1))
}

// hostsAndDelays are the sizes of deployments that the tests replay, with the latency
// of a report: direct, and through relays.
var hostsAndDelays = []struct {
	hosts int
	delay time.Duration
}{{6, reportDelay}, {65, 50 * time.Millisecond}}

const replaySeeds = 3

// TestReplayRestart replays a restart of a third of the engines under load. It guards
// against hosts that flood engines which are slow after their start, and against a
// limit that makes requests late if the engines are as fast as before.
func TestReplayRestart(t *testing.T) {
	const restartAt, coldFor = 8 * time.Second, 3 * time.Second
	for _, d := range hostsAndDelays {
		for _, cold := range []float64{1, 6} {
			met := map[bool]float64{}
			for seed := range uint64(replaySeeds) {
				arrivals := workload{rng: rand.New(rand.NewPCG(seed, 5))}.arrivals(14 * time.Second)
				for _, limited := range []bool{true, false} {
					r := fleetReplay{hosts: d.hosts, reportDelay: d.delay, limited: limited, restartAt: restartAt}
					r.slowness = func(e int, at time.Duration) float64 {
						if e < 9 && e%3 == 0 && at >= restartAt && at < restartAt+coldFor {
							return cold
						}
						return 1
					}
					took, _ := r.run(arrivals)
					met[limited] += onTimeBetween(arrivals, took, restartAt, restartAt+4*time.Second) / replaySeeds
				}
			}
			t.Logf("%d hosts, engines slower by %g: %.3f on time, %.3f without a limit", d.hosts, cold, met[true], met[false])
			if cold > 1 && met[true] < met[false]+0.02 || met[true] < met[false]-0.02 {
				t.Errorf("%d hosts, engines slower by %g: %.3f on time, %.3f without a limit", d.hosts, cold, met[true], met[false])
			}
		}
	}
}

// TestLimitGivesWay guards against a limit that holds back work which no other engine
// can take or that would otherwise be late.
func TestLimitGivesWay(t *testing.T) {
	m := replayModel(replayFleet(2, 1))
	m.limiter = pace.NewLimiter("h")
	// With 1,000 hosts the share of this one is below one, and this is not its turn.
	m.limiter.SetHosts(1000)
	m.limiter.Limit(pace.Endpoint{ID: "e00", Usual: usualPrefill}, pace.Restarted, replayStart)
	job := prompt(Part{1, 1000})
	choose := func() string {
		c, _ := m.ChoosePrefill(job, noneEjected{}, replayStart)
		return c.Engine.ID
	}
	m.ApplyPeerSend(SendReport{EngineID: "e01", Role: endpoint.RolePrefill, WorkMicros: 300_000}, replayStart)
	if got := choose(); got != "e01" {
		t.Errorf("%s was chosen, its window is full", got)
	}
	job.Due = replayStart.Add(firstTokenTarget)
	if got := choose(); got != "e01" {
		t.Errorf("%s was chosen although the request is in time elsewhere", got)
	}
	job.Due = replayStart.Add(200 * time.Millisecond)
	if got := choose(); got != "e00" {
		t.Errorf("%s was chosen, where the request is late", got)
	}
	job.Due = time.Time{}
	job.Exclude = []string{"e01"}
	if got := choose(); got != "e00" {
		t.Errorf("%q was chosen, only e00 can take the request", got)
	}
}

// TestBalancerLimitGivesWay guards against a plain endpoint with a full window that
// gets requests while others have free slots, and against one that gets none while
// requests queue at the others or no other is left.
func TestBalancerLimitGivesWay(t *testing.T) {
	members := replayFleet(minLimitedService, 0)
	for i := range members {
		members[i].Slots = 6
	}
	b, l := NewBalancer("d0"), pace.NewLimiter("h")
	b.SetLimiter(l)
	l.SetHosts(1000)
	l.Limit(PaceEndpoint(members[0]), pace.Ejected, replayStart)
	counts := map[string]int{}
	for range 6 * (minLimitedService - 1) {
		m, _ := b.Pick(members, nil, noneEjected{}, replayStart)
		counts[m.ID]++
	}
	if counts["e00"] > 0 {
		t.Errorf("the limited endpoint got %d requests while others had free slots", counts["e00"])
	}
	for range 2 * minLimitedService {
		m, _ := b.Pick(members, nil, noneEjected{}, replayStart)
		counts[m.ID]++
	}
	if counts["e00"] == 0 {
		t.Error("the limited endpoint got nothing while requests queue at the others")
	}
	var others []string
	for _, m := range members[1:] {
		others = append(others, m.ID)
	}
	if m, ok := b.Pick(members, others, noneEjected{}, replayStart); !ok || m.ID != "e00" {
		t.Errorf("%q was chosen, only e00 is left", m.ID)
	}
	if m, _ := b.Pick(members, nil, ejectedExcept("e00"), replayStart); m.ID != "e00" {
		t.Errorf("%q was chosen, all but e00 are ejected", m.ID)
	}
}

// ejectedExcept is the condition in which all endpoints but one are ejected.
type ejectedExcept string

func (e ejectedExcept) Ejected(m fleet.Member, _ time.Time) bool { return m.ID != string(e) }

func (ejectedExcept) PausedUntil(fleet.Member) time.Time { return time.Time{} }
