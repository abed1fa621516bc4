package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

var replayStart = time.Unix(1_700_000_000, 0)

type noneEjected struct{}

func (noneEjected) Ejected(fleet.Member, time.Time) bool { return false }

func (noneEjected) PausedUntil(fleet.Member) time.Time { return time.Time{} }

// These are the properties of the engines in the deployments: tokens per
// second, the latency of a prefill, and the declared link.
const (
	engineSpeed   = 50_000
	engineLatency = 60 * time.Millisecond
	// firstTokenTarget is the objective for the longest prompts, less the time
	// of the decode engine.
	firstTokenTarget = 600*time.Millisecond - 60*time.Millisecond
	// onTimeShare is the share of requests that must meet the target.
	onTimeShare = 0.95
	// reportDelay is the latency of a report between two hosts.
	reportDelay = 2 * time.Millisecond
)

var engineProperties = EngineProperties{CacheTokens: 547_862, TokenBytes: 18_432, LinkBytesPerSecond: 46e9, Slots: 64}

func replayFleet(prefill, decode int) []fleet.Member {
	var members []fleet.Member
	for i := range prefill + decode {
		m := fleet.Member{Endpoint: endpoint.Endpoint{ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%4), State: endpoint.StateLive}, Role: endpoint.RolePrefill}
		if i >= prefill {
			m.Role = endpoint.RoleDecode
		}
		members = append(members, m)
	}
	return members
}

func replayModel(members []fleet.Member) *Model {
	m := NewModel()
	m.SetEngineProperties(engineProperties)
	m.SetFleet(members)
	return m
}

// simulatedEngine is an engine that runs prefills in the order of arrival.
type simulatedEngine struct {
	free  time.Time
	ready map[uint64]time.Time
	// slowness returns the time of a prefill relative to the usual one; nil for 1.
	slowness func(at time.Time) float64
}

// workload generates a seeded series of prompts: long ones that each share a
// part with a few others, and short ones.
type workload struct {
	rng *rand.Rand
	// burst multiplies the arrival rate for burstFor, from burstAt on.
	burst             float64
	burstAt, burstFor time.Duration
}

type arrival struct {
	at  time.Duration
	job Job
}

func (l workload) arrivals(length time.Duration) []arrival {
	var out []arrival
	for at := time.Duration(0); at < length; {
		rate := 53.0 // requests per second, as in the deployments
		if at >= l.burstAt && at < l.burstAt+l.burstFor {
			rate *= l.burst
		}
		at += time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))
		out = append(out, arrival{at, l.job(uint64(len(out)) + 1<<40)})
	}
	return out
}

func (l workload) job(own uint64) Job {
	size := func(mean, spread float64) int {
		return max(20, int(mean*math.Exp(spread*l.rng.NormFloat64()-spread*spread/2)))
	}
	if l.rng.Float64() < 0.4 {
		return prompt(Part{uint64(1000 + l.rng.IntN(40)), 210}, Part{own, size(1110, 0.7)})
	}
	shared := uint64(l.rng.IntN(100))
	return prompt(Part{shared, 13_300}, Part{own, min(size(3720, 0.9), 20_000)})
}

func prompt(parts ...Part) Job {
	j := Job{Parts: parts}
	for _, p := range parts {
		j.PromptTokens += p.Tokens
	}
	return j
}

// event is the end of a prefill or the arrival of a report.
type event struct {
	at  time.Duration
	run func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at < e[b].at }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayDeployment returns the models of several hosts and the simulated engines.
func replayDeployment(hosts int) ([]*Model, map[string]*simulatedEngine) {
	members := replayFleet(9, 3)
	var models []*Model
	for range hosts {
		models = append(models, replayModel(members))
	}
	engines := map[string]*simulatedEngine{}
	for _, m := range members {
		engines[m.ID] = &simulatedEngine{ready: map[uint64]time.Time{}}
	}
	return models, engines
}

