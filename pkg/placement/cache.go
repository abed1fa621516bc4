package placement

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// cache is the expected content of one engine's KV cache: the least recently
// used parts yield first. It is not safe for concurrent use.
type cache struct {
	parts    *lru.LRU[uint64, held]
	tokens   int
	capacity int
}

type held struct {
	tokens int
	// readyAt is when the engine is expected to have read the part.
	readyAt time.Time
}

// maxParts bounds the parts of one engine.
const maxParts = 4096

func newCache(capacityTokens int) *cache {
	c := &cache{capacity: capacityTokens}
	// The constructor fails for sizes below one only.
	c.parts, _ = lru.NewLRU(maxParts, func(_ uint64, h held) { c.tokens -= h.tokens })
	return c
}

// add notes that the engine holds the parts from readyAt on. It returns those
// that it did not hold before.
func (c *cache) add(parts []Part, readyAt time.Time) (added []uint64) {
	for _, p := range parts {
		if old, ok := c.parts.Get(p.ID); ok {
			if old.readyAt.Before(readyAt) {
				continue
			}
			c.parts.Remove(p.ID)
		}
		c.parts.Add(p.ID, held{tokens: p.Tokens, readyAt: readyAt})
		c.tokens += p.Tokens
		added = append(added, p.ID)
	}
	for c.tokens > c.capacity && c.parts.Len() > 1 {
		c.parts.RemoveOldest()
	}
	return added
}

// remove drops parts that turned out not to be held.
func (c *cache) remove(ids []uint64) {
	for _, id := range ids {
		c.parts.Remove(id)
	}
}

// prefix returns how many tokens of the prompt's leading parts the engine holds
// at the time by, and how many including those that it is still reading.
func (c *cache) prefix(parts []Part, by time.Time) (ready, coming int) {
	complete := true
	for _, p := range parts {
		h, ok := c.parts.Peek(p.ID)
		if !ok {
			break
		}
		complete = complete && !h.readyAt.After(by)
		if complete {
			ready += p.Tokens
		}
		coming += p.Tokens
	}
	return ready, coming
}
