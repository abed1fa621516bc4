package bench

import (
	"math"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/roles"
)

// Result holds the measurements of one run. Shares are 0 to 1. Counts of
// requests, shares and quantiles outside Timeline cover only the requests that
// arrived after the warm-up.
type Result struct {
	Deployment, Trace, Policy string
	Baseline                  bool
	Seed                      uint64
	// Offered counts requests, Good those answered whole and within target.
	Offered, Good int
	// WorstTeam is the least ratio of a team's goodput to the mean goodput of the
	// teams with the same demand.
	WorstTeam float64
	// RefusedCorrectly and RefusedWrongly count refusals; a refusal is wrong if
	// some engine would have met the target.
	RefusedCorrectly, RefusedWrongly int
	// Lost counts requests that ended without answer or refusal.
	Lost int
	// RoleChanges counts ordered changes, RoleChangesNeeded those that the swings
	// of the mix need, see neededRoleChanges.
	RoleChanges, RoleChangesNeeded int
	// Spend and LeastSpend are in the cost of one standard engine for an hour.
	Spend, LeastSpend float64
	// TolerantOnReclaimable is the share of the admitted tolerant requests that
	// ran on a reclaimable endpoint; MissedAfterReclaim counts requests that
	// missed their target after a reclaim had interrupted them.
	TolerantOnReclaimable float64
	MissedAfterReclaim    int
	// TolerantMet is the share of the admitted tolerant requests within target.
	TolerantMet float64
	// PrefilledTokens counts prefilled tokens, PrefilledAgain those of them that
	// some engine had computed before.
	PrefilledTokens, PrefilledAgain int
	// FirstTokenP95 and BetweenTokensP95 cover the admitted strict requests. A
	// missing first token or an unfinished answer counts as an hour.
	FirstTokenP95, BetweenTokensP95 time.Duration
	// Timeline has one point for every ten seconds, the warm-up included.
	Timeline []Point
}

// Point covers the ten seconds from At. Requests count by their arrival.
type Point struct {
	At            time.Duration
	Offered, Good int
	RoleChanges   int
	FirstTokenP95 time.Duration
}

const pointInterval = 10 * time.Second

// Goodput is the share of the requests that were answered whole and within
// target.
func (r *Result) Goodput() float64 { return float64(r.Good) / float64(max(r.Offered, 1)) }

func newResult(d Deployment, t Trace, p Policy, seed uint64) *Result {
	r := &Result{Deployment: d.Name, Trace: t.Name, Policy: p.Name, Baseline: p.Baseline, Seed: seed}
	for at := time.Duration(0); at < t.Length; at += pointInterval {
		r.Timeline = append(r.Timeline, Point{At: at})
	}
	return r
}

func (r *Result) countRoleChange(now time.Duration) {
	r.RoleChanges++
	if i := int(now / pointInterval); i < len(r.Timeline) {
		r.Timeline[i].RoleChanges++
	}
}

func (s *simulation) meetsTarget(j *job) bool {
	class := s.classes[j.class]
	if j.doneAt == 0 || j.lost {
		return false
	}
	within := func(limit, took time.Duration) bool { return limit == 0 || took <= limit }
	return within(class.FirstToken.Std(), j.firstAt-j.at) &&
		within(class.BetweenTokens.Std(), j.betweenTokens()) &&
		within(class.Completion.Std(), j.doneAt-j.at)
}

// betweenTokens is the mean time between tokens.
func (j *job) betweenTokens() time.Duration {
	if j.doneAt == 0 {
		return noAnswer
	}
	if j.output < 2 {
		return 0
	}
	return (j.doneAt - j.firstAt) / time.Duration(j.output-1)
}

// noAnswer is the latency recorded for a missing answer.
const noAnswer = time.Hour

