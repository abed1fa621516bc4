package bench

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/clementineshed/clementineshed/pkg/prefix"
)

// Requests that arrive during warmUp are not counted: caches fill while the rate
// rises from the share rampFrom to its full value. At the full rate with empty
// caches, policies without admission would build up a backlog from which they
// never recover.
const (
	warmUp   = 60 * time.Second
	rampFrom = 0.1
)

// Trace describes the demand over time and the faults of a run.
type Trace struct {
	Name string
	// Length is the span of arrivals.
	Length time.Duration
	// Load scales the deployment's rate.
	Load float64
	// LongPrompts is the share of requests with a long prompt and a short
	// output; the others have a short prompt and a long output.
	LongPrompts func(t time.Duration) float64
	// Swings are the times at which the mix changes.
	Swings []time.Duration
	// Flood multiplies the demand of one small team during FloodAt, from its
	// first to its second time. Zero means no flood.
	Flood   float64
	FloodAt [2]time.Duration
	// Lag is how late load reports arrive.
	Lag    time.Duration
	Faults []Fault
}

// Fault is one failure of a trace.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	// For is how long the fault lasts.
	For time.Duration
}

// FaultKind is a kind of failure.
type FaultKind int

// Kinds of failures. Which engine, host or domain fails follows from the state
// of the run, without randomness.
const (
	ReclaimDomain FaultKind = iota
	CrashInRoleChange
	HostLost
	DomainPartitioned
	PlatformDown
)

// defaultLag is the usual lag of load reports.
const defaultLag = 500 * time.Millisecond

// Mixes: the shares of long prompts.
const (
	balancedMix    = 0.5
	promptHeavyMix = 0.85
	outputHeavyMix = 0.1
)

func constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// swinging alternates between the mixes every period, prompt-heavy first.
func swinging(period time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if int(t/period)%2 == 0 {
			return promptHeavyMix
		}
		return outputHeavyMix
	}
}

// Traces returns all traces.
func Traces() []Trace {
	const minute = time.Minute
	steady := Trace{Length: 5 * minute, Load: 1, LongPrompts: constant(balancedMix), Lag: defaultLag}
	named := func(name string, change func(*Trace)) Trace {
		t := steady
		t.Name = name
		if change != nil {
			change(&t)
		}
		return t
	}
	swing := func(t *Trace) {
		t.Length = 7 * minute
		t.Load = 0.85
		t.LongPrompts = swinging(140 * time.Second)
		t.Swings = []time.Duration{140 * time.Second, 280 * time.Second}
	}
	return []Trace{
		named("steady", nil),
		named("swing", swing),
		named("flood", func(t *Trace) { t.Flood, t.FloodAt = 15, [2]time.Duration{2 * minute, 4 * minute} }),
		named("reclaim", func(t *Trace) { t.Faults = []Fault{{ReclaimDomain, 150 * time.Second, 2 * minute}} }),
		named("lag", func(t *Trace) { t.Lag = 4 * time.Second }),
		named("crash-in-change", func(t *Trace) { t.Faults = []Fault{{CrashInRoleChange, 2 * minute, minute}} }),
		named("host-lost", func(t *Trace) { t.Faults = []Fault{{HostLost, 2 * minute, minute}} }),
		named("cut-off", func(t *Trace) { t.Faults = []Fault{{DomainPartitioned, 2 * minute, 90 * time.Second}} }),
		named("platform-down", func(t *Trace) {
			t.Faults = []Fault{{PlatformDown, 90 * time.Second, 3 * minute}, {CrashInRoleChange, 2 * minute, minute}}
		}),
		named("swing-and-reclaim", func(t *Trace) {
			swing(t)
			t.Faults = []Fault{{ReclaimDomain, 200 * time.Second, 2 * minute}}
		}),
	}
}

// arrival is one request of a trace.
type arrival struct {
	at      time.Duration
	team    string
	class   string
	host    int
	prompt  int
	output  int
	chain   []uint64
	counted bool
}

// arrivals generates the trace's requests. They depend on the deployment, the
// trace and the seed only, so every policy meets the same ones.
func arrivals(d Deployment, t Trace, seed uint64) []arrival {
	name := fnv.New64a()
	_, _ = name.Write([]byte(d.Name + t.Name))
	rng := rand.New(rand.NewPCG(seed, name.Sum64()))
	documents := newDocuments(d, rng)
	var out []arrival
	for at := time.Duration(0); ; {
		flooding := t.Flood > 0 && at >= t.FloodAt[0] && at < t.FloodAt[1]
		weights := teamWeights(d, t, flooding)
		rate := d.Rate * t.Load * sum(weights) / sum(teamWeights(d, t, false))
		rate *= min(1, rampFrom+(1-rampFrom)*float64(at)/float64(warmUp))
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= t.Length {
			return out
		}
		a := arrival{at: at, host: rng.IntN(d.Hosts), counted: at >= warmUp}
		team := pick(rng, weights)
		a.team = d.Teams[team].Name
		a.class = drawClass(rng)
		if rng.Float64() < t.LongPrompts(at) {
			a.chain = documents.draw(rng, team)
			a.prompt = len(a.chain)*prefix.ChunkTokens + lognormal(rng, 300, 0.5)
			a.output = lognormal(rng, 90, 0.5)
		} else {
			a.prompt = lognormal(rng, 400, 0.5)
			a.output = lognormal(rng, 330, 0.5)
		}
		out = append(out, a)
	}
}

func drawClass(rng *rand.Rand) string {
	switch p := rng.Float64(); {
	case p < orderShare:
		return classOrder
	case p < orderShare+tolerantShare:
		return classTolerant
	default:
		return classStrict
	}
}

// floodingTeam is the index of the team that floods: the first small one.
const floodingTeam = 3

func teamWeights(d Deployment, t Trace, flooding bool) []float64 {
	weights := make([]float64, len(d.Teams))
	for i, team := range d.Teams {
		weights[i] = team.Weight
	}
	if flooding {
		weights[floodingTeam] *= t.Flood
	}
	return weights
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func pick(rng *rand.Rand, weights []float64) int {
	p := rng.Float64() * sum(weights)
	for i, w := range weights {
		if p -= w; p < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func lognormal(rng *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*rng.NormFloat64())))
}

// documents holds the documents that prompts begin with, as chains of chunk
// hashes, by team.
type documents struct{ chains [][][]uint64 }

func newDocuments(d Deployment, rng *rand.Rand) *documents {
	all := &documents{chains: make([][][]uint64, len(d.Teams))}
	for team := range d.Teams {
		for range d.Documents {
			chunks := d.DocumentChunks[0] + rng.IntN(d.DocumentChunks[1]-d.DocumentChunks[0]+1)
			chain := make([]uint64, chunks)
			for i := range chain {
				chain[i] = rng.Uint64()
			}
			all.chains[team] = append(all.chains[team], chain)
		}
	}
	return all
}

// draw picks a document of the team, the k-th with a probability proportional
// to about 1/k.
func (s *documents) draw(rng *rand.Rand, team int) []uint64 {
	n := float64(len(s.chains[team]))
	rank := int(math.Pow(n+1, rng.Float64()))
	return s.chains[team][min(rank, len(s.chains[team]))-1]
}
