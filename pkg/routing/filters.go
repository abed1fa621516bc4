package routing

import (
	"slices"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// filterByStatus keeps, in place, the candidates whose status satisfies ok.
func filterByStatus(snap *Snapshot, candidates []Candidate, ok func(st *endpoint.Status) bool) []Candidate {
	kept := candidates[:0]
	for _, c := range candidates {
		if ok(&snap.Endpoints[c.Index]) {
			kept = append(kept, c)
		}
	}
	return kept
}

// Available keeps endpoints that take new work: live, not paused, not excluded by
// the request and, for engines, with a load report and not draining.
type Available struct{}

// Filter implements Filter.
func (Available) Filter(req Request, snap *Snapshot, candidates []Candidate) []Candidate {
	return filterByStatus(snap, candidates, func(st *endpoint.Status) bool {
		return available(*st) && !slices.Contains(req.Exclude, st.ID)
	})
}

// Serves keeps the endpoints of the request's service or, for model work, the
// engines with its model and version.
type Serves struct{}

// Filter implements Filter.
func (Serves) Filter(req Request, snap *Snapshot, candidates []Candidate) []Candidate {
	return filterByStatus(snap, candidates, func(st *endpoint.Status) bool { return serves(req, st) })
}

func serves(req Request, st *endpoint.Status) bool {
	if req.Service != "" || !st.IsEngine() {
		return st.Service == req.Service
	}
	return st.Load.Model == req.Model && (req.Version == "" || st.Load.Version == req.Version)
}

// NotLeaving removes, for work that must run at most once, endpoints that have an
// announced leave time, whatever their state. It keeps all for repeatable work.
type NotLeaving struct{}

// Filter implements Filter.
func (NotLeaving) Filter(req Request, snap *Snapshot, candidates []Candidate) []Candidate {
	if req.Repeatable {
		return candidates
	}
	return filterByStatus(snap, candidates, func(st *endpoint.Status) bool { return st.LeaveAtMillis == 0 })
}

// AvoidReclaimable removes reclaimable endpoints for strict work, if one of the
// others is expected to meet the class's limits.
type AvoidReclaimable struct{}

// Filter implements Filter.
func (AvoidReclaimable) Filter(req Request, snap *Snapshot, candidates []Candidate) []Candidate {
	if req.Tolerant {
		return candidates
	}
	for _, c := range candidates {
		if !snap.Endpoints[c.Index].Reclaimable && c.Estimate.Meets(req) {
			return filterByStatus(snap, candidates, func(st *endpoint.Status) bool { return !st.Reclaimable })
		}
	}
	return candidates
}

// PreferReclaimable keeps only reclaimable endpoints for tolerant, repeatable
// work, if one of them is expected to meet the class's limits.
type PreferReclaimable struct{}

// Filter implements Filter.
func (PreferReclaimable) Filter(req Request, snap *Snapshot, candidates []Candidate) []Candidate {
	if !req.Tolerant || !req.Repeatable {
		return candidates
	}
	for _, c := range candidates {
		if snap.Endpoints[c.Index].Reclaimable && c.Estimate.Meets(req) {
			return filterByStatus(snap, candidates, func(st *endpoint.Status) bool { return st.Reclaimable })
		}
	}
	return candidates
}

// Paced removes endpoints that have just started or recovered and are to get no more
// requests, if one of the others is expected to meet the class's limits.
type Paced struct{}

// Filter implements Filter.
func (Paced) Filter(req Request, snap *Snapshot, candidates []Candidate) []Candidate {
	if snap.Full == nil {
		return candidates
	}
	full := snap.Full(len(candidates), func(i int) string { return snap.Endpoints[candidates[i].Index].ID })
	inTime := false
	for i, c := range candidates {
		inTime = inTime || full != nil && !full[i] && c.Estimate.Meets(req)
	}
	if !inTime {
		return candidates
	}
	kept := candidates[:0]
	for i, c := range candidates {
		if !full[i] {
			kept = append(kept, c)
		}
	}
	return kept
}

// Meets reports whether the estimate is within the request's first-token and
// between-token limits. A limit of zero is always met.
func (e Estimate) Meets(req Request) bool {
	return (req.FirstToken == 0 || e.FirstToken <= req.FirstToken) &&
		(req.BetweenTokens == 0 || e.BetweenTokens <= req.BetweenTokens)
}
