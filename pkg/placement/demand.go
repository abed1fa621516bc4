package placement

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// demandTimeConstant is the time constant of the count of uses of a part. It is
	// a few times as long as the prefill of a long part, during which the requests for
	// it would queue at one engine.
	demandTimeConstant = time.Second
	// usualUses is the count of uses up to which a part is not in demand. In the usual
	// load each shared part is used about once a second.
	usualUses = 3.0
	// maxDemandParts bounds the parts whose uses are counted.
	maxDemandParts = 4096
)

// demand counts the recent uses of the first parts of prompts by all hosts.
//
// Load pattern: a new shared part that many requests use at once. Until one engine has
// computed it, it cannot be copied, and all requests for it queue at that engine. To
// compute it at more engines costs each of the requests only a share.
//
// It is not safe for concurrent use.
type demand struct {
	uses *lru.LRU[uint64, recentUses]
}

type recentUses struct {
	count float64
	at    time.Time
}

func newDemand() demand {
	// NewLRU fails only for sizes below one.
	uses, _ := lru.NewLRU[uint64, recentUses](maxDemandParts, nil)
	return demand{uses}
}

// add counts a use of the first part of a prompt. A prompt of one part shares nothing.
func (d *demand) add(parts []Part, now time.Time) {
	if len(parts) < 2 {
		return
	}
	u, _ := d.uses.Get(parts[0].ID)
	d.uses.Add(parts[0].ID, recentUses{count: u.decayed(now) + 1, at: now})
}

// share returns the share of the cost of computing the first part again, from 0 to 1,
// that counts for each request.
func (d *demand) share(parts []Part, now time.Time) float64 {
	if len(parts) < 2 {
		return 1
	}
	u, _ := d.uses.Peek(parts[0].ID)
	return min(1, usualUses/max(u.decayed(now), 1))
}

func (u recentUses) decayed(now time.Time) float64 {
	return u.count * math.Exp(-max(0, now.Sub(u.at)).Seconds()/demandTimeConstant.Seconds())
}
