package bench

import (
	"math"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/roles"
)

// Result is what one run measured. Shares are 0 to 1 and cover the requests
// that arrived after the warm-up.
type Result struct {
	Deployment, Trace, Policy string
	Baseline                  bool
	Seed                      uint64
	// Offered counts requests, Good those answered whole and within target.
	Offered, Good int
	// WorstTeam is the least ratio of a team's goodput to the mean goodput of the
	// teams with the same demand.
	WorstTeam float64
	// RefusedHonest and RefusedWrong count refusals; a wrong one was made
	// although some engine would have met the target.
	RefusedHonest, RefusedWrong int
	// Lost counts requests that ended without answer or refusal.
	Lost int
	// RoleChanges counts ordered changes, RoleChangesNeeded what the swings of
	// the mix need, see neededChanges.
	RoleChanges, RoleChangesNeeded int
	// Spend and LeastSpend are in the cost of one standard engine for an hour.
	Spend, LeastSpend float64
	// TolerantOnCheap is the share of the admitted tolerant requests that ran on
	// a reclaimable endpoint; CheapHarm counts requests that missed their target
	// after a reclaim had interrupted them.
	TolerantOnCheap float64
	CheapHarm       int
	// TolerantMet is the share of the admitted tolerant requests within target.
	TolerantMet float64
	// PrefilledTokens counts prompt tokens computed, PrefilledTwice those of them
	// that some engine had computed before.
	PrefilledTokens, PrefilledTwice int
	// FirstTokenP95 and BetweenP95 are of the admitted strict requests. A request
	// that was lost or not finished counts as the longest.
	FirstTokenP95, BetweenP95 time.Duration
	// Timeline has one point for each ten seconds.
	Timeline []Point
}

// Point is ten seconds of a run.
type Point struct {
	At            time.Duration
	Offered, Good int
	RoleChanges   int
	FirstTokenP95 time.Duration
}

const pointSpan = 10 * time.Second

// Goodput is the share of the requests that were whole and within target.
func (r *Result) Goodput() float64 { return float64(r.Good) / float64(max(r.Offered, 1)) }

func newResult(d Deployment, t Trace, p Policy, seed uint64) *Result {
	r := &Result{Deployment: d.Name, Trace: t.Name, Policy: p.Name, Baseline: p.Baseline, Seed: seed}
	for at := time.Duration(0); at < t.Length; at += pointSpan {
		r.Timeline = append(r.Timeline, Point{At: at})
	}
	return r
}

func (r *Result) countRoleChange(now time.Duration) {
	r.RoleChanges++
	if i := int(now / pointSpan); i < len(r.Timeline) {
		r.Timeline[i].RoleChanges++
	}
}

func (w *world) good(j *job) bool {
	class := w.classes[j.class]
	if j.doneAt == 0 || j.lost {
		return false
	}
	within := func(limit, took time.Duration) bool { return limit == 0 || took <= limit }
	return within(class.FirstToken.Std(), j.firstAt-j.at) &&
		within(class.BetweenTokens.Std(), j.between()) &&
		within(class.Completion.Std(), j.doneAt-j.at)
}

// between is the mean time between tokens.
func (j *job) between() time.Duration {
	if j.doneAt == 0 {
		return never
	}
	if j.output < 2 {
		return 0
	}
	return (j.doneAt - j.firstAt) / time.Duration(j.output-1)
}

// never stands for an answer that did not come.
const never = time.Hour

func (w *world) finish() Result {
	r := w.result
	var first, between []time.Duration
	perPoint := make([][]time.Duration, len(r.Timeline))
	perTeam := map[string]*tally{}
	var cheap, tolerant, tolerantMet int
	for _, j := range w.jobs {
		good := w.good(j)
		point := &r.Timeline[j.at/pointSpan]
		point.Offered++
		if good {
			point.Good++
		}
		took := never
		if j.firstAt > 0 {
			took = j.firstAt - j.at
		}
		if j.class == classStrict && j.refused == notRefused {
			perPoint[j.at/pointSpan] = append(perPoint[j.at/pointSpan], took)
		}
		if !j.counted {
			continue
		}
		r.count(j, good)
		count(perTeam, j.team, good)
		if j.refused != notRefused {
			continue
		}
		switch j.class {
		case classStrict:
			first = append(first, took)
			between = append(between, j.between())
		case classTolerant:
			tolerant++
			if j.onCheap {
				cheap++
			}
			if good {
				tolerantMet++
			}
		}
	}
	for i := range perPoint {
		r.Timeline[i].FirstTokenP95 = quantile(perPoint[i], 0.95)
	}
	r.FirstTokenP95, r.BetweenP95 = quantile(first, 0.95), quantile(between, 0.95)
	r.TolerantOnCheap = share(cheap, tolerant)
	r.TolerantMet = share(tolerantMet, tolerant)
	r.WorstTeam = worst(w.dep, w.trace, perTeam)
	r.LeastSpend = w.leastSpend()
	r.RoleChangesNeeded = w.neededChanges()
	return *r
}

