package placement

import (
	"sync"
	"time"
)

const (
	// backlogShare is the part of the shortest target among more urgent work that
	// the backlog of an engine may take before less urgent work is held back.
	backlogShare = 0.25
	// lateBacklog is the backlog up to which work that has missed its target is
	// sent: it must not make other work late.
	lateBacklog = 30 * time.Millisecond
	// minHold and maxHold bound the time until a held job looks for an engine again.
	// Engines become free earlier than expected when sends fail.
	minHold = 10 * time.Millisecond
	maxHold = 100 * time.Millisecond
	// excessBand is the ratio of the excess of two teams below which the order of their
	// work does not depend on it. The teams' work is known with a delay.
	excessBand = 1.25
)

// Urgency is the rank of a job among the work of its service.
type Urgency struct {
	// Ranks is the number of more urgent priorities that the service has. Their
	// work has the Target, the shortest one.
	Ranks  int
	Target time.Duration
}

// HoldTime returns how long a host keeps a job before it looks for an engine again.
// Zero means that the job is to be sent to the engine of the choice now.
//
// Load pattern: more long prompts than the engines can prefill, among short urgent
// ones. An engine runs prefills in the order of arrival, whatever their priority. A
// backlog of long prompts at each engine makes all urgent ones late, and a prompt
// that waits there cannot move to an engine that becomes free. Less urgent work
// therefore waits at its host while the shortest backlog is a considerable part of
// the urgent work's target, and work that has missed its target waits until an
// engine is nearly idle. The most urgent work is not held here; see HoldTimeOfTeam.
func HoldTime(u Urgency, late bool, c Choice) time.Duration {
	if u.Ranks <= 0 {
		return 0
	}
	limit := time.Duration(backlogShare * float64(u.Target) / float64(u.Ranks))
	if late {
		limit = min(limit, lateBacklog)
	}
	if c.Wait <= limit {
		return 0
	}
	return min(max(c.Wait-limit, minHold), maxHold)
}

// HeldJob is a job that its host holds back.
type HeldJob struct {
	late bool
	// excess is that of the job's team, fairness.Share.Excess, if the team is over its
	// share, zero if not. ranks is then that of the job's Urgency.
	excess  float64
	ranks   int
	arrived time.Time
	work    time.Duration
}

// HoldQueue is the set of jobs that a host holds back. It is safe for concurrent
// use.
type HoldQueue struct {
	mu   sync.Mutex
	jobs map[*HeldJob]struct{} // guarded by mu
}

// Hold adds a job, or updates it if it is held already. job is nil for a new one.
// work is the time for which the job would occupy an engine.
func (q *HoldQueue) Hold(job *HeldJob, late bool, arrived time.Time, work time.Duration) *HeldJob {
	return q.hold(job, HeldJob{late: late, arrived: arrived, work: work})
}

// HoldOverShare is Hold for a job of a team that is over its share.
func (q *HoldQueue) HoldOverShare(job *HeldJob, t TeamLoad, u Urgency, late bool, arrived time.Time, work time.Duration) *HeldJob {
	return q.hold(job, HeldJob{late: late, excess: t.Excess(), ranks: u.Ranks, arrived: arrived, work: work})
}

func (q *HoldQueue) hold(job *HeldJob, state HeldJob) *HeldJob {
	q.mu.Lock()
	defer q.mu.Unlock()
	if job == nil {
		job = &HeldJob{}
		if q.jobs == nil {
			q.jobs = map[*HeldJob]struct{}{}
		}
		q.jobs[job] = struct{}{}
	}
	*job = state
	return job
}

// Release removes a job that was sent or refused. A nil job is ignored.
func (q *HoldQueue) Release(job *HeldJob) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.jobs, job)
}

// Ahead returns the work of the held jobs that are sent before one that arrived at
// a time. Jobs that can still meet their target come first, then the others, each
// in the order of arrival: a late job that has waited longest is the next that its
// caller gives up. Jobs of teams over their share come after all others.
func (q *HoldQueue) Ahead(late bool, arrived time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	var ahead time.Duration
	for job := range q.jobs {
		if job.excess > 0 {
			continue
		}
		if job.late == late && job.arrived.Before(arrived) || late && !job.late {
			ahead += job.work
		}
	}
	return ahead
}

// AheadOverShare returns the work of the held jobs that are sent before one of a team
// that is over its share: all jobs of teams within their share, those of teams that are
// clearly less above theirs, then the more urgent ones, and among equally urgent ones as
// in Ahead.
func (q *HoldQueue) AheadOverShare(t TeamLoad, u Urgency, late bool, arrived time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	own := HeldJob{late: late, excess: t.Excess(), ranks: u.Ranks, arrived: arrived}
	var ahead time.Duration
	for job := range q.jobs {
		if job.before(&own) {
			ahead += job.work
		}
	}
	return ahead
}

// before reports whether the job is sent before another one, whose team is over its
// share.
func (j *HeldJob) before(other *HeldJob) bool {
	switch {
	case j.excess*excessBand < other.excess:
		return true
	case other.excess*excessBand < j.excess:
		return false
	case j.ranks != other.ranks:
		return j.ranks < other.ranks
	case j.late != other.late:
		return !j.late
	}
	return j.arrived.Before(other.arrived)
}
