package keyedlog

import (
	"context"
	"time"
)

const (
	// offerGrace is how long after the news that records exist the records
	// themselves may take from another host: they are sent first.
	offerGrace = 120 * time.Millisecond
	// awaitInterval bounds the wait for news, so that a host begins to read when
	// it has to lead.
	awaitInterval = 500 * time.Millisecond
	// behindBackoff is the longest delay between failed reads of a host that others
	// read for and that was told of records which it lacks; minRestBackoff and
	// restBackoff bound the delay of one that was not. Each call is priced, also
	// while the store is away.
	behindBackoff  = time.Second
	minRestBackoff = time.Second
	restBackoff    = 4 * time.Second
	// maxOffers bounds the offered pages that wait; the follower reads what it
	// misses.
	maxOffers = 64
)

// Sharing lets few hosts read a topic for all. The load pattern: many hosts that
// follow a topic which changes several times a second cost a read each for every
// change. Leaders read; the others apply the pages that leaders publish, read by
// themselves what they miss, and read as leaders do while no leader is heard.
type Sharing struct {
	// Leads reports whether this host reads for others.
	Leads func() bool
	// Cover is how long a host goes without its own reads after the store has last
	// answered a host that tells it so. It must be shorter than the time in which a
	// change has to be known: a host that is cut off from the others finds out by it.
	Cover time.Duration
	// Publish receives each page with records that this host has read, and the
	// offset from which. Nil if the others are to read the records themselves.
	Publish func(from int64, page Page)
}

// offer is a page that another host has read.
type offer struct {
	from int64
	page Page
}

// Offer is given a page that another host has read from an offset on.
func (f *Follower) Offer(from int64, page Page) {
	select {
	case f.offers <- offer{from, page}:
	default:
		// The follower finds out by the next host that tells how far it has read.
	}
}

// Told is told that another host has followed the topic up to an offset, and when
// the store answered it. A read in progress that has not shown the same for a while
// is begun again.
func (f *Follower) Told(next int64, answeredAt time.Time) {
	f.mu.Lock()
	now := time.Now()
	if next >= f.next.Load() && answeredAt.After(f.coveredAt) {
		f.coveredAt = answeredAt
	}
	more := next > f.told
	if more {
		f.told, f.toldAt = next, now
	}
	f.mu.Unlock()
	if more && next > f.next.Load() {
		select {
		case f.news <- struct{}{}:
		default:
		}
	}
	f.Behind(next)
}

// mayWait returns how long the follower may wait for news in place of a read of
// its own; zero if it has to read.
func (f *Follower) mayWait(now time.Time) time.Duration {
	if f.opts.Sharing == nil || !f.known || f.opts.Sharing.Leads() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Own answers do not count: a host that nobody reads for reads all the time.
	wait := min(awaitInterval, f.coveredAt.Add(f.opts.Sharing.Cover).Sub(now))
	if f.told > f.next.Load() {
		grace := offerGrace
		if f.opts.Sharing.Publish == nil {
			grace = 0
		}
		wait = min(wait, f.toldAt.Add(grace).Sub(now))
	}
	return max(wait, 0)
}

// await waits for pages or news of other hosts. It reports whether the follower
// has to read by itself.
func (f *Follower) await(ctx context.Context) bool {
	wait := f.mayWait(time.Now())
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.news:
	case o := <-f.offers:
		f.take(o)
	}
	return false
}

// backoffBounds returns the bounds of the delay between failed reads.
func (f *Follower) backoffBounds() (least, most time.Duration) {
	if f.opts.Sharing == nil || f.opts.Sharing.Leads() {
		return minBackoff, maxBackoff
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || f.told > f.next.Load() {
		return minBackoff, behindBackoff
	}
	return minRestBackoff, restBackoff
}

// pause waits for d, or until news or ctx ends it; offered pages are used meanwhile.
func (f *Follower) pause(ctx context.Context, d time.Duration, news <-chan struct{}) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-news:
			return
		case o := <-f.offers:
			f.take(o)
		}
	}
}

// take applies an offered page as far as it goes on from what was followed. A
// page that begins later is not used: the next read closes the gap.
func (f *Follower) take(o offer) {
	next := f.next.Load()
	if o.from > next || o.page.Next <= next {
		return
	}
	for _, r := range newestOfEach(o.page.Records) {
		if r.Offset >= next {
			f.opts.Apply(r)
		}
	}
	f.next.Store(o.page.Next)
}

// publish passes a page that was read to the other hosts, if this one leads.
func (f *Follower) publish(from int64, page Page) {
	s := f.opts.Sharing
	if s != nil && s.Publish != nil && len(page.Records) > 0 && s.Leads() {
		s.Publish(from, page)
	}
}

// Answered returns the offset up to which the topic has been followed, and when
// an own read was last answered.
func (f *Follower) Answered() (next int64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next.Load(), f.answeredAt
}