func (r *Result) count(j *job, good bool) {
	r.Offered++
	switch {
	case good:
		r.Good++
	case j.refused == refusedHonest:
		r.RefusedHonest++
	case j.refused == refusedWrong:
		r.RefusedWrong++
	case j.lost || j.doneAt == 0:
		r.Lost++
	}
	if !good && j.interrupted {
		r.CheapHarm++
	}
}

type tally struct{ offered, good int }

func count(teams map[string]*tally, team string, good bool) {
	if teams[team] == nil {
		teams[team] = &tally{}
	}
	teams[team].offered++
	if good {
		teams[team].good++
	}
}

// worst compares the teams of equal weight. A flooding team has a demand of its
// own and is compared with nobody.
func worst(d Deployment, t Trace, teams map[string]*tally) float64 {
	groups := map[float64][]float64{}
	for i, team := range d.Teams {
		if t.Flood > 0 && i == floodingTeam || teams[team.Name] == nil {
			continue
		}
		g := teams[team.Name]
		groups[team.Weight] = append(groups[team.Weight], share(g.good, g.offered))
	}
	least := 1.0
	for _, shares := range groups {
		if mean := sum(shares) / float64(len(shares)); mean > 0 {
			least = min(least, slices.Min(shares)/mean)
		}
	}
	return least
}

func share(a, b int) float64 { return float64(a) / float64(max(b, 1)) }

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(math.Ceil(q*float64(len(values))))-1)]
}

// offeredWork is the work of the requests in a span, in engines: every document
// is prefilled once for the whole fleet, the least that any policy could do.
func (w *world) offeredWork(from, to time.Duration, seen map[uint64]bool) (work roles.Work, tolerant float64) {
	var tolerantWork, all float64
	for _, j := range w.jobs {
		if j.at < from || j.at >= to || j.class == classOrder {
			continue
		}
		tokens := j.prompt
		for _, hash := range j.chain {
			if seen[hash] {
				tokens -= prefix.ChunkTokens
			}
			seen[hash] = true
		}
		prefill := float64(tokens) / prefillRate
		decode := float64(j.output) * decodeStepLimit.Seconds() / outputAtLimit
		work.Prefill += prefill
		work.Decode += decode
		all += prefill + decode
		if j.class == classTolerant {
			tolerantWork += prefill + decode
		}
	}
	span := (to - from).Seconds()
	work.Prefill /= span
	work.Decode /= span
	return work, tolerantWork / max(all, 1e-9)
}

// leastSpend is a lower bound of the spend that would have sufficed: for each
// minute, the fewest engines in their best roles that fit the offered work, the
// tolerant part of them of the cheaper kind, with no time to start and none to
// spare.
func (w *world) leastSpend() float64 {
	plan := roles.DefaultMixedRolePolicy()
	plan.PrefillUtilization = 1
	seen := map[uint64]bool{}
	total := 0.0
	w.offeredWork(0, warmUp, seen)
	for from := warmUp; from < w.trace.Length; from += time.Minute {
		work, tolerant := w.offeredWork(from, from+time.Minute, seen)
		n := 1
		for n < 100 && plan.Capacity(work, plan.BestPrefillEngines(work, n, n-1), n-plan.BestPrefillEngines(work, n, n-1)) < 1 {
			n++
		}
		total += float64(n) * (1 - tolerant*(1-spotCost)) / 60
	}
	return total
}

// neededChanges counts the role changes that the swings of the mix need: at
// each swing, the difference between the best numbers of prefill engines before
// and after, for the work offered in the minute on either side and the fleet at
// the start, plus the first assignment to the trace's first mix.
func (w *world) neededChanges() int {
	plan := roles.DefaultMixedRolePolicy()
	seen := map[uint64]bool{}
	w.offeredWork(0, warmUp, seen)
	limit := w.dep.Runners - len(w.dep.Domains)
	work, _ := w.offeredWork(warmUp, 2*warmUp, seen)
	before := plan.BestPrefillEngines(work, w.dep.Runners, limit)
	needed := before
	for _, swing := range w.trace.Swings {
		work, _ := w.offeredWork(swing, swing+time.Minute, seen)
		after := plan.BestPrefillEngines(work, w.dep.Runners, limit)
		needed += max(after-before, before-after)
		before = after
	}
	return needed
}
