package routing

import "time"

// Scorers use these limits for a class without its own. They are the targets of
// the benchmark.
const (
	defaultFirstToken    = 1600 * time.Millisecond
	defaultBetweenTokens = 44 * time.Millisecond
)

// FirstTokenScorer grades by the predicted time to the first token: 1 for zero
// and 0.5 for the class's limit.
type FirstTokenScorer struct{}

// Score implements Scorer.
func (FirstTokenScorer) Score(req Request, _ *Snapshot, c Candidate) float64 {
	return costScore(c.Estimate.FirstToken, orDefault(req.FirstToken, defaultFirstToken))
}

// SlowdownScorer grades by the request's output time beyond its limit between
// tokens plus the delay that its prefill adds to running streams. The score is
// 1 for zero and 0.5 for the first-token limit.
type SlowdownScorer struct {
	// AddedDecodeWeight, 0 to 1, is the weight of a second added to another
	// stream, relative to a second of this one.
	AddedDecodeWeight float64
}

// Score implements Scorer.
func (s SlowdownScorer) Score(req Request, _ *Snapshot, c Candidate) float64 {
	excess := max(0, c.Estimate.BetweenTokens-orDefault(req.BetweenTokens, defaultBetweenTokens))
	cost := excess*time.Duration(max(req.OutputTokens, 1)) +
		time.Duration(s.AddedDecodeWeight*float64(c.Estimate.AddedDecodeTime))
	return costScore(cost, orDefault(req.FirstToken, defaultFirstToken))
}

// CacheScorer grades by the share of the prompt that is expected in the cache.
type CacheScorer struct{}

// Score implements Scorer.
func (CacheScorer) Score(req Request, _ *Snapshot, c Candidate) float64 {
	if req.PromptTokens == 0 {
		return 0
	}
	return float64(c.CachedTokens) * c.Certainty / float64(req.PromptTokens)
}

// Weighted grades by the weighted mean of Scorers. Weights has one entry per
// scorer; none may be negative and at least one must be positive.
type Weighted struct {
	Scorers []Scorer
	Weights []float64
}

// Score implements Scorer.
func (w Weighted) Score(req Request, snap *Snapshot, c Candidate) float64 {
	sum, total := 0.0, 0.0
	for i, s := range w.Scorers {
		sum += w.Weights[i] * s.Score(req, snap, c)
		total += w.Weights[i]
	}
	return sum / total
}

// costScore maps a cost of zero to 1 and a cost of scale to 0.5, approaching 0
// beyond.
func costScore(cost, scale time.Duration) float64 {
	return 1 / (1 + float64(cost)/float64(scale))
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// CostScorer grades by one predicted duration: the time to the first token, the
// output time beyond the limit between tokens, and the weighted costs below. The
// score is 1 for no cost and 0.5 for a cost of defaultFirstToken.
type CostScorer struct {
	// PrefillPrice is the weight of a second of prefill that a cached prefix
	// would have saved. Above 0 it keeps prompts on the engines that cache them
	// even if another engine is idle, because each further copy of a prefix
	// evicts one that is in use.
	PrefillPrice float64
	// AddedDecodeWeight, 0 to 1, weighs a second added to another stream.
	AddedDecodeWeight float64
	// StrictPenalty is the cost of strict work on a reclaimable endpoint,
	// TolerantPenalty that of tolerant work on an endpoint that is not
	// reclaimable.
	StrictPenalty, TolerantPenalty time.Duration
}

// DefaultCostScorer returns the scorer of DefaultRouter. A PrefillPrice of 5 to
// 12 minimises repeated prefill in the benchmark. A lower price spreads prompts
// over too many caches; a price of 20 queues them behind a busy holder.
func DefaultCostScorer() CostScorer {
	return CostScorer{PrefillPrice: 12, AddedDecodeWeight: 0.02,
		StrictPenalty: 400 * time.Millisecond, TolerantPenalty: 400 * time.Millisecond}
}

// Score implements Scorer.
func (s CostScorer) Score(req Request, snap *Snapshot, c Candidate) float64 {
	st := &snap.Endpoints[c.Index]
	cost := c.Estimate.FirstToken + time.Duration(s.PrefillPrice*float64(c.Estimate.UncachedPrefill))
	cost += time.Duration(s.AddedDecodeWeight * float64(c.Estimate.AddedDecodeTime))
	excess := max(0, c.Estimate.BetweenTokens-orDefault(req.BetweenTokens, defaultBetweenTokens))
	cost += excess * time.Duration(max(req.OutputTokens, 1))
	switch {
	case st.Reclaimable && !req.Tolerant:
		cost += s.StrictPenalty
	case !st.Reclaimable && req.Tolerant:
		cost += s.TolerantPenalty
	}
	return costScore(cost, defaultFirstToken)
}
