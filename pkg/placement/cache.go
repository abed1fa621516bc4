package placement

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// cache is the expected content of one engine's KV cache, with eviction of the
// least recently used parts. It is not safe for concurrent use.
type cache struct {
	parts    *lru.LRU[uint64, cachedPart]
	tokens   int
	capacity int
}

type cachedPart struct {
	tokens int
	// readyAt is when the engine is expected to have computed the part.
	readyAt time.Time
}

// maxCachedParts bounds the number of parts recorded for one engine.
const maxCachedParts = 4096

func newCache(capacityTokens int) *cache {
	c := &cache{capacity: capacityTokens}
	// NewLRU fails only for sizes below one.
	c.parts, _ = lru.NewLRU(maxCachedParts, func(_ uint64, part cachedPart) { c.tokens -= part.tokens })
	return c
}

// add records that the engine holds the parts from readyAt on. It returns the
// IDs of the parts that it did not hold before, or held only from a later time
// on.
func (c *cache) add(parts []Part, readyAt time.Time) (added []uint64) {
	for _, p := range parts {
		if old, ok := c.parts.Get(p.ID); ok {
			if old.readyAt.Before(readyAt) {
				continue
			}
			c.parts.Remove(p.ID)
		}
		c.parts.Add(p.ID, cachedPart{tokens: p.Tokens, readyAt: readyAt})
		c.tokens += p.Tokens
		added = append(added, p.ID)
	}
	for c.tokens > c.capacity && c.parts.Len() > 1 {
		c.parts.RemoveOldest()
	}
	return added
}

// remove drops parts that the engine does not hold after all.
func (c *cache) remove(ids []uint64) {
	for _, id := range ids {
		c.parts.Remove(id)
	}
}

// prefix returns how many tokens of the prompt's leading parts the engine holds
// at the time now. pending includes those that it is still computing.
func (c *cache) prefix(parts []Part, now time.Time) (ready, pending int) {
	complete := true
	for _, p := range parts {
		cached, ok := c.parts.Peek(p.ID)
		if !ok {
			break
		}
		complete = complete && !cached.readyAt.After(now)
		if complete {
			ready += p.Tokens
		}
		pending += p.Tokens
	}
	return ready, pending
}
