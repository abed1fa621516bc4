package placement

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

const (
	urgentTarget = 400 * time.Millisecond
	longTarget   = 800 * time.Millisecond
	// callerPatience is how long callers wait for the first event.
	callerPatience = 3200 * time.Millisecond
	// urgentOnTimeShare is the share of urgent work that has to meet its target in
	// a burst of other work.
	urgentOnTimeShare = 0.95
)

// longBurst returns short urgent prompts at a constant rate, and long ones whose
// rate is twice what the engines can prefill for four seconds.
func longBurst(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	var out []arrival
	own := uint64(1 << 40)
	for at := time.Duration(0); at < 16*time.Second; {
		longRate := 20.0
		if at > 4*time.Second && at < 8*time.Second {
			longRate = 90
		}
		const shortRate = 150.0
		at += time.Duration(rng.ExpFloat64() / (shortRate + longRate) * float64(time.Second))
		own++
		j := prompt(Part{own, 300})
		if rng.Float64() < longRate/(shortRate+longRate) {
			j = prompt(Part{uint64(rng.IntN(100)), 2000}, Part{own, 6000})
		}
		out = append(out, arrival{at, j})
	}
	return out
}

// heldReplay is the outcome of a replay with hosts that hold work back.
type heldReplay struct {
	urgent, urgentOnTime, long, longOnTime, refused int
	// longestHold is the longest time for which a request was held and then refused.
	longestHold time.Duration
}

// replayHeld runs the arrivals through hosts that hold long prompts back if hold is
// set. A request whose first event is expected after its caller leaves is refused.
func replayHeld(arrivals []arrival, hosts int, hold bool) heldReplay {
	models, engines := replayDeployment(hosts)
	var pending events
	var out heldReplay
	var place func(host int, a arrival, held *HeldJob, now time.Time)
	place = func(host int, a arrival, held *HeldJob, now time.Time) {
		m, arrived := models[host], replayStart.Add(a.at)
		target, u := urgentTarget, Urgency{}
		if len(a.job.Parts) > 1 {
			target = longTarget
			if hold {
				u = Urgency{Ranks: 1, Target: urgentTarget}
			}
		}
		c, _ := m.ChoosePrefill(a.job, noneEjected{}, now)
		waited := now.Sub(arrived)
		late := waited+c.Expected() > target
		expected := waited + c.Expected()
		if u.Ranks > 0 {
			expected += m.HeldWait(late, c.Work, arrived, now, hosts)
		}
		if expected > callerPatience {
			m.Held.Release(held)
			out.refused++
			out.longestHold = max(out.longestHold, waited)
			return
		}
		if d := HoldTime(u, late, c); d > 0 {
			held = m.Held.Hold(held, late, arrived, c.Work)
			heap.Push(&pending, event{now.Sub(replayStart) + d, func(now time.Time) { place(host, a, held, now) }})
			return
		}
		m.Held.Release(held)
		inFlight, sent := m.BeginSend(endpoint.RolePrefill, a.job, c, now)
		done, _ := engines[c.Engine.ID].serve(a.job, engines[c.Source.ID], now)
		onTime := done.Sub(arrived) <= target
		if len(a.job.Parts) > 1 {
			out.long++
			if onTime {
				out.longOnTime++
			}
		} else {
			out.urgent++
			if onTime {
				out.urgentOnTime++
			}
		}
		heap.Push(&pending, event{done.Sub(replayStart), func(now time.Time) { m.EndSend(inFlight, Completed, now) }})
		for other, model := range models {
			if other != host {
				heap.Push(&pending, event{now.Sub(replayStart) + reportDelay, func(now time.Time) { model.ApplyPeerSend(sent, now) }})
			}
		}
	}
	for i, a := range arrivals {
		heap.Push(&pending, event{a.at, func(now time.Time) { place(i%hosts, a, nil, now) }})
	}
	for len(pending) > 0 {
		e := heap.Pop(&pending).(event)
		e.run(replayStart.Add(e.at))
	}
	return out
}

// TestReplayBurstOfLongPrompts replays twice as many long prompts as the engines can
// prefill among short urgent ones. It guards against urgent work that waits behind
// long prompts at each engine, and against long ones that lose by being held.
func TestReplayBurstOfLongPrompts(t *testing.T) {
	for seed := range uint64(5) {
		arrivals := longBurst(seed)
		with, without := replayHeld(arrivals, 6, true), replayHeld(arrivals, 6, false)
		if share := float64(with.urgentOnTime) / float64(with.urgent); share < urgentOnTimeShare {
			t.Errorf("seed %d: %.3f of the urgent prompts on time", seed, share)
		}
		if float64(without.urgentOnTime)/float64(without.urgent) >= urgentOnTimeShare {
			t.Errorf("seed %d: the load does not need held work: %+v", seed, without)
		}
		if with.longOnTime < without.longOnTime {
			t.Errorf("seed %d: %d long prompts on time, %d if none is held", seed, with.longOnTime, without.longOnTime)
		}
		t.Logf("seed %d: held %+v, not held %+v", seed, with, without)
	}
}

// TestHeldWorkIsRefusedEarly guards against requests that are held until their
// callers leave although it was known before that they cannot be served.
func TestHeldWorkIsRefusedEarly(t *testing.T) {
	for seed := range uint64(5) {
		if got := replayHeld(longBurst(seed), 6, true); got.refused == 0 || got.longestHold > longTarget {
			t.Errorf("seed %d: %d refused, the last after %v", seed, got.refused, got.longestHold)
		}
	}
}

// TestMostUrgentWorkIsNotHeld guards against holding work that has nothing to wait
// for.
func TestMostUrgentWorkIsNotHeld(t *testing.T) {
	busy := Choice{Wait: 5 * time.Second}
	if d := HoldTime(Urgency{}, true, busy); d != 0 {
		t.Errorf("held for %v", d)
	}
	if d := HoldTime(Urgency{Ranks: 1, Target: urgentTarget}, false, Choice{Wait: 50 * time.Millisecond}); d != 0 {
		t.Errorf("held for %v before a short backlog", d)
	}
	if d := HoldTime(Urgency{Ranks: 1, Target: urgentTarget}, false, busy); d <= 0 || d > maxHold {
		t.Errorf("held for %v before a long backlog", d)
	}
}
