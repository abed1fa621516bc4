package routing

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/prefix"
)

// Costs holds the constants of the service estimate. They apply to all engines;
// token rates come from each engine's load reports.
type Costs struct {
	// StepBase is the time of a decode step with an empty batch.
	StepBase time.Duration
	// FullBatch is the number of concurrent streams at which an engine reaches
	// its Load.DecodeRate.
	FullBatch int
	// TransferRate is the rate of KV cache transfers between engines, in tokens
	// per second. TransferSetup is the fixed time of a transfer.
	TransferRate  float64
	TransferSetup time.Duration
	// OtherHostsShare, 0 to 1, is the work that each other host is assumed to have
	// sent since the report, as a fraction of this host's own sends. 0 counts own
	// sends only; hosts that share an old report then all pick the same endpoint.
	OtherHostsShare float64
	// BacklogDoneShare, 0 to 1, is the fraction of the prefill that an engine
	// could have done since the report that is subtracted from its backlog.
	BacklogDoneShare float64
	// HalfPrefillBacklog is the prefill backlog at which a mixed engine is
	// assumed to run prefill in half of its steps. It applies without a trend.
	HalfPrefillBacklog time.Duration
	// FollowTrend derives the share of steps with prefill from View.Trends.
	FollowTrend bool
}

// DefaultCosts returns the costs of the benchmark's engines, which are modelled
// on current deployments.
func DefaultCosts() Costs {
	return Costs{
		StepBase:           18 * time.Millisecond,
		FullBatch:          256,
		TransferRate:       200_000,
		TransferSetup:      5 * time.Millisecond,
		OtherHostsShare:    0.25,
		BacklogDoneShare:   1,
		HalfPrefillBacklog: time.Second,
		FollowTrend:        true,
	}
}

// Estimate is the predicted service of a request on an endpoint.
type Estimate struct {
	// Queue is the wait before the prefill starts, Prefill its duration. On a
	// mixed engine both include the decode steps in between.
	Queue, Prefill time.Duration
	// UncachedPrefill is the time to prefill the uncached tokens on an engine
	// without other work.
	UncachedPrefill time.Duration
	// FirstToken is the time from now to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	// AddedDecodeTime is the delay that the prefill adds to running streams,
	// summed over the streams.
	AddedDecodeTime time.Duration
}

// Estimate predicts the service of req on c. For an endpoint that is not an
// engine only FirstToken is set, to the round trip.
func (k Costs) Estimate(req Request, snap *Snapshot, c Candidate) Estimate {
	st := &snap.Endpoints[c.Index]
	delay := snap.delay(snap.Domain, st.Domain)
	if !st.IsEngine() {
		return Estimate{FirstToken: 2 * delay}
	}
	rate := max(st.Load.PrefillRate, 1)
	cached := min(float64(c.CachedTokens)*c.Certainty, float64(req.PromptTokens))
	uncached := float64(req.PromptTokens) - cached
	e := Estimate{
		Queue:   seconds(k.backlogTokens(snap, c.Index) / rate),
		Prefill: seconds(uncached / rate),
	}
	e.UncachedPrefill = e.Prefill
	streams := k.decodeStreams(snap, c.Index)
	e.BetweenTokens = k.meanBetweenTokens(snap, c.Index, streams, e.Queue+e.Prefill)
	if st.Load.Role == endpoint.RoleMixed {
		e.AddedDecodeTime = e.Prefill * time.Duration(streams)
		// Prefill shares the engine with decode steps.
		slowdown := 1 + float64(k.decodeStep(st, streams))/float64(prefillChunkTime(rate))
		e.Queue = time.Duration(float64(e.Queue) * slowdown)
		e.Prefill = time.Duration(float64(e.Prefill) * slowdown)
	}
	e.FirstToken = e.Queue + e.Prefill + 2*delay + k.kvCapacityWait(req, st)
	return e
}

// prefillChunkTokens is the number of prompt tokens that an engine usually
// prefills in one step beside the running decodes.
const prefillChunkTokens = 512

func prefillChunkTime(rate float64) time.Duration { return seconds(prefillChunkTokens / rate) }

// backlogTokens estimates the prompt tokens queued on endpoint i: those of its
// load report plus sends since then, less the prefill done since then.
func (k Costs) backlogTokens(snap *Snapshot, i int) float64 {
	st := &snap.Endpoints[i]
	sent := float64(snap.sent(i).PrefillTokens)
	sent *= 1 + k.OtherHostsShare*float64(snap.Hosts-1)
	done := k.BacklogDoneShare * st.Load.PrefillRate * st.LoadAge.Seconds()
	return max(0, float64(st.Load.PrefillTokensWaiting)+sent-done)
}

func (k Costs) decodeStreams(snap *Snapshot, i int) int {
	sent := float64(snap.sent(i).DecodeStreams) * (1 + k.OtherHostsShare*float64(snap.Hosts-1))
	return snap.Endpoints[i].Load.DecodeStreams + int(sent)
}

// decodeStep returns the time of a decode step with one stream more than
// streams.
func (k Costs) decodeStep(st *endpoint.Status, streams int) time.Duration {
	fullBatchStep := float64(k.FullBatch) / max(st.Load.DecodeRate, 1)
	perStream := max(0, fullBatchStep-k.StepBase.Seconds()) / float64(k.FullBatch)
	return k.StepBase + seconds(perStream*float64(streams+1))
}

// meanBetweenTokens returns the mean time between tokens over the length of a
// stream. On a mixed engine some of the decode steps also prefill a chunk of
// another prompt.
func (k Costs) meanBetweenTokens(snap *Snapshot, i, streams int, backlog time.Duration) time.Duration {
	st := &snap.Endpoints[i]
	step := k.decodeStep(st, streams)
	if st.Load.Role != endpoint.RoleMixed {
		return step
	}
	chunk := prefillChunkTime(max(st.Load.PrefillRate, 1))
	if !k.FollowTrend || snap.prefillBusy == nil {
		prefillShare := float64(backlog) / float64(backlog+k.HalfPrefillBacklog)
		return step + time.Duration(prefillShare*float64(chunk))
	}
	// The current backlog keeps the engine busy for part of the stream even if
	// the trend is lower.
	busy := max(snap.prefillBusy[i], min(1, float64(backlog)/float64(trendWindow)))
	// A step with prefill takes longer than one without, so the share of steps
	// with prefill is less than the share of time.
	prefillShare := busy * float64(step) / (float64(step) + float64(chunk)*(1-busy))
	return step + time.Duration(prefillShare*float64(chunk))
}

// kvCapacityWait returns the extra wait on an engine whose KV cache has no room
// for the request: about the time until one running stream ends.
func (k Costs) kvCapacityWait(req Request, st *endpoint.Status) time.Duration {
	if st.Load.KVTokensTotal == 0 || st.Load.KVTokensUsed+req.PromptTokens+req.OutputTokens <= st.Load.KVTokensTotal {
		return 0
	}
	return time.Duration(max(req.OutputTokens, 1)) * k.StepBase / 2
}

// Transfer returns the time to move the KV cache of a prompt between two engines.
// delay is the one-way network delay between them.
func (k Costs) Transfer(promptTokens int, delay time.Duration) time.Duration {
	return k.TransferSetup + delay + seconds(float64(promptTokens)/k.TransferRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// cachedTokens converts matched chunks to cached tokens of the request's prompt.
// The last prompt token is never cached, since its prefill yields the first
// output token.
func cachedTokens(req Request, chunks int) int {
	return max(0, min(chunks*prefix.ChunkTokens, req.PromptTokens-1))
}
