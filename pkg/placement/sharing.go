package placement

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/fairness"
)

const (
	// overloadShare is the part of the target that the shortest backlog of the engines
	// takes under overload.
	overloadShare = 0.25
	// overShareBacklog is the backlog up to which work of a team that is over its share
	// is sent. It is less the further the team is above its share. It is below the
	// error of the estimated backlogs: with 30 ms, or with the backlog of an overload
	// for teams slightly above their share, the other teams are served up to 0.3 less.
	overShareBacklog = lateBacklog / 3
	// aheadShare is the part of the expected time until a job's turn after which its host
	// looks for an engine again. A burst holds thousands of jobs, of which only the first
	// ones need to look often.
	aheadShare = 0.5
	// capacitySpread is the part of the time until there is capacity over which the
	// retries of refused work are spread in addition, and retryJitter the part of that
	// by which callers with the same time left differ.
	capacitySpread = 1.0
	retryJitter    = 0.3
)

// TeamLoad is what decides on work of a team. The zero value is that of engines without
// overload.
type TeamLoad struct {
	fairness.Share
	// Overloaded is set while the engines have more work than they can do in time.
	Overloaded bool
}

// Overloaded reports whether the engines have more work than they can do in time.
// shortest is the shortest backlog of the engines.
func Overloaded(shortest, target time.Duration) bool {
	return target > 0 && shortest > time.Duration(overloadShare*float64(target))
}

// OverShare reports whether work of the team waits for that of the others.
func (t TeamLoad) OverShare() bool { return t.Overloaded && t.Over() }

// HoldTimeOfTeam returns how long a host keeps a job before it looks for an engine
// again, as HoldTime. ahead is the expected time until the held jobs before it have been
// sent.
//
// Load pattern: one of many teams at ten times its usual load. Engines run work in the
// order of arrival, so that without a limit each team is served in proportion to what it
// asks for, and the burst makes the work of all teams late. Under overload the work of a
// team that has had more than its max-min fair share of the recent work therefore waits
// at its host, also if its priority is the most urgent, until an engine is nearly idle.
// Work of the other teams is sent as without overload. The engines stay busy: over-share
// work gets what the others leave.
func HoldTimeOfTeam(u Urgency, late bool, c Choice, t TeamLoad, ahead time.Duration) time.Duration {
	hold := HoldTime(u, late, c)
	if !t.OverShare() {
		return hold
	}
	limit := time.Duration(float64(overShareBacklog) / t.Excess() / float64(1+u.Ranks))
	if c.Wait <= limit {
		return hold
	}
	return max(hold, min(max(c.Wait-limit, time.Duration(aheadShare*float64(ahead)), minHold), maxHold))
}

// RetryAfter returns when a caller whose request cannot be served in its time may
// return. capacity is the time until the backlog has fallen so far that the request
// could be served, left what remains of the time, patience, that the caller waits.
// random is at least 0 and below 1.
//
// Load pattern: a burst, or an outage of some seconds, after which all refused callers
// return at the same moment and make the next overload. Their returns are spread over a
// time as long as that until there is capacity; callers with the least time left, whose
// requests are the oldest, return first.
func RetryAfter(capacity, left, patience time.Duration, random float64) time.Duration {
	position := 0.0
	if patience > 0 {
		position = min(max(float64(left)/float64(patience), 0), 1)
	}
	position = (1-retryJitter)*position + retryJitter*random
	return capacity + time.Duration(capacitySpread*position*float64(capacity))
}
