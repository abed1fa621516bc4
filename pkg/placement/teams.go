package placement

import (
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fairness"
)

const (
	// teamWindow is the time constant of the recent work of the teams. It is longer than
	// the swings of the load, of 2.8 s, and about as long as its bursts, of 5 s.
	teamWindow = 6 * time.Second
	// overloadMemory is how long the engines count as overloaded after the shortest
	// backlog was too long. Over-share work that is sent as soon as the backlog is short
	// makes the next one.
	overloadMemory = time.Second
	// refusedCost is the part of its work that a refused request counts for. Callers that
	// return at once, again and again, thereby use up their own team's share; those that
	// follow Retry-After return up to three times.
	refusedCost = 0.02
)

// Teams is what a host knows of the work that all hosts have recently sent to the
// engines of a service, by team. It is safe for concurrent use.
//
// Work is in milliseconds of an engine. That of this host counts at once, that of the
// others when they report it. A host that is cut off counts its own only.
type Teams struct {
	ledger     *fairness.Ledger
	unreported *fairness.Unreported

	mu           sync.Mutex
	overloadedAt time.Time // guarded by mu; zero if the engines were never overloaded
}

func newTeams() *Teams {
	// The ledger begins its epoch with the first work.
	return &Teams{ledger: fairness.NewLedger(teamWindow, time.Time{}), unreported: fairness.NewUnreported(teamWindow)}
}

// Add counts work that this host has sent for a team. It is negative if the work failed.
func (t *Teams) Add(team string, work time.Duration, now time.Time) {
	ms := work.Seconds() * 1000
	t.ledger.Add(team, ms, now)
	t.unreported.Add(team, ms)
}

// Refused counts a request of a team that was refused under overload, as refusedCost of
// its work.
func (t *Teams) Refused(team string, work time.Duration, now time.Time) {
	if t.Overloaded(now) {
		t.Add(team, time.Duration(refusedCost*float64(work)), now)
	}
}

// AddPeer counts work in milliseconds that another host has sent for a team.
func (t *Teams) AddPeer(team string, ms float64, now time.Time) { t.ledger.AddPeer(team, ms, now) }

// TakeReports returns the work, in milliseconds, of up to limit teams that this host has
// not reported, those with the most work first.
func (t *Teams) TakeReports(limit int, now time.Time) []fairness.TeamWork {
	return t.unreported.Take(limit, now)
}

// Sweep frees the memory of teams without recent work.
func (t *Teams) Sweep(now time.Time) { t.ledger.Sweep(now) }

// Share returns the team's part of the recent work.
func (t *Teams) Share(team string) fairness.Share { return t.ledger.Share(team) }

// Largest returns the n teams with the most recent work, in milliseconds.
func (t *Teams) Largest(n int, now time.Time) []fairness.TeamWork { return t.ledger.Largest(n, now) }

// Load returns what decides on work of a team. shortest is the shortest backlog of the
// engines, target the shortest one of the service's work.
func (t *Teams) Load(team string, shortest, target time.Duration, now time.Time) TeamLoad {
	t.mu.Lock()
	if Overloaded(shortest, target) {
		t.overloadedAt = now
	}
	overloaded := !t.overloadedAt.IsZero() && now.Sub(t.overloadedAt) < overloadMemory
	t.mu.Unlock()
	if !overloaded {
		return TeamLoad{}
	}
	return TeamLoad{Overloaded: true, Share: t.ledger.Share(team)}
}

// Overloaded reports whether the engines count as overloaded.
func (t *Teams) Overloaded(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.overloadedAt.IsZero() && now.Sub(t.overloadedAt) < overloadMemory
}

// TeamWork returns the time that a send takes from the engines of a role. A decode
// occupies the engine's link and one of its slots.
func (m *Model) TeamWork(role endpoint.Role, c Choice) time.Duration {
	if role != endpoint.RoleDecode {
		return c.Work
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(c.Work, c.Decoding/time.Duration(m.slots()))
}
