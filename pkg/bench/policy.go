package bench

import (
	"math/rand/v2"
	"time"

	"github.com/clementineshed/clementineshed/pkg/admission"
	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/routing"
)

// Policy is a combination of strategies to measure.
type Policy struct {
	Name string
	// Baseline marks a policy that the current one is compared with.
	Baseline bool
	// Router returns a new router for each entry host.
	Router    func() admission.Router
	Admission admission.Policy
	Fair      bool
	Roles     roles.Policy
	Capacity  capacity.Policy
	// SplitRoles starts half of the engines as prefill and half as decode
	// engines, instead of mixed.
	SplitRoles bool
}

func defaultRouter() admission.Router { return routing.DefaultRouter() }

// Current returns the policy in use: the defaults of the decision packages.
func Current() Policy {
	return Policy{
		Name: "current", Router: defaultRouter, Admission: admission.DefaultPredictive(), Fair: true,
		Roles: roles.DefaultMixedRolePolicy(), Capacity: capacity.DefaultFollowDemand(),
	}
}

// Policies returns the current policy, its earlier versions and the baselines.
func Policies() []Policy {
	with := func(name string, change func(*Policy)) Policy {
		p := Current()
		p.Name = name
		change(&p)
		return p
	}
	plain := func(name string, router func() admission.Router) Policy {
		return Policy{Name: name, Baseline: true, Router: router, Admission: admission.AcceptAll{},
			Roles: roles.Fixed{}, Capacity: capacity.Static{}}
	}
	policies := []Policy{
		Current(),
		plain("round-robin", func() admission.Router { return &roundRobin{} }),
		plain("least-outstanding", func() admission.Router { return scoringRouter(leastOutstanding{}) }),
		plain("cache-affinity", func() admission.Router { return scoringRouter(routing.CacheScorer{}) }),
		with("fixed-mixed", func(p *Policy) { p.Baseline, p.Roles = true, roles.Fixed{} }),
		with("fixed-split", func(p *Policy) { p.Baseline, p.Roles, p.SplitRoles = true, roles.Fixed{}, true }),
		with("no-admission", func(p *Policy) { p.Baseline, p.Admission, p.Fair = true, admission.AcceptAll{}, false }),
	}
	return append(policies, versions()...)
}

// scoringRouter returns a router that picks the best of the whole fleet by one
// scorer.
func scoringRouter(s routing.Scorer) *routing.Router {
	r := routing.DefaultRouter()
	r.Scorer, r.Picker, r.Preferences = s, routing.Best{}, nil
	r.RandomCandidates = 2 * 12
	return r
}

// leastOutstanding scores endpoints by their outstanding requests.
type leastOutstanding struct{}

// Score implements routing.Scorer: 1 for none, towards 0 for many.
func (leastOutstanding) Score(_ routing.Request, snap *routing.Snapshot, c routing.Candidate) float64 {
	st := &snap.Endpoints[c.Index]
	outstanding := st.Load.Running + st.Load.Waiting
	if snap.Sends != nil {
		outstanding += snap.Sends.Sent(st.ID).Requests
	}
	return 1 / (1 + float64(outstanding))
}

// roundRobin selects usable endpoints in turn.
type roundRobin struct{ next int }

// Route implements admission.Router.
func (r *roundRobin) Route(req routing.Request, snap *routing.Snapshot, matches []prefix.Match, _ *rand.Rand) (routing.Plan, bool) {
	for range snap.Endpoints {
		r.next = (r.next + 1) % len(snap.Endpoints)
		one := []routing.Candidate{{Index: r.next}}
		for _, f := range []routing.Filter{routing.Available{}, routing.Serves{}, routing.NotLeaving{}} {
			one = f.Filter(req, snap, one)
		}
		if len(one) == 0 || snap.Endpoints[r.next].Load.Role == endpoint.RoleDecode {
			continue
		}
		for _, m := range matches {
			if m.Endpoint == snap.Endpoints[r.next].ID {
				one[0].CachedTokens = min(m.Chunks*prefix.ChunkTokens, req.PromptTokens-1)
				one[0].Certainty = m.Certainty
			}
		}
		one[0].Estimate.FirstToken = time.Millisecond
		return routing.Plan{Run: one[0], Estimate: one[0].Estimate}, true
	}
	return routing.Plan{}, false
}
