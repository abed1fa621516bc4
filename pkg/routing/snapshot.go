package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// Delays returns the one-way network delay between two failure domains.
type Delays interface {
	Delay(from, to string) time.Duration
}

// UniformDelay is a Delays with one delay between any two different domains and
// none within a domain.
type UniformDelay time.Duration

// Delay implements Delays.
func (d UniformDelay) Delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(d)
}

// SendCounter returns the work that this host sent to an endpoint after its latest
// load report was taken. *SendLog implements it.
type SendCounter interface {
	Sent(endpointID string) endpoint.SentWork
}

// View is the input of a Snapshot.
type View struct {
	// Domain is the host's failure domain.
	Domain string
	// Hosts is the number of entry hosts that send to the same endpoints.
	Hosts int
	// Endpoints are the endpoints with their latest load reports.
	Endpoints []endpoint.Status
	// Sends counts this host's own sends; nil for none.
	Sends SendCounter
	// Trends holds the smoothed load. If it is nil, the time between tokens is
	// estimated from the latest report alone.
	Trends *Trends
	// Full returns which of n endpoints are to get no more requests because they have
	// just started or recovered, nil if none; see pace.Limiter. It may be nil, and must
	// be safe for concurrent use.
	Full func(n int, id func(i int) string) []bool
	// Delays must not be nil.
	Delays Delays
}

// Snapshot is the state that routing decisions read. It is rebuilt, off the
// request path, when a load report or the set of endpoints changes. It is
// immutable except for Sends, which includes the host's sends as they are made.
type Snapshot struct {
	View

	// prefillBusy holds Trends.PrefillBusy of each endpoint; nil without trends.
	prefillBusy []float64
	// index maps endpoint ids to positions in Endpoints.
	index map[string]int
	pools map[poolKey]*pool
	// prefillRates sums the prefill rates of the available engines by model.
	prefillRates map[string]float64
}

// poolKey selects the endpoints of a service, or the engines of a model that run
// decode if decode is set, or else those that run prefill.
type poolKey struct {
	service, model string
	decode         bool
}

// pool groups the endpoints of a poolKey into tiers of equal delay from this
// host, nearest first.
type pool struct {
	// tiers holds positions in Snapshot.Endpoints.
	tiers [][]int
	// delays holds the delay of each tier.
	delays []time.Duration
}

// NewSnapshot indexes the view, which must not be changed afterwards. It takes
// time in proportion to the number of endpoints.
func NewSnapshot(view View) *Snapshot {
	view.Hosts = max(view.Hosts, 1)
	s := &Snapshot{View: view, index: make(map[string]int, len(view.Endpoints)), pools: map[poolKey]*pool{},
		prefillRates: map[string]float64{}}
	if view.Trends != nil {
		s.prefillBusy = make([]float64, len(view.Endpoints))
	}
	byDelay := map[poolKey]map[time.Duration][]int{}
	add := func(key poolKey, delay time.Duration, i int) {
		if byDelay[key] == nil {
			byDelay[key] = map[time.Duration][]int{}
		}
		byDelay[key][delay] = append(byDelay[key][delay], i)
	}
	for i, st := range view.Endpoints {
		s.index[st.ID] = i
		if s.prefillBusy != nil {
			s.prefillBusy[i] = view.Trends.PrefillBusy(st.ID)
		}
		if !available(st) {
			continue
		}
		delay := s.delay(view.Domain, st.Domain)
		key := poolKey{service: st.Service, model: st.Load.Model}
		if !st.IsEngine() {
			key.model = ""
		}
		if runsPrefill(st) {
			add(key, delay, i)
			s.prefillRates[st.Load.Model] += st.Load.PrefillRate
		}
		if runsDecode(st) {
			key.decode = true
			add(key, delay, i)
		}
	}
	for key, tiers := range byDelay {
		s.pools[key] = newPool(tiers)
	}
	return s
}

func newPool(byDelay map[time.Duration][]int) *pool {
	p := &pool{}
	for delay := range byDelay {
		p.delays = append(p.delays, delay)
	}
	sort.Slice(p.delays, func(a, b int) bool { return p.delays[a] < p.delays[b] })
	for _, delay := range p.delays {
		p.tiers = append(p.tiers, byDelay[delay])
	}
	return p
}

func (s *Snapshot) delay(from, to string) time.Duration { return s.Delays.Delay(from, to) }

// Find returns the position of the endpoint in Endpoints, or false if the
// snapshot does not contain it.
func (s *Snapshot) Find(id string) (int, bool) {
	i, ok := s.index[id]
	return i, ok
}

// PrefillRate returns the total prefill rate of the available engines of the
// model, in prompt tokens per second.
func (s *Snapshot) PrefillRate(model string) float64 { return s.prefillRates[model] }

// FirstPauseEnd returns when the first of the endpoints that serve the request takes
// work again, if all of them are paused. It returns false otherwise.
func (s *Snapshot) FirstPauseEnd(req Request) (time.Time, bool) {
	var first time.Time
	for i := range s.Endpoints {
		st := &s.Endpoints[i]
		if !serves(req, st) || !takesWorkUnlessPaused(*st) {
			continue
		}
		if st.PausedUntil.IsZero() {
			return time.Time{}, false
		}
		if first.IsZero() || st.PausedUntil.Before(first) {
			first = st.PausedUntil
		}
	}
	return first, !first.IsZero()
}

func (s *Snapshot) sent(i int) endpoint.SentWork {
	if s.Sends == nil {
		return endpoint.SentWork{}
	}
	return s.Sends.Sent(s.Endpoints[i].ID)
}

// available reports whether the endpoint takes new work.
func available(st endpoint.Status) bool {
	return takesWorkUnlessPaused(st) && st.PausedUntil.IsZero()
}

func takesWorkUnlessPaused(st endpoint.Status) bool {
	if st.State != endpoint.StateLive {
		return false
	}
	return !st.IsEngine() || st.HasLoad && !st.Load.Draining
}

func runsPrefill(st endpoint.Status) bool {
	return !st.IsEngine() || st.Load.Role != endpoint.RoleDecode
}

func runsDecode(st endpoint.Status) bool {
	return st.IsEngine() && st.Load.Role != endpoint.RolePrefill
}

// sample appends up to n random members of the pool: half of n from the nearest
// tier, half of the rest from the next, and so on, so that most work stays near
// while any tier can be chosen. Later tiers make up for a tier that is smaller
// than its quota.
func (p *pool) sample(rng *rand.Rand, out []Candidate, n int) []Candidate {
	if p == nil {
		return out
	}
	for t, tier := range p.tiers {
		quota := (n + 1) / 2
		if t == len(p.tiers)-1 {
			quota = n
		}
		before := len(out)
		out = sampleTier(rng, out, tier, quota)
		n -= len(out) - before
		if n <= 0 {
			break
		}
	}
	return out
}

// sampleTier appends up to quota consecutive members of the tier from a random
// start, without those already in out. Consecutive members are as good as a
// random set, since the order of a tier has no meaning, and the cost does not
// grow with the tier.
func sampleTier(rng *rand.Rand, out []Candidate, tier []int, quota int) []Candidate {
	quota = min(quota, len(tier))
	if quota == 0 {
		return out
	}
	from := rng.IntN(len(tier))
	for k := range quota {
		i := tier[(from+k)%len(tier)]
		if !containsIndex(out, i) {
			out = append(out, Candidate{Index: i})
		}
	}
	return out
}

func containsIndex(candidates []Candidate, i int) bool {
	for _, c := range candidates {
		if c.Index == i {
			return true
		}
	}
	return false
}
