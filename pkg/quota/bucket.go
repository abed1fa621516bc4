package quota

import "time"

// bucket is a token bucket. Its times are those of the book's clock.
type bucket struct {
	limit Limit
	// level may be negative: a request was larger than the bucket, or its tokens are
	// granted for a later time.
	level float64
	// at is the time up to which the level is refilled, readyAt when refilling begins.
	at, readyAt int64
	// createdAt and fullAt, the last time at which credit was discarded, bound which
	// tokens may be given back.
	createdAt, fullAt int64
	usedAt            int64
	granted           float64
	// handedOver says that the former owner has passed the bucket on.
	handedOver bool
	// fromFirstStart says that the bucket was full at the first start of the system.
	fromFirstStart bool
}

// newBucket returns a bucket for a team that this host has owned since a time.
func (b *Book) newBucket(team string, limit Limit, share float64, since int64) *bucket {
	k := &bucket{limit: limit, at: since, readyAt: since + b.opts.joinTime().Microseconds(), createdAt: b.clock, usedAt: b.clock}
	full := limit.capacity() * share
	if b.inFirstStart() && since == b.started {
		// No host has spent anything before.
		k.level, k.readyAt, k.fromFirstStart = full, since, true
		return k
	}
	if _, credited := b.credited[team]; !credited {
		// Once in a window: the owner of a team may change often.
		k.level = min(full, b.opts.Bounds.startCredit(limit)*share)
		b.credited[team] = b.clock
	}
	return k
}

// refill adds the credit since the last call.
func (k *bucket) refill(limit Limit, share float64, clock int64) {
	k.limit = limit
	if from := max(k.at, k.readyAt); clock > from {
		k.level += limit.Rate * share * float64(clock-from) / 1e6
	}
	k.at = max(k.at, clock)
	if full := limit.capacity() * share; k.level >= full {
		k.level, k.fullAt = full, clock
	}
}

// take decides on a request for tokens from a bucket that stands for a share of the
// limit.
func (b *Book) take(k *bucket, limit Limit, share, tokens float64) Decision {
	k.refill(limit, share, b.clock)
	k.usedAt = b.clock
	full := limit.capacity() * share
	d := Decision{Grant: true, Reason: ReasonCredit, Stamp: b.clock, Share: share}
	if tokens-full > b.opts.Bounds.Slack*debtShare*share {
		d.Grant, d.Reason, d.After, d.Level = false, ReasonTooLarge, b.opts.Bounds.Window, k.level
		return d
	}
	// A request that is larger than the bucket needs it full.
	if missing := min(tokens, full) - k.level; missing > 0 {
		start := time.Duration(max(0, k.readyAt-b.clock)) * time.Microsecond
		d.After = start + time.Duration(missing/(limit.Rate*share)*float64(time.Second))
		// A bucket that is not refilled yet grants nothing for later: it may be removed
		// before, and the next one would grant it again.
		if start > 0 || d.After > maxWait {
			d.Grant, d.Reason, d.Level = false, ReasonOverLimit, k.level
			if start > 0 {
				d.Reason = ReasonNewOwner
			}
			return d
		}
	}
	k.level -= tokens
	k.granted += tokens
	d.Level = k.level
	return d
}

// giveBack adds tokens that were granted at a time and not spent. It does nothing if
// the bucket did not grant them, or if it was full since: the credit that they took was
// refilled and further credit was discarded.
func (k *bucket) giveBack(tokens float64, stamp int64) bool {
	if k == nil || stamp < k.createdAt || stamp < k.fullAt {
		return false
	}
	k.level += tokens
	k.granted -= tokens
	return true
}
