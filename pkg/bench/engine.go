package bench

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/prefix"
)

// Parameters of the fake engines.
const (
	prefillRate   = 20_000 // prompt tokens a second
	stepBase      = 17500 * time.Microsecond
	stepPerStream = 120 * time.Microsecond
	// Prompt tokens that one step prefills, beside decodes and alone.
	prefillChunkWithDecodes = 512
	prefillChunkAlone       = 2048
	maxBatch                = 256
	kvTokens                = 700_000
	// maxCacheChunks is the capacity of the prefix cache.
	maxCacheChunks = 180
	// prefillShareWeight is the weight of one step in the moving average
	// prefillShare: a stream lasts about 200 steps.
	prefillShareWeight = 1.0 / 200
	// transferRate is in KV tokens a second between engines; transferSetup is
	// the fixed delay of each transfer.
	transferRate  = 200_000
	transferSetup = 5 * time.Millisecond
)

// fakeEngine is a model engine: it batches continuously, prefills in chunks
// beside its decodes, caches prefixes, and reports load and cache events.
type fakeEngine struct {
	endpoint.Endpoint
	role      endpoint.Role
	model     string
	speed     float64
	up        bool
	draining  bool
	readyAt   time.Duration
	since     time.Duration
	cost      float64
	changing  bool
	changedAt time.Duration
	target    endpoint.Role

	at    time.Duration
	steps int
	// prefillShare is the moving average of the share of steps that prefill.
	prefillShare float64
	waiting      []*work
	streams      streamHeap
	// arriving are decodes whose KV cache has been transferred but does not fit
	// yet.
	arriving []*work
	kvUsed   int
	cache    map[uint64]*list.Element
	recent   *list.List
	sequence int64
	events   []enginewire.CacheEvent
}

// work is one send of a job to an engine.
type work struct {
	job  *job
	host *host
	// decode is the engine that decodes, if not this one.
	decode *fakeEngine
	// resend is the number of the caller's resend that the work belongs to.
	resend int
	// left is the number of tokens still to prefill, -1 before the cache lookup.
	left int
	// tokens is the reserved KV tokens; first and last are the steps at which
	// the stream begins and ends.
	tokens, first, last int
}

func newCache(e *fakeEngine) {
	e.cache, e.recent = map[uint64]*list.Element{}, list.New()
}

func (e *fakeEngine) submit(w *work) {
	w.left = -1
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].left < 0 && e.waiting[at-1].job.priority < w.job.priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, w)
}

// observer is notified of the progress of work on an engine.
type observer interface {
	prefilled(w *work, tokens int)
	firstToken(w *work, at time.Duration)
	finished(w *work, at time.Duration)
	transfer(w *work, from *fakeEngine, at time.Duration)
}

// advance runs the engine up to the time to.
func (e *fakeEngine) advance(to time.Duration, out observer) {
	for e.at < to {
		if len(e.waiting) == 0 && len(e.streams) == 0 || !e.up {
			e.prefillShare = 0
			e.at = to
			return
		}
		head := e.nextPrefill(out)
		span := time.Duration(0)
		if n := len(e.streams); n > 0 {
			span = stepBase + time.Duration(n)*stepPerStream
		}
		piece := 0
		if head != nil {
			piece = min(head.left, prefillChunkWithDecodes)
			if len(e.streams) == 0 {
				piece = min(head.left, prefillChunkAlone)
			}
			span += time.Duration(float64(piece) / prefillRate * float64(time.Second))
		}
		if span == 0 {
			e.at = to
			return
		}
		e.at += time.Duration(float64(span) / e.speed)
		e.prefillShare *= 1 - prefillShareWeight
		if head != nil {
			e.prefillShare += prefillShareWeight
		}
		e.decodeStep(out)
		if head != nil {
			e.prefillStep(head, piece, out)
		}
	}
}

// nextPrefill returns the request to prefill now, nil if none waits or its KV
// tokens do not fit.
func (e *fakeEngine) nextPrefill(out observer) *work {
	if len(e.waiting) == 0 {
		return nil
	}
	w := e.waiting[0]
	if w.left >= 0 {
		return w
	}
	tokens := w.job.prompt + w.job.output
	if e.kvUsed+tokens > kvTokens && e.kvUsed > 0 {
		return nil
	}
	w.tokens = tokens
	e.kvUsed += tokens
	cached := e.cached(w.job.chain) * prefix.ChunkTokens
	w.left = max(1, w.job.prompt+w.job.produced-cached)
	out.prefilled(w, w.left)
	return w
}