func (s *simulation) finish() Result {
	r := s.result
	var first, between []time.Duration
	perPoint := make([][]time.Duration, len(r.Timeline))
	perTeam := map[string]*tally{}
	var onReclaimable, tolerant, tolerantMet int
	for _, j := range s.jobs {
		good := s.meetsTarget(j)
		point := &r.Timeline[j.at/pointInterval]
		point.Offered++
		if good {
			point.Good++
		}
		took := noAnswer
		if j.firstAt > 0 {
			took = j.firstAt - j.at
		}
		if j.class == classStrict && j.refused == notRefused {
			perPoint[j.at/pointInterval] = append(perPoint[j.at/pointInterval], took)
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
			between = append(between, j.betweenTokens())
		case classTolerant:
			tolerant++
			if j.ranReclaimable {
				onReclaimable++
			}
			if good {
				tolerantMet++
			}
		}
	}
	for i := range perPoint {
		r.Timeline[i].FirstTokenP95 = quantile(perPoint[i], 0.95)
	}
	r.FirstTokenP95, r.BetweenTokensP95 = quantile(first, 0.95), quantile(between, 0.95)
	r.TolerantOnReclaimable = share(onReclaimable, tolerant)
	r.TolerantMet = share(tolerantMet, tolerant)
	r.WorstTeam = worstTeamRatio(s.dep, s.trace, perTeam)
	r.LeastSpend = s.leastSpend()
	r.RoleChangesNeeded = s.neededRoleChanges()
	return *r
}

func (r *Result) count(j *job, good bool) {
	r.Offered++
	switch {
	case good:
		r.Good++
	case j.refused == refusedCorrectly:
		r.RefusedCorrectly++
	case j.refused == refusedWrongly:
		r.RefusedWrongly++
	case j.lost || j.doneAt == 0:
		r.Lost++
	}
	if !good && j.interrupted {
		r.MissedAfterReclaim++
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

// worstTeamRatio compares teams of equal weight. It leaves out a flooding team,
// because no other team has the same demand.
func worstTeamRatio(d Deployment, t Trace, teams map[string]*tally) float64 {
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

// offeredWork returns the work of the requests in a span, in engines, and the
// tolerant share of it. Each document is prefilled once for the whole fleet,
// the least that any policy could do.
func (s *simulation) offeredWork(from, to time.Duration, seen map[uint64]bool) (work roles.Work, tolerant float64) {
	var tolerantWork, all float64
	for _, j := range s.jobs {
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
		decode := float64(j.output) * decodeStepLimit.Seconds() / streamsAtStepLimit
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

// leastSpend is a lower bound of the sufficient spend: for each minute, the
// fewest engines in their best roles that fit the offered work, the tolerant
// share of them reclaimable, with no start time and no spare capacity.
func (s *simulation) leastSpend() float64 {
	plan := roles.DefaultMixedRolePolicy()
	plan.PrefillUtilization = 1
	seen := map[uint64]bool{}
	total := 0.0
	s.offeredWork(0, warmUp, seen)
	for from := warmUp; from < s.trace.Length; from += time.Minute {
		work, tolerant := s.offeredWork(from, from+time.Minute, seen)
		n := 1
		for n < 100 && plan.Capacity(work, plan.BestPrefillEngines(work, n, n-1), n-plan.BestPrefillEngines(work, n, n-1)) < 1 {
			n++
		}
		total += float64(n) * (1 - tolerant*(1-reclaimableCost)) / 60
	}
	return total
}

// neededRoleChanges counts the role changes that the swings of the mix need: at
// each swing, the difference between the best numbers of prefill engines before
// and after, for the work offered in the minute on either side and the fleet at
// the start, plus the first assignment to the trace's first mix.
func (s *simulation) neededRoleChanges() int {
	plan := roles.DefaultMixedRolePolicy()
	seen := map[uint64]bool{}
	s.offeredWork(0, warmUp, seen)
	limit := s.dep.Engines - len(s.dep.Domains)
	work, _ := s.offeredWork(warmUp, 2*warmUp, seen)
	before := plan.BestPrefillEngines(work, s.dep.Engines, limit)
	needed := before
	for _, swing := range s.trace.Swings {
		work, _ := s.offeredWork(swing, swing+time.Minute, seen)
		after := plan.BestPrefillEngines(work, s.dep.Engines, limit)
		needed += max(after-before, before-after)
		before = after
	}
	return needed
}
