package prefix

import (
	"container/list"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
)

const (
	// DefaultMaxChunks is the default number of chunks, about 40 MB of memory.
	DefaultMaxChunks = 200_000
	// maxHolders bounds the holders of one chunk, so that the cost of a lookup is
	// bounded even for a prefix that the whole fleet caches.
	maxHolders = 16
	// eventLag is the usual delay of cache events. An eviction that arrives
	// within this time after an own send may have happened before the send.
	eventLag = 5 * time.Second
)

// Values of Match.Certainty.
const (
	// CertaintyReported applies to chunks that the engine reported as stored.
	CertaintyReported = 1.0
	// CertaintySent applies to chunks of prompts that this host sent.
	CertaintySent = 0.9
	// CertaintyGap applies to entries older than a gap in the engine's events.
	CertaintyGap = 0.5
	// CertaintyReplaced applies to entries from an earlier instance of the
	// endpoint, whose cache is usually lost.
	CertaintyReplaced = 0.05
)

// Match is an endpoint that caches a prefix of a prompt.
type Match struct {
	// Endpoint is an endpoint ID.
	Endpoint string
	// Chunks is the length of the cached prefix in full chunks.
	Chunks int
	// Certainty, 0 to 1, is how likely the endpoint still caches the prefix.
	Certainty float64
}

// Index maps chunk hashes to the endpoints that cache them. It holds a bounded
// number of chunks and drops the least recently used one first. It is safe for
// concurrent use.
type Index struct {
	maxChunks int

	mu     sync.Mutex
	chunks map[uint64]*list.Element // guarded by mu; values are *chunkEntry
	lru    *list.List               // guarded by mu; most recently used first
	feeds  map[string]*feed         // guarded by mu
}

// feed is the state of one endpoint's cache events.
type feed struct {
	// endpoint is the endpoint ID, or empty once the endpoint is forgotten.
	endpoint string
	instance string
	// nextSequence is the sequence number that the next event should have.
	nextSequence int64
	// gaps counts the gaps in the events, replacements the changes of instance.
	// A holder recorded under a lower count is uncertain.
	gaps, replacements uint32
}

// chunkEntry lists the endpoints that cache a chunk, in the order in which they
// were first recorded.
type chunkEntry struct {
	hash    uint64
	holders []holder
}

// holder records that an endpoint caches a chunk.
type holder struct {
	feed *feed
	// gaps and replacements are the feed's counts when the holder was recorded.
	gaps, replacements uint32
	reported           bool
	// sentAt is the time of the latest own send; zero if there was none.
	sentAt time.Time
}

// NewIndex returns an empty index for at most maxChunks chunks, or
// DefaultMaxChunks if it is not positive.
func NewIndex(maxChunks int) *Index {
	if maxChunks <= 0 {
		maxChunks = DefaultMaxChunks
	}
	return &Index{
		maxChunks: maxChunks,
		chunks:    map[uint64]*list.Element{},
		lru:       list.New(),
		feeds:     map[string]*feed{},
	}
}

// RecordSend records that a prompt with this chain was sent to the endpoint.
// Lookup takes the prompt as cached at once, without waiting for an event.
func (x *Index) RecordSend(endpoint, instance string, chain []uint64, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f := x.feedFor(endpoint, instance)
	for _, hash := range chain {
		x.store(hash, f, now, false)
	}
}

// ApplyEvents applies one answer to a poll of the endpoint's cache events. A gap
// in the sequence numbers, including one before the first event, or a new
// instance makes the older entries of the endpoint uncertain until they are
// reported or sent again. Events that were applied before are ignored.
func (x *Index) ApplyEvents(endpoint string, answer enginewire.CacheEventsAnswer, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f := x.feedFor(endpoint, answer.Instance)
	for _, event := range answer.Events {
		if event.Sequence < f.nextSequence {
			continue
		}
		if event.Sequence > f.nextSequence {
			f.gaps++
		}
		f.nextSequence = event.Sequence + 1
		if event.Stored {
			x.store(event.Hash, f, now, true)
		} else {
			x.evict(event.Hash, f, now)
		}
	}
	if answer.Next > f.nextSequence {
		f.gaps++
		f.nextSequence = answer.Next
	}
}