func (e *fakeEngine) decodeStep(out observer) {
	if len(e.streams) == 0 {
		return
	}
	e.steps++
	for len(e.streams) > 0 && e.streams[0].last <= e.steps {
		w := heap.Pop(&e.streams).(*work)
		e.kvUsed -= w.tokens
		out.finished(w, e.at)
	}
	for len(e.arriving) > 0 && e.kvUsed+e.arriving[0].tokens <= kvTokens {
		w := e.arriving[0]
		e.arriving = e.arriving[1:]
		e.join(w)
	}
}

func (e *fakeEngine) prefillStep(w *work, piece int, out observer) {
	w.left -= piece
	if w.left > 0 {
		return
	}
	e.waiting = e.waiting[1:]
	e.fill(w.job.chain)
	out.firstToken(w, e.at)
	switch {
	case w.job.output-w.job.produced <= 1:
		e.kvUsed -= w.tokens
		out.finished(w, e.at)
	case w.decode != nil && w.decode != e:
		e.kvUsed -= w.tokens
		out.transfer(w, e, e.at)
	default:
		e.stream(w)
	}
}

// receive accepts a stream whose KV cache was transferred.
func (e *fakeEngine) receive(w *work) {
	if e.kvUsed+w.tokens > kvTokens && e.kvUsed > 0 {
		e.arriving = append(e.arriving, w)
		return
	}
	e.join(w)
}

func (e *fakeEngine) join(w *work) {
	e.kvUsed += w.tokens
	e.stream(w)
}

func (e *fakeEngine) stream(w *work) {
	w.first = e.steps
	w.last = e.steps + w.job.output - w.job.produced - 1
	heap.Push(&e.streams, w)
}

// drop removes and returns all work, and adds the tokens generated so far to
// the jobs.
func (e *fakeEngine) drop() []*work {
	lost := append(e.waiting, e.arriving...)
	for _, w := range e.streams {
		w.job.produced += e.steps - w.first + 1
		lost = append(lost, w)
	}
	e.waiting, e.arriving, e.streams, e.kvUsed = nil, nil, nil, 0
	slices.SortFunc(lost, func(a, b *work) int { return a.job.id - b.job.id })
	return lost
}

func (e *fakeEngine) idle() bool {
	return len(e.waiting) == 0 && len(e.streams) == 0 && len(e.arriving) == 0
}

// load returns the engine's load report.
func (e *fakeEngine) load() endpoint.Load {
	waiting := 0
	for _, w := range e.waiting {
		if w.left >= 0 {
			waiting += w.left
			continue
		}
		waiting += max(1, w.job.prompt-e.cached(w.job.chain)*prefix.ChunkTokens)
	}
	full := stepBase + maxBatch*stepPerStream
	return endpoint.Load{
		Instance: e.Instance, Role: e.role, Model: e.model, Draining: e.draining,
		Running: len(e.streams), Waiting: len(e.waiting), PrefillTokensWaiting: waiting,
		DecodeStreams: len(e.streams) + len(e.arriving), KVTokensUsed: e.kvUsed, KVTokensTotal: kvTokens,
		PrefillRate: prefillRate * e.speed, DecodeRate: maxBatch / full.Seconds() * e.speed,
	}
}

// cached counts the chunks of the chain in the cache.
func (e *fakeEngine) cached(chain []uint64) int {
	n := 0
	for n < len(chain) && e.cache[chain[n]] != nil {
		n++
	}
	return n
}

func (e *fakeEngine) fill(chain []uint64) {
	for _, hash := range chain {
		if element := e.cache[hash]; element != nil {
			e.recent.MoveToFront(element)
			continue
		}
		e.cache[hash] = e.recent.PushFront(hash)
		e.event(hash, true)
	}
	for len(e.cache) > maxCacheChunks {
		oldest := e.recent.Back()
		hash := e.recent.Remove(oldest).(uint64)
		delete(e.cache, hash)
		e.event(hash, false)
	}
}

func (e *fakeEngine) event(hash uint64, stored bool) {
	e.events = append(e.events, enginewire.CacheEvent{Sequence: e.sequence, Hash: hash, Stored: stored})
	e.sequence++
}

// publish returns the cache events since the last call. It omits them at random
// to simulate gaps.
func (e *fakeEngine) publish(rng *rand.Rand) enginewire.CacheEventsAnswer {
	answer := enginewire.CacheEventsAnswer{Instance: e.Instance, Next: e.sequence}
	const gapShare = 0.05
	if rng.Float64() >= gapShare {
		answer.Events = e.events
	}
	e.events = nil
	return answer
}

// streamHeap orders streams by the step at which they end.
type streamHeap []*work

func (h streamHeap) Len() int { return len(h) }
func (h streamHeap) Less(a, b int) bool {
	if h[a].last != h[b].last {
		return h[a].last < h[b].last
	}
	return h[a].job.id < h[b].job.id
}
func (h streamHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *streamHeap) Push(x any)   { *h = append(*h, x.(*work)) }
func (h *streamHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
