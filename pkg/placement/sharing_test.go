package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fairness"
)

const (
	// largeTeams of teams have largeWeight times the usual load of the others.
	teams, largeTeams, largeWeight = 75, 5, 10.0
	// shareTolerance is by how much a team may be served less than without the burst of
	// another one.
	shareTolerance = 0.05
	// teamReplayHosts is the number of hosts, teamReportDelay the usual age of the work of
	// another host.
	teamReplayHosts = 6
	teamReportDelay = 300 * time.Millisecond
	teamReplayTime  = 40 * time.Second
)

// teamArrival is a request of a team.
type teamArrival struct {
	arrival
	team   int
	urgent bool
}

// teamLoad returns the load of the teams: short urgent prompts and long ones, of which by
// turns one class has swing times its usual rate for 2.8 s, and long prompts twice their
// usual rate for 5 s from the tenth second on. The team burst, unless negative, has ten
// times its usual load from the fifth second on. The usual load takes about a third of
// the engines, more while they cache nothing.
func teamLoad(seed uint64, swing float64, burst int) []teamArrival {
	var out []teamArrival
	own := uint64(1 << 40)
	for team := range teams {
		rng := rand.New(rand.NewPCG(seed, uint64(team)))
		weight := 1.0
		if team < largeTeams {
			weight = largeWeight
		}
		weight /= teams - largeTeams + largeTeams*largeWeight
		for at := time.Duration(0); at < teamReplayTime; {
			short, long := 120.0, 16.0
			if phase := int(at / (2800 * time.Millisecond)); phase%2 == 0 {
				short *= swing
			} else {
				long *= swing
			}
			if at >= 10*time.Second && at < 15*time.Second {
				long *= 2 / swing
			}
			rate := weight * (short + long)
			if team == burst && at >= 5*time.Second {
				rate *= 10
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			own++
			a := teamArrival{team: team, urgent: rng.Float64() < short/(short+long)}
			a.arrival = arrival{at, prompt(Part{own, 700})}
			if !a.urgent {
				a.job = prompt(Part{uint64(rng.IntN(100)), 13_300}, Part{own, 3700})
			}
			out = append(out, a)
		}
	}
	return out
}

// teamResult counts requests, by team those that were served within their target, and by
// class (1 is the urgent one) those of teams without a burst that were served at all.
type teamResult struct {
	all, onTime           [teams]int
	classAll, classServed [2]int
}

// served returns the part of a class that was served.
func (r *teamResult) served(class int) float64 {
	return float64(r.classServed[class]) / float64(r.classAll[class])
}

// onTimeShare returns the part of a team's requests that were served within their target.
func (r *teamResult) onTimeShare(team int) float64 {
	return float64(r.onTime[team]) / float64(r.all[team])
}

// replay runs the arrivals through hosts that know the teams if sharing is set, and adds
// the results. Refused callers return after RetryAfter while they have time.
func (r *teamResult) replay(arrivals []teamArrival, burst int, sharing bool) {
	models, engines := replayDeployment(teamReplayHosts)
	var pending events
	at := func(t time.Time, run func(now time.Time)) { heap.Push(&pending, event{t.Sub(replayStart), run}) }
	rng := rand.New(rand.NewPCG(1, 4))
	var place func(host int, a teamArrival, arrived time.Time, held *HeldJob, now time.Time)
	place = func(host int, a teamArrival, arrived time.Time, held *HeldJob, now time.Time) {
		m, name := models[host], fmt.Sprint(a.team)
		target, u := urgentTarget, Urgency{}
		if !a.urgent {
			target, u = longTarget, Urgency{Ranks: 1, Target: urgentTarget}
		}
		c, _ := m.ChoosePrefill(a.job, noneEjected{}, now)
		var load TeamLoad
		if sharing {
			load = m.Teams.Load(name, c.Shortest, urgentTarget, now)
		}
		waited := now.Sub(arrived)
		late := waited+c.Expected() > target
		wait := c.Expected()
		switch {
		case load.OverShare():
			wait += m.HeldWaitOfTeam(load, u, late, c.Work, arrived, now, teamReplayHosts)
		case u.Ranks > 0:
			wait += m.HeldWait(late, c.Work, arrived, now, teamReplayHosts)
		}
		if left := callerPatience - waited; wait > left {
			m.Held.Release(held)
			if sharing {
				m.Teams.Refused(name, c.Work, now)
			}
			after := max(wait-left, 400*time.Millisecond)
			if sharing {
				after = RetryAfter(after, left, callerPatience, rng.Float64())
			}
			if sum := now.Sub(replayStart) - a.at; sum+after < callerPatience {
				after = min(after, (callerPatience-sum)/3)
				at(now.Add(after), func(now time.Time) { place(rng.IntN(teamReplayHosts), a, now, nil, now) })
			}
			return
		}
		if d := HoldTimeOfTeam(u, late, c, load, wait-c.Expected()); d > 0 {
			if load.OverShare() {
				held = m.Held.HoldOverShare(held, load, u, late, arrived, c.Work)
			} else {
				held = m.Held.Hold(held, late, arrived, c.Work)
			}
			at(now.Add(d), func(now time.Time) { place(host, a, arrived, held, now) })
			return
		}
		m.Held.Release(held)
		inFlight, sent := m.BeginSend(endpoint.RolePrefill, a.job, c, now)
		m.Teams.Add(name, c.Work, now)
		done, _ := engines[c.Engine.ID].serve(a.job, engines[c.Source.ID], now)
		took := done.Sub(replayStart) - a.at
		if took <= target {
			r.onTime[a.team]++
		}
		if a.team != burst && took <= callerPatience {
			r.classServed[class(a)]++
		}
		at(done, func(now time.Time) { m.EndSend(inFlight, Completed, now) })
		for other, model := range models {
			if other != host {
				at(now.Add(reportDelay), func(now time.Time) { model.ApplyPeerSend(sent, now) })
				at(now.Add(teamReportDelay), func(now time.Time) { model.Teams.AddPeer(name, c.Work.Seconds()*1000, now) })
			}
		}
	}
	for _, a := range arrivals {
		r.all[a.team]++
		if a.team != burst {
			r.classAll[class(a)]++
		}
		at(replayStart.Add(a.at), func(now time.Time) { place(rng.IntN(teamReplayHosts), a, now, nil, now) })
	}
	for len(pending) > 0 {
		e := heap.Pop(&pending).(event)
		e.run(replayStart.Add(e.at))
	}
}

func class(a teamArrival) int {
	if a.urgent {
		return 1
	}
	return 0
}

// largestLoss returns the greatest part that a team other than burst is served less than
// before, and that team.
func (r *teamResult) largestLoss(before *teamResult, burst int) (loss float64, team int) {
	for t := range teams {
		if l := before.onTimeShare(t) - r.onTimeShare(t); t != burst && l > loss {
			loss, team = l, t
		}
	}
	return loss, team
}

// TestBurstOfOneTeam replays the load of 75 teams with one large team at ten times its
// usual load. It guards against a burst whose cost falls on the other teams, and against
// urgent work that is served less often than other work. The load is that of three
// pieces of a day.
func TestBurstOfOneTeam(t *testing.T) {
	for _, swing := range []float64{1.5, 2} {
		var usual, with, without teamResult
		for seed := range uint64(3) {
			usual.replay(teamLoad(seed, swing, -1), -1, true)
			with.replay(teamLoad(seed, swing, 0), 0, true)
			without.replay(teamLoad(seed, swing, 0), 0, false)
		}
		loss, team := with.largestLoss(&usual, 0)
		lossWithout, _ := without.largestLoss(&usual, 0)
		t.Logf("swing %.1f: the largest loss is %.3f, without sharing %.3f; of the burst %.3f is on time, without sharing %.3f; of the others' urgent requests %.4f are served, of their other ones %.4f",
			swing, loss, lossWithout, with.onTimeShare(0), without.onTimeShare(0), with.served(1), with.served(0))
		if loss > shareTolerance {
			t.Errorf("swing %.1f: team %d is served %.3f less", swing, team, loss)
		}
		if lossWithout <= shareTolerance {
			t.Errorf("swing %.1f: the load needs no sharing", swing)
		}
		if with.served(1) < with.served(0) {
			t.Errorf("swing %.1f: %.4f of the urgent requests are served, %.4f of the others", swing, with.served(1), with.served(0))
		}
	}
}

// TestSharingNeedsOverload guards against work that is held although the engines can do
// it, and against work of teams within their share that is held under overload.
func TestSharingNeedsOverload(t *testing.T) {
	over := fairness.Share{Part: 0.5, Fair: 0.1, Teams: 10}
	within := fairness.Share{Part: 0.05, Fair: 0.1, Teams: 10}
	busy := Choice{Wait: 90 * time.Millisecond}
	if d := HoldTimeOfTeam(Urgency{}, false, busy, TeamLoad{Share: over}, 0); d != 0 {
		t.Errorf("held for %v without overload", d)
	}
	if d := HoldTimeOfTeam(Urgency{}, false, busy, TeamLoad{Share: within, Overloaded: true}, 0); d != 0 {
		t.Errorf("a team within its share is held for %v", d)
	}
	if d := HoldTimeOfTeam(Urgency{}, false, busy, TeamLoad{Share: over, Overloaded: true}, 0); d <= 0 {
		t.Error("the most urgent work of a team over its share is not held")
	}
	if d := HoldTimeOfTeam(Urgency{}, false, Choice{}, TeamLoad{Share: over, Overloaded: true}, 0); d != 0 {
		t.Errorf("held for %v before an idle engine", d)
	}
}

// TestReturnsAreSpread guards against refused callers that return together or before
// there is capacity, and against newer requests that return before older ones.
func TestReturnsAreSpread(t *testing.T) {
	const capacity = time.Second
	first := RetryAfter(capacity, 0, callerPatience, 0)
	last := RetryAfter(capacity, callerPatience, callerPatience, 0.999)
	if first != capacity || last < 19*capacity/10 {
		t.Errorf("callers return from %v to %v", first, last)
	}
	if old, recent := RetryAfter(capacity, time.Second, callerPatience, 0.9), RetryAfter(capacity, 3*time.Second, callerPatience, 0.1); old >= recent {
		t.Errorf("the older one returns after %v, the newer one after %v", old, recent)
	}
}

// TestRefusedReturnsCountForTheirTeam guards against callers that return at once, again
// and again, and so get more chances than those of a team that waits. Without overload a
// refusal has other causes.
func TestRefusedReturnsCountForTheirTeam(t *testing.T) {
	const work = 100 * time.Millisecond
	for _, overloaded := range []bool{true, false} {
		teams := newTeams()
		if overloaded {
			teams.Load("", urgentTarget, urgentTarget, replayStart)
		}
		for range 10 {
			teams.Add("patient", work, replayStart)
			teams.Add("impatient", work, replayStart)
		}
		for range 500 {
			teams.Refused("impatient", work, replayStart)
		}
		if got := teams.Share("impatient").Over(); got != overloaded {
			t.Errorf("overloaded %t: the team whose callers return at once is over its share: %t", overloaded, got)
		}
	}
}
