package placement

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/pace"
)

const (
	// From these windows on, in requests of all hosts in flight, a limit makes no
	// difference. A prefill engine is busy with one prompt and has a queue with
	// more, a decode engine runs 64 streams, a plain endpoint 6 requests.
	usualPrefill = 8
	usualDecode  = 32
	usualPlain   = 12
)

// PaceEndpoint describes an endpoint to a limiter.
func PaceEndpoint(m fleet.Member) pace.Endpoint {
	usual := usualPlain
	switch m.Role {
	case endpoint.RolePrefill:
		usual = usualPrefill
	case endpoint.RoleDecode:
		usual = usualDecode
	}
	return pace.Endpoint{Service: m.Service, ID: m.ID, Usual: usual}
}

// selection finds the engine with the least cost among those with room in their
// window, and the one among those without.
type selection struct {
	limiter *pace.Limiter
	// full says which candidates get no more requests; nil if none is limited.
	full             []bool
	best, bestFull   Choice
	cost, costOfFull time.Duration
	found, foundFull bool
}

// newSelection returns a selection among candidates. It must be called with mu held.
func (m *Model) newSelection(candidates []*engine, now time.Time) selection {
	return selection{limiter: m.limiter, full: m.limiter.Full(len(candidates), func(i int) (string, int) {
		return candidates[i].member.ID, len(candidates[i].inFlight)
	}, now)}
}

// add adds the choice of the candidate with the index i.
func (s *selection) add(i int, c Choice, cost time.Duration) {
	if s.full != nil && s.full[i] {
		if !s.foundFull || cost < s.costOfFull {
			s.bestFull, s.costOfFull, s.foundFull = c, cost, true
		}
		return
	}
	if !s.found || cost < s.cost {
		s.best, s.cost, s.found = c, cost, true
	}
}

// choose returns the best choice. An engine with a full window is chosen only if no
// other can take the job, or if the job would be late there and sooner complete at
// the one with the full window.
func (s *selection) choose(job Job, now time.Time) (Choice, bool) {
	if !s.found || !s.foundFull {
		if s.found {
			return s.best, true
		}
		return s.bestFull, s.foundFull
	}
	late := !job.Due.IsZero() && now.Add(s.best.Expected()).After(job.Due)
	if late && s.bestFull.Expected() < s.best.Expected() {
		s.limiter.Beyond.Add(1)
		return s.bestFull, true
	}
	if s.costOfFull < s.cost {
		s.limiter.Passed.Add(1)
	}
	return s.best, true
}