// Forget drops the entries of an endpoint that is gone.
func (x *Index) Forget(endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if f := x.feeds[endpoint]; f != nil {
		f.endpoint = ""
		delete(x.feeds, endpoint)
	}
}

// Len returns the number of chunks held.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.chunks)
}

// Lookup appends to matches up to limit endpoints that cache a prefix of the
// chain, longest prefix first, and returns the extended slice. An endpoint that
// caches a chunk is assumed to cache all chunks before it.
func (x *Index) Lookup(matches []Match, chain []uint64, limit int) []Match {
	x.mu.Lock()
	defer x.mu.Unlock()
	start := len(matches)
	for depth := len(chain); depth > 0 && len(matches)-start < limit; depth-- {
		element, ok := x.chunks[chain[depth-1]]
		if !ok {
			continue
		}
		x.lru.MoveToFront(element)
		for _, h := range element.Value.(*chunkEntry).holders {
			if len(matches)-start >= limit {
				break
			}
			if h.feed.endpoint == "" || contains(matches[start:], h.feed.endpoint) {
				continue
			}
			matches = append(matches, Match{Endpoint: h.feed.endpoint, Chunks: depth, Certainty: h.certainty()})
		}
	}
	return matches
}

func (h holder) certainty() float64 {
	switch {
	case h.replacements != h.feed.replacements:
		return CertaintyReplaced
	case h.gaps != h.feed.gaps:
		return CertaintyGap
	case h.reported:
		return CertaintyReported
	default:
		return CertaintySent
	}
}

func contains(matches []Match, endpoint string) bool {
	for _, m := range matches {
		if m.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// feedFor returns the feed of the endpoint and handles a change of its instance.
// It must be called with mu held.
func (x *Index) feedFor(endpoint, instance string) *feed {
	f := x.feeds[endpoint]
	if f == nil {
		f = &feed{endpoint: endpoint, instance: instance}
		x.feeds[endpoint] = f
	}
	if f.instance != instance {
		f.instance = instance
		f.replacements++
		f.nextSequence = 0
	}
	return f
}

// store records f's endpoint as a holder of the chunk. reported is false for an
// own send. It must be called with mu held.
func (x *Index) store(hash uint64, f *feed, now time.Time, reported bool) {
	element, ok := x.chunks[hash]
	if !ok {
		element = x.lru.PushFront(&chunkEntry{hash: hash})
		x.chunks[hash] = element
		x.trim()
	} else {
		x.lru.MoveToFront(element)
	}
	entry := element.Value.(*chunkEntry)
	updated := holder{feed: f, gaps: f.gaps, replacements: f.replacements, reported: reported}
	if !reported {
		updated.sentAt = now
	}
	for i, h := range entry.holders {
		if h.feed == f {
			if updated.sentAt.IsZero() {
				updated.sentAt = h.sentAt
			}
			entry.holders[i] = updated
			return
		}
	}
	if len(entry.holders) >= maxHolders {
		copy(entry.holders, entry.holders[1:])
		entry.holders = entry.holders[:maxHolders-1]
	}
	entry.holders = append(entry.holders, updated)
}

// trim must be called with mu held.
func (x *Index) trim() {
	for len(x.chunks) > x.maxChunks {
		oldest := x.lru.Back()
		x.lru.Remove(oldest)
		delete(x.chunks, oldest.Value.(*chunkEntry).hash)
	}
}

// evict removes f's endpoint from the holders of the chunk. It must be called
// with mu held.
func (x *Index) evict(hash uint64, f *feed, now time.Time) {
	element, ok := x.chunks[hash]
	if !ok {
		return
	}
	entry := element.Value.(*chunkEntry)
	for i, h := range entry.holders {
		if h.feed != f {
			continue
		}
		if !h.sentAt.IsZero() && now.Sub(h.sentAt) < eventLag {
			// The eviction may have happened before the send, so the entry becomes
			// uncertain instead of being removed.
			entry.holders[i].reported = false
			entry.holders[i].gaps = f.gaps - 1
			return
		}
		entry.holders = append(entry.holders[:i], entry.holders[i+1:]...)
		break
	}
	if len(entry.holders) == 0 {
		x.lru.Remove(element)
		delete(x.chunks, hash)
	}
}