// replay runs the arrivals through the decisions of several hosts. It returns
// the duration of each prefill and the number of tokens that were computed.
// Hosts exchange reports if shared is set.
func replay(arrivals []arrival, hosts int, shared bool) (took []time.Duration, computed int) {
	models, engines := replayDeployment(hosts)
	var pending events
	took = make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		for len(pending) > 0 && pending[0].at <= a.at {
			e := heap.Pop(&pending).(event)
			e.run(replayStart.Add(e.at))
		}
		now := replayStart.Add(a.at)
		self := i % hosts
		c, ok := models[self].ChoosePrefill(a.job, noneEjected{}, now)
		if !ok {
			panic("no engine")
		}
		inFlight, sent := models[self].BeginSend(endpoint.RolePrefill, a.job, c, now)
		done, tokens := engines[c.Engine.ID].serve(a.job, engines[c.Source.ID], now)
		computed += tokens
		took[i] = done.Sub(now)
		heap.Push(&pending, event{a.at + took[i], func(now time.Time) { models[self].EndSend(inFlight, Completed, now) }})
		if !shared {
			continue
		}
		for other, model := range models {
			if other != self {
				heap.Push(&pending, event{a.at + reportDelay, func(now time.Time) { model.ApplyPeerSend(sent, now) }})
			}
		}
	}
	return took, computed
}

// serve returns when the prefill is done and how many tokens the engine
// computes.
func (e *simulatedEngine) serve(j Job, source *simulatedEngine, now time.Time) (time.Time, int) {
	begin := now
	if e.free.After(begin) {
		begin = e.free
	}
	tokens, held := 0, true
	for _, p := range j.Parts {
		at, own := e.ready[p.ID]
		own = own && !at.After(begin)
		copied := false
		if source != nil {
			at, there := source.ready[p.ID]
			copied = there && !at.After(now)
		}
		held = held && (own || copied)
		if !held {
			tokens += p.Tokens
		}
	}
	slowness := 1.0
	if e.slowness != nil {
		slowness = e.slowness(begin)
	}
	e.free = begin.Add(copySetupTime + time.Duration(slowness*float64(tokens)/engineSpeed*float64(time.Second)))
	for _, p := range j.Parts {
		if _, known := e.ready[p.ID]; !known {
			e.ready[p.ID] = e.free
		}
	}
	return e.free.Add(engineLatency), tokens
}

func onTime(took []time.Duration) float64 {
	n := 0
	for _, d := range took {
		if d <= firstTokenTarget {
			n++
		}
	}
	return float64(n) / float64(len(took))
}

// TestReplaySteadyLoad replays the usual mix of prompts through six hosts that
// decide independently. It guards against hosts that send to the same engine,
// and against shared parts that several engines compute.
func TestReplaySteadyLoad(t *testing.T) {
	for seed := range uint64(5) {
		arrivals := workload{rng: rand.New(rand.NewPCG(seed, 1))}.arrivals(30 * time.Second)
		took, tokens := replay(arrivals, 6, true)
		warm := slices.IndexFunc(arrivals, func(a arrival) bool { return a.at > 5*time.Second })
		if got := onTime(took[warm:]); got < onTimeShare {
			t.Errorf("seed %d: %.3f on time", seed, got)
		}
		unshared, unsharedTokens := replay(arrivals, 6, false)
		if onTime(unshared) > onTime(took) || unsharedTokens < tokens {
			t.Errorf("seed %d: without reports %.3f on time and %d tokens computed, with them %.3f and %d", seed, onTime(unshared), unsharedTokens, onTime(took), tokens)
		}
	}
}

// TestReplayBurst replays a burst of twice the load for three seconds. It
// guards against a backlog that remains long after the burst.
func TestReplayBurst(t *testing.T) {
	for seed := range uint64(5) {
		l := workload{rng: rand.New(rand.NewPCG(seed, 2)), burst: 2, burstAt: 10 * time.Second, burstFor: 3 * time.Second}
		arrivals := l.arrivals(30 * time.Second)
		took, _ := replay(arrivals, 6, true)
		after := slices.IndexFunc(arrivals, func(a arrival) bool { return a.at > 15*time.Second })
		if got := onTime(took[after:]); got < onTimeShare {
			t.Errorf("seed %d: %.3f on time after the burst", seed, got)
		}
	}
}

