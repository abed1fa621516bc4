package routing

import "time"

// Request holds the properties of a request that routing decisions depend on.
type Request struct {
	// Service names the order service; empty for model work.
	Service string
	// Model and Version select engines; an empty Version accepts any.
	Model, Version string
	// PromptTokens is the length of the prompt, OutputTokens the estimated number
	// of tokens that remain to be generated.
	PromptTokens, OutputTokens int
	// Chain holds the hashes of the prompt's full chunks, see prefix.Chain.
	Chain []uint64
	// Tolerant work prefers reclaimable endpoints; strict work avoids them.
	Tolerant bool
	// Repeatable is false for work that must run at most once.
	Repeatable bool
	// Priority orders requests at the engine; a higher one runs first.
	Priority int
	// FirstToken and BetweenTokens are the class's limits on the time to the
	// first token and between tokens; zero means no limit.
	FirstToken, BetweenTokens time.Duration
	// Exclude lists the ids of endpoints that must not get the request, such as
	// those on which it failed.
	Exclude []string
}

// Candidate is an endpoint under consideration.
type Candidate struct {
	// Index is the endpoint's position in Snapshot.Endpoints.
	Index int
	// CachedTokens is the number of prompt tokens expected in its cache.
	// Certainty, 0 to 1, is how likely they are still cached.
	CachedTokens int
	Certainty    float64
	// Estimate is the predicted service, see Costs.Estimate.
	Estimate Estimate
}

// Scored is a candidate with its score, from 0 (worst) to 1 (best).
type Scored struct {
	Candidate Candidate
	Score     float64
}

// Plan is the outcome of a routing decision.
type Plan struct {
	// Run is the endpoint that gets the request. With Disaggregated set it only
	// prefills.
	Run Candidate
	// Disaggregated is set for disaggregated prefill: Decode generates the output
	// after the KV cache is transferred to it.
	Disaggregated bool
	Decode        Candidate
	// Estimate is the predicted service of the whole plan.
	Estimate Estimate
}

// Filter removes candidates. It may modify the slice that it is given and
// return a part of it.
type Filter interface {
	Filter(req Request, snap *Snapshot, candidates []Candidate) []Candidate
}

// Scorer grades a candidate from 0 (worst) to 1 (best).
type Scorer interface {
	Score(req Request, snap *Snapshot, c Candidate) float64
}
