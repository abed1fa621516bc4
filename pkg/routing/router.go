package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/prefix"
)

const (
	// DefaultRandomCandidates is the number of random candidates that are
	// considered in addition to the holders of the prefix.
	DefaultRandomCandidates = 8
	// DefaultHolders bounds the holders of the prefix that are considered.
	DefaultHolders = 4
	// fallbackRandomCandidates is the size of the second sample, which is drawn
	// if the first one contains no usable endpoint.
	fallbackRandomCandidates = 32
)

// Router is a routing strategy. It must not be changed while in use. It is safe
// for concurrent use if each caller passes its own source of randomness.
type Router struct {
	// Filters are applied before the estimate.
	Filters []Filter
	// Preferences are filters that are applied after the estimate. They must
	// keep at least one of the candidates that they are given.
	Preferences []Filter
	Scorer      Scorer
	Picker      Picker
	Costs       Costs
	// RandomCandidates bounds the random candidates, Holders those with a cached
	// prefix.
	RandomCandidates, Holders int

	bufferPool sync.Pool
}

// routeBuffers holds the buffers of one decision, for reuse by later ones.
type routeBuffers struct {
	candidates, decode []Candidate
	scored             []Scored
}

func (r *Router) getBuffers() *routeBuffers {
	if s, ok := r.bufferPool.Get().(*routeBuffers); ok {
		return s
	}
	return &routeBuffers{}
}

// DefaultRouter returns a router with the default strategy.
func DefaultRouter() *Router {
	return &Router{
		Filters:          []Filter{Available{}, Serves{}, NotLeaving{}},
		Scorer:           DefaultCostScorer(),
		Picker:           NearBest{Margin: 0.01},
		Costs:            DefaultCosts(),
		RandomCandidates: DefaultRandomCandidates,
		Holders:          DefaultHolders,
	}
}

// Route plans a request. matches are the holders of its prefix as returned by
// prefix.Index.Lookup, longest prefix first. It returns false if no endpoint can
// run the request now. Route sends nothing.
func (r *Router) Route(req Request, snap *Snapshot, matches []prefix.Match, rng *rand.Rand) (Plan, bool) {
	buffers := r.getBuffers()
	defer r.bufferPool.Put(buffers)
	key := poolKey{service: req.Service, model: req.Model}
	run, ok := r.choose(req, snap, key, matches, rng, r.RandomCandidates, buffers)
	if !ok {
		run, ok = r.choose(req, snap, key, matches, rng, fallbackRandomCandidates, buffers)
	}
	if !ok {
		return Plan{}, false
	}
	plan := Plan{Run: run, Estimate: run.Estimate}
	if req.Service != "" || snap.Endpoints[run.Index].Load.Role != endpoint.RolePrefill {
		return plan, true
	}
	key.decode = true
	decode, ok := r.chooseDecode(req, snap, key, run, rng, buffers)
	if !ok {
		return Plan{}, false
	}
	plan.Disaggregated = true
	plan.Decode = decode
	plan.Estimate.BetweenTokens = decode.Estimate.BetweenTokens
	return plan, true
}

func (r *Router) choose(req Request, snap *Snapshot, key poolKey, matches []prefix.Match, rng *rand.Rand, sampleSize int, buffers *routeBuffers) (Candidate, bool) {
	candidates := r.holderCandidates(req, snap, buffers.candidates[:0], matches)
	candidates = snap.pools[key].sample(rng, candidates, sampleSize)
	buffers.candidates = candidates
	for _, f := range r.Filters {
		candidates = f.Filter(req, snap, candidates)
	}
	for i := range candidates {
		candidates[i].Estimate = r.Costs.Estimate(req, snap, candidates[i])
		if snap.Endpoints[candidates[i].Index].Load.Role == endpoint.RolePrefill {
			r.addDecodeEstimate(req, snap, &candidates[i], rng, buffers)
		}
	}
	for _, f := range r.Preferences {
		candidates = f.Filter(req, snap, candidates)
	}
	return r.pick(req, snap, candidates, rng, buffers)
}

// addDecodeEstimate sets the time between tokens for a candidate that only
// prefills: that of a decode engine plus the KV cache transfer, spread over the
// output tokens. A randomly sampled decode engine stands for the pool.
func (r *Router) addDecodeEstimate(req Request, snap *Snapshot, c *Candidate, rng *rand.Rand, buffers *routeBuffers) {
	key := poolKey{model: req.Model, decode: true}
	sampled := snap.pools[key].sample(rng, buffers.decode[:0], 1)
	buffers.decode = sampled
	if len(sampled) == 0 {
		// Any candidate that can decode is preferable.
		c.Estimate.BetweenTokens = time.Hour
		return
	}
	st := &snap.Endpoints[sampled[0].Index]
	c.Estimate.BetweenTokens = r.Costs.Estimate(req, snap, sampled[0]).BetweenTokens
	delay := snap.delay(snap.Endpoints[c.Index].Domain, st.Domain)
	if req.OutputTokens > 0 {
		c.Estimate.BetweenTokens += r.Costs.Transfer(req.PromptTokens, delay) / time.Duration(req.OutputTokens)
	}
}

func (r *Router) holderCandidates(req Request, snap *Snapshot, out []Candidate, matches []prefix.Match) []Candidate {
	for _, m := range matches[:min(len(matches), r.Holders)] {
		i, ok := snap.Find(m.Endpoint)
		if !ok || !runsPrefill(snap.Endpoints[i]) {
			continue
		}
		out = append(out, Candidate{Index: i, CachedTokens: cachedTokens(req, m.Chunks), Certainty: m.Certainty})
	}
	return out
}

// chooseDecode chooses the decode engine for a prompt that is prefilled on
// another engine. The transfer time counts as its time to the first token, which
// favours engines near the prefill engine.
func (r *Router) chooseDecode(req Request, snap *Snapshot, key poolKey, prefill Candidate, rng *rand.Rand, buffers *routeBuffers) (Candidate, bool) {
	candidates := snap.pools[key].sample(rng, buffers.decode[:0], r.RandomCandidates)
	buffers.decode = candidates
	for _, f := range r.Filters {
		candidates = f.Filter(req, snap, candidates)
	}
	for i := range candidates {
		c := &candidates[i]
		estimate := r.Costs.Estimate(req, snap, *c)
		delay := snap.delay(snap.Endpoints[prefill.Index].Domain, snap.Endpoints[c.Index].Domain)
		estimate.FirstToken = r.Costs.Transfer(req.PromptTokens, delay) + r.Costs.kvCapacityWait(req, &snap.Endpoints[c.Index])
		estimate.AddedDecodeTime = 0
		c.Estimate = estimate
	}
	for _, f := range r.Preferences {
		candidates = f.Filter(req, snap, candidates)
	}
	return r.pick(req, snap, candidates, rng, buffers)
}

func (r *Router) pick(req Request, snap *Snapshot, candidates []Candidate, rng *rand.Rand, buffers *routeBuffers) (Candidate, bool) {
	scored := buffers.scored[:0]
	for _, c := range candidates {
		scored = append(scored, Scored{Candidate: c, Score: r.Scorer.Score(req, snap, c)})
	}
	buffers.scored = scored
	return r.Picker.Pick(rng, scored)
}