// TestSharedPartIsCopied guards against a second prefill of a long shared part
// that another engine already holds.
func TestSharedPartIsCopied(t *testing.T) {
	m := replayModel(replayFleet(4, 1))
	first := prompt(Part{1, 13_000}, Part{2, 1000})
	c, _ := m.ChoosePrefill(first, noneEjected{}, replayStart)
	inFlight, _ := m.BeginSend(endpoint.RolePrefill, first, c, replayStart)
	now := replayStart.Add(c.Expected())
	m.EndSend(inFlight, Completed, now)
	// The engine that holds the part is busy with other work for a second.
	m.ApplyPeerSend(SendReport{EngineID: c.Engine.ID, Role: endpoint.RolePrefill, WorkMicros: 1_000_000}, now)
	got, _ := m.ChoosePrefill(prompt(Part{1, 13_000}, Part{3, 1000}), noneEjected{}, now.Add(10*time.Millisecond))
	if got.Engine.ID == c.Engine.ID || got.Source.ID != c.Engine.ID || got.Uncached != 1000 || got.Copied != 13_000 {
		t.Errorf("choice %+v", got)
	}
}

// TestPartInProgressIsWaitedFor guards against two engines that compute the
// same part at the same time.
func TestPartInProgressIsWaitedFor(t *testing.T) {
	m := replayModel(replayFleet(4, 1))
	first := prompt(Part{1, 13_000}, Part{2, 1000})
	c, _ := m.ChoosePrefill(first, noneEjected{}, replayStart)
	m.BeginSend(endpoint.RolePrefill, first, c, replayStart)
	got, _ := m.ChoosePrefill(prompt(Part{1, 13_000}, Part{3, 1000}), noneEjected{}, replayStart.Add(50*time.Millisecond))
	if got.Engine.ID != c.Engine.ID || got.Uncached != 1000 {
		t.Errorf("choice %+v while %s computes the part", got, c.Engine.ID)
	}
}

// TestTiesAreSpread guards against hosts that decide concurrently and all
// choose the first idle engine.
func TestTiesAreSpread(t *testing.T) {
	chosen := map[string]bool{}
	for i := range uint64(40) {
		c, _ := replayModel(replayFleet(10, 2)).ChoosePrefill(prompt(Part{i, 1000}), noneEjected{}, replayStart)
		chosen[c.Engine.ID] = true
	}
	if len(chosen) < 7 {
		t.Errorf("40 prompts went to %d of 10 engines", len(chosen))
	}
}

// TestBlockedEngineGetsNothing guards against sends to an engine that refuses
// work while it changes its role.
func TestBlockedEngineGetsNothing(t *testing.T) {
	m := replayModel(replayFleet(2, 1))
	m.Block("e00", replayStart.Add(3*time.Second))
	for i := range uint64(10) {
		if c, _ := m.ChoosePrefill(prompt(Part{i, 1000}), noneEjected{}, replayStart); c.Engine.ID == "e00" {
			t.Fatal("a blocked engine was chosen")
		}
	}
	if _, ok := m.ChoosePrefill(prompt(Part{1, 1000}), noneEjected{}, replayStart.Add(3*time.Second)); !ok {
		t.Error("no engine after the block")
	}
}

// TestOverdueSendKeepsWorkAway guards against more prompts for an engine whose
// last answer is overdue.
func TestOverdueSendKeepsWorkAway(t *testing.T) {
	m := replayModel(replayFleet(2, 1))
	job := prompt(Part{1, 1000})
	c, _ := m.ChoosePrefill(job, noneEjected{}, replayStart)
	m.BeginSend(endpoint.RolePrefill, job, c, replayStart)
	late := replayStart.Add(c.Expected() + time.Second)
	for i := range uint64(10) {
		if got, _ := m.ChoosePrefill(prompt(Part{10 + i, 1000}), noneEjected{}, late); got.Engine.ID == c.Engine.ID {
			t.Fatal("the engine with an overdue answer was chosen")
		}
	}
}

