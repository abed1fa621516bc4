package keyedlog

import (
	"context"
	"slices"
	"time"
)

const (
	// pageGrace is how long after the progress report the page itself may
	// arrive, although it is sent first.
	pageGrace = 120 * time.Millisecond
	// maxPeerWait bounds one wait for other hosts, so that a host that becomes
	// a leader soon begins to read.
	maxPeerWait = 500 * time.Millisecond
	// maxBehindBackoff is the longest delay between failed reads of a host that
	// does not lead and lacks records that another host has reported.
	// minIdleBackoff and maxIdleBackoff bound the delay of one that lacks none.
	// Each call is billed, also during an outage of the store.
	maxBehindBackoff = time.Second
	minIdleBackoff   = time.Second
	maxIdleBackoff   = 4 * time.Second
	// maxOffers is the number of offered pages that are queued. The follower
	// reads the records of a page that does not fit.
	maxOffers = 64
)

// Sharing lets a few hosts, the leaders, read a topic on behalf of all. Without
// it, each change of a topic costs one read per host, which is too many for
// topics that change several times a second. Leaders read and publish pages.
// The other hosts apply these pages, read what they miss, and read continuously
// while no leader is heard.
type Sharing struct {
	// Leads reports whether this host reads for the others.
	Leads func() bool
	// MaxConfirmationAge is how long this host does not read after the store has
	// answered another host that is at least as far as this one. It must be
	// shorter than the time within which a change has to be known, because a
	// host that is cut off from the others takes as long to notice it.
	MaxConfirmationAge time.Duration
	// Publish receives each page with records that this host has read as a
	// leader, and the offset from which it was read. The page has only the records
	// that are a Change: endpoints write their announcements again each second,
	// and the other hosts would spend most of their control work on these. If it is
	// nil, the other hosts read the records themselves.
	Publish func(from int64, page Page)
}

// offer is a page that another host has read.
type offer struct {
	from int64
	page Page
}

// Offer queues a page that another host has read from an offset on. It does not
// block: if the queue is full, the page is discarded.
func (f *Follower) Offer(from int64, page Page) {
	f.ObserveEra(page.Era)
	select {
	case f.offers <- offer{from, page}:
	default:
		// A later progress report shows the follower what it lacks.
	}
}

// ObserveProgress records how far another host has followed the topic and when the store
// answered it. A read in progress that should have returned these records by now is begun
// again. Progress in an older era says nothing.
func (f *Follower) ObserveProgress(p Progress) {
	f.ObserveEra(p.Era)
	f.mu.Lock()
	if p.Era != f.era {
		f.mu.Unlock()
		return
	}
	now := time.Now()
	if f.nextEra == f.era && p.Next >= f.next.Load() && p.At.After(f.confirmedAt) {
		f.confirmedAt = p.At
	}
	advanced := p.Next > f.peerNext
	if advanced {
		f.peerNext, f.peerNextAt = p.Next, now
	}
	behind := f.nextEra == f.era && p.Next > f.next.Load()
	f.mu.Unlock()
	if advanced && behind {
		select {
		case f.peerAhead <- struct{}{}:
		default:
		}
	}
	if behind {
		f.InterruptIfBehind(p.Next)
	}
}

// peerWait returns how long the follower may wait for other hosts before it
// reads itself; zero if it has to read now.
func (f *Follower) peerWait(now time.Time) time.Duration {
	if f.opts.Sharing == nil || !f.synced() || f.opts.Sharing.Leads() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Answers to this host do not count: it has to read continuously if no
	// other host does.
	wait := min(maxPeerWait, f.confirmedAt.Add(f.opts.Sharing.MaxConfirmationAge).Sub(now))
	if f.peerNext > f.next.Load() {
		grace := pageGrace
		if f.opts.Sharing.Publish == nil {
			grace = 0
		}
		wait = min(wait, f.peerNextAt.Add(grace).Sub(now))
	}
	return max(wait, 0)
}

// waitForPeers waits for a page or a progress report of another host. It
// reports whether the follower has to read itself; otherwise it is called
// again.
func (f *Follower) waitForPeers(ctx context.Context) bool {
	wait := f.peerWait(time.Now())
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.peerAhead:
	case o := <-f.offers:
		f.applyOffer(o)
	}
	return false
}

func (f *Follower) backoffBounds() (least, most time.Duration) {
	if f.opts.Sharing == nil || f.opts.Sharing.Leads() {
		return minBackoff, maxBackoff
	}
	synced := f.synced()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !synced || f.peerNext > f.next.Load() {
		return minBackoff, maxBehindBackoff
	}
	return minIdleBackoff, maxIdleBackoff
}

// pause waits for d, or until ctx ends or wake receives. Offered pages are
// applied meanwhile.
func (f *Follower) pause(ctx context.Context, d time.Duration, wake <-chan struct{}) {
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
		case <-wake:
			return
		case o := <-f.offers:
			f.applyOffer(o)
		}
	}
}

// applyOffer applies the records of a page that follow those already applied. A
// page that leaves a gap is ignored; the next read closes the gap. So is a page of
// another era.
func (f *Follower) applyOffer(o offer) {
	f.mu.Lock()
	next, era, current := f.next.Load(), f.nextEra, f.nextEra == f.era
	f.mu.Unlock()
	if !current || o.page.Era != era || o.from > next || o.page.Next <= next {
		return
	}
	f.apply(slices.DeleteFunc(slices.Clone(o.page.Records), func(r Record) bool { return r.Offset < next }))
	f.moveTo(era, o.page.Next)
}

func (f *Follower) publish(from int64, page Page) {
	s := f.opts.Sharing
	if s != nil && s.Publish != nil && s.Leads() {
		s.Publish(from, page)
	}
}
