package fairness

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// minUnreported is the work below which that of a team is not reported and, unless it
// grows, forgotten.
const minUnreported = 0.1

// TeamWork is work of one team.
type TeamWork struct {
	Team string
	Work float64
}

// Unreported holds the work by team that a host has not reported to the other hosts. It
// is safe for concurrent use.
type Unreported struct {
	window time.Duration

	mu      sync.Mutex
	work    map[string]float64 // guarded by mu
	takenAt time.Time          // guarded by mu; zero before the first Take
}

// NewUnreported returns an empty set. Work that is not reported decays with the time
// constant window, as in the ledgers that would count it.
func NewUnreported(window time.Duration) *Unreported {
	return &Unreported{window: window, work: map[string]float64{}}
}

// Add adds work, which may be negative to correct an earlier call.
func (u *Unreported) Add(team string, work float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work[team] += work
}

// Take removes the work of up to limit teams, those with the most work, and returns it.
// That of the others remains.
func (u *Unreported) Take(limit int, now time.Time) []TeamWork {
	u.mu.Lock()
	defer u.mu.Unlock()
	keep := 1.0
	if !u.takenAt.IsZero() {
		keep = math.Exp(-now.Sub(u.takenAt).Seconds() / u.window.Seconds())
	}
	u.takenAt = now
	list := make([]TeamWork, 0, len(u.work))
	for team, work := range u.work {
		if work > minUnreported {
			list = append(list, TeamWork{team, work})
		}
	}
	sortByWork(list)
	out := list[:min(max(limit, 0), len(list))]
	for _, w := range out {
		delete(u.work, w.Team)
	}
	for team := range u.work {
		if u.work[team] *= keep; math.Abs(u.work[team]) < minUnreported {
			delete(u.work, team)
		}
	}
	return out
}

// sortByWork sorts teams by their work, the most first.
func sortByWork(list []TeamWork) {
	slices.SortFunc(list, func(a, b TeamWork) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Team, b.Team)) })
}