// TestRestartedEngineHoldsNothing guards against the assumption that an engine
// keeps its KV cache through a restart.
func TestRestartedEngineHoldsNothing(t *testing.T) {
	members := replayFleet(1, 1)
	m := replayModel(members)
	job := prompt(Part{1, 13_000}, Part{2, 100})
	c, _ := m.ChoosePrefill(job, noneEjected{}, replayStart)
	inFlight, _ := m.BeginSend(endpoint.RolePrefill, job, c, replayStart)
	m.EndSend(inFlight, Completed, replayStart.Add(time.Second))
	restarted := slices.Clone(members)
	restarted[0].StartedMillis++
	m.SetFleet(restarted)
	if got, _ := m.ChoosePrefill(job, noneEjected{}, replayStart.Add(2*time.Second)); got.Uncached != 13_100 {
		t.Errorf("choice %+v", got)
	}
}

// TestFailedSendHoldsNothing guards against the assumption that an engine holds
// parts whose prefill failed.
func TestFailedSendHoldsNothing(t *testing.T) {
	m := replayModel(replayFleet(1, 1))
	job := prompt(Part{1, 13_000}, Part{2, 100})
	c, _ := m.ChoosePrefill(job, noneEjected{}, replayStart)
	inFlight, _ := m.BeginSend(endpoint.RolePrefill, job, c, replayStart)
	m.EndSend(inFlight, Failed, replayStart.Add(50*time.Millisecond))
	got, _ := m.ChoosePrefill(job, noneEjected{}, replayStart.Add(time.Second))
	if got.Uncached != 13_100 || got.Wait != 0 {
		t.Errorf("choice %+v", got)
	}
}

// TestSpeedIsLearned guards against estimates that stay at their defaults
// although the engines are faster or slower.
func TestSpeedIsLearned(t *testing.T) {
	s := newPrefillSpeed()
	factor := 1.0
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		tokens := 200 + rng.IntN(15_000)
		factor = s.observe(tokens, 20*time.Millisecond+time.Duration(float64(tokens)/80_000*float64(time.Second)), factor)
	}
	for _, tokens := range []int{500, 15_000} {
		want := 20*time.Millisecond + time.Duration(float64(tokens)/80_000*float64(time.Second))
		got := s.latency + s.prefillTime(tokens, factor)
		if ratio := float64(got) / float64(want); ratio < 0.9 || ratio > 1.1 {
			t.Errorf("%d tokens: estimated %v, want %v", tokens, got, want)
		}
	}
}

// TestDecodeSpreadsTransfers guards against starting all streams at one engine,
// where they share the link.
func TestDecodeSpreadsTransfers(t *testing.T) {
	members := replayFleet(1, 3)
	m := replayModel(members)
	counts := map[string]int{}
	for i := range uint64(30) {
		job := prompt(Part{i, 17_000})
		c, ok := m.ChooseDecode(job, members[0], noneEjected{}, replayStart)
		if !ok {
			t.Fatal("no engine")
		}
		m.BeginSend(endpoint.RoleDecode, job, c, replayStart)
		counts[c.Engine.ID]++
	}
	for id, n := range counts {
		if n > 20 {
			t.Errorf("%s got %d of 30 streams", id, n)
		}
	}
}

// TestBalancerPrefersIdleAndNear guards against plain requests that queue at
// one endpoint while others are idle, and against requests that cross failure
// domains without need.
func TestBalancerPrefersIdleAndNear(t *testing.T) {
	b := NewBalancer("d0")
	members := replayFleet(4, 0)
	counts := map[string]int{}
	for i := range 12 {
		m, ok := b.Pick(members, nil, noneEjected{}, replayStart)
		if !ok {
			t.Fatal("no endpoint")
		}
		if i == 0 && m.Domain != "d0" {
			t.Errorf("the first request left its domain for %s", m.Domain)
		}
		counts[m.ID]++
	}
	for id, n := range counts {
		if n > 5 {
			t.Errorf("%s got %d of 12", id, n)
		}
	}
	if _, ok := b.Pick(members, []string{"e00", "e01", "e02", "e03"}, noneEjected{}, replayStart); ok {
		t.Error("an excluded endpoint was chosen")
	}
}
