package engined

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/prefix"
)

// maxCacheEvents bounds the kept events; readers see a gap for older ones.
const maxCacheEvents = 10_000

// cache is the prefix cache with its event stream. The server's mutex guards it.
type cache struct {
	dropEvery int
	now       func() time.Time
	chunks    *simplelru.LRU[uint64, struct{}]
	events    []timedEvent
	sequence  int64
}

type timedEvent struct {
	at    time.Time
	event enginewire.CacheEvent
}

func newCache(kvTokens, gapEvery int, now func() time.Time) *cache {
	c := &cache{dropEvery: gapEvery, now: now}
	size := max(1, kvTokens/prefix.ChunkTokens)
	// The only error of NewLRU is a size below one.
	c.chunks, _ = simplelru.NewLRU(size, func(hash uint64, _ struct{}) { c.emit(hash, false) })
	return c
}

func (c *cache) emit(hash uint64, stored bool) {
	event := enginewire.CacheEvent{Sequence: c.sequence, Hash: hash, Stored: stored}
	c.sequence++
	if c.dropEvery > 0 && c.sequence%int64(c.dropEvery) == 0 {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, timedEvent{at: c.now(), event: event})
}

// cachedPrefixLen returns the number of leading chunks that are cached, and
// marks them as recently used.
func (c *cache) cachedPrefixLen(chunkHashes []uint64) int {
	for i, hash := range chunkHashes {
		if _, ok := c.chunks.Get(hash); !ok {
			return i
		}
	}
	return len(chunkHashes)
}

// store adds the chunks and marks those already cached as recently used.
func (c *cache) store(chunkHashes []uint64) {
	for _, hash := range chunkHashes {
		if _, ok := c.chunks.Get(hash); ok {
			continue
		}
		c.chunks.Add(hash, struct{}{})
		c.emit(hash, true)
	}
}

// evictTo evicts the least recently used chunks until the cache holds at most
// tokens.
func (c *cache) evictTo(tokens int) {
	for c.tokens() > max(tokens, 0) {
		c.chunks.RemoveOldest()
	}
}

func (c *cache) tokens() int { return c.chunks.Len() * prefix.ChunkTokens }

// eventsSince returns the events with sequence number from or higher that
// happened no later than horizon, and the sequence number to read from next.
func (c *cache) eventsSince(from int64, horizon time.Time) ([]enginewire.CacheEvent, int64) {
	events := []enginewire.CacheEvent{}
	next := from
	for _, e := range c.events {
		if e.event.Sequence >= from && !e.at.After(horizon) {
			events = append(events, e.event)
			next = e.event.Sequence + 1
		}
	}
	return events, next
}
