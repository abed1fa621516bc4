// Package membudget bounds the bytes that a host holds for its callers: the requests
// that are being read, those in flight, and the answers that are not yet written.
//
// It decides what is admitted and which connection gives way to others. It does not
// read the clock, and allocates or frees no memory of callers itself.
package membudget

import (
	"container/list"
	"runtime/debug"
	"sync"
	"time"
)

const (
	// collectorPercent and collectorShare are what the garbage collector of a process
	// that has a memory of its own is set to: the growth of the heap before a collection,
	// in percent, and the part of the memory that it aims to stay below.
	collectorPercent = 40
	collectorShare   = 0.7
	// hostShare is the part of a host's memory that is the budget. The collector aims
	// at 0.7 of the memory; the rest of that holds the heap of the host itself, the
	// stacks of the connections and the garbage between two collections.
	hostShare = 0.3
	// reserveShare is the part of the budget that may be used beyond it, by small
	// charges and answers. Bodies that fill the budget must not keep other requests
	// from being read, nor those in flight from being answered.
	reserveShare = 0.25
	// maxBodyShare bounds the charge of one body, so that the largest body that a host
	// accepts is admitted when nothing else is held.
	maxBodyShare = 0.75
	// smallBytes is the largest charge of a request that may use the reserve: the
	// buffer of its head and a small body.
	smallBytes = 128 << 10
	// EvictAge is how long a request must have been read before it may be evicted. A
	// request of a well-behaved caller arrives in less, except for large bodies on slow
	// links.
	EvictAge = 300 * time.Millisecond
	// StalledWriteAge is how long a caller must have read nothing of its answer before
	// its connection may be evicted.
	StalledWriteAge = 3 * time.Second
	// maxVictims bounds the shares that are examined for one eviction.
	maxVictims = 256
	// rateWindow is the time over which the rate of release is measured.
	rateWindow = time.Second
	// The Retry-After of a refusal is between minRetryAfter and maxRetryAfter, and
	// defaultRetryAfter if nothing has been released in the last windows.
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
	defaultRetryAfter = time.Second
)

// answerReserveShare is the part of the reserve that answers may use. The rest is left
// for small requests: answers that nobody reads would keep them out.
const answerReserveShare = 0.5

// SetCollector sets the garbage collector of a process with the given memory. Memory at
// its peak is what the platform charges a host for, and kills it for.
func SetCollector(memoryBytes int64) {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(collectorShare * float64(memoryBytes)))
}

// HostLimit returns the budget of a host with the given memory.
func HostLimit(memoryBytes int64) int64 { return int64(hostShare * float64(memoryBytes)) }

// Stats are the figures of a budget.
type Stats struct {
	// Limit is the budget, Held the bytes charged now and Peak the most that were.
	Limit int64 `json:"limit_bytes"`
	Held  int64 `json:"held_bytes"`
	Peak  int64 `json:"held_peak_bytes"`
	// Refused counts the requests that were refused, EvictedReads the requests that
	// were given up while they were read, EvictedWrites the answers that were given up
	// because their callers did not read them.
	Refused       int64 `json:"requests_refused"`
	EvictedReads  int64 `json:"reads_evicted"`
	EvictedWrites int64 `json:"answers_evicted"`
}

// Budget bounds the bytes held. It is safe for concurrent use. A nil budget has no
// bound.
type Budget struct {
	mu    sync.Mutex
	stats Stats // guarded by mu
	// reading holds the shares whose request is being read, by its start. writing holds
	// those whose answer is being written, by the last progress.
	reading, writing list.List // guarded by mu
	// leaving is what the evicted shares still hold.
	leaving int64 // guarded by mu
	rate    rate  // guarded by mu
}

// New returns a budget of limit bytes, or nil if limit is not positive.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{stats: Stats{Limit: limit}}
}

// Stats returns the figures of the budget.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// TakeAnswer charges a piece of n bytes of an answer that is being read from an
// endpoint, or reports false if the budget and its reserve are exhausted.
func (b *Budget) TakeAnswer(n int64, now time.Time) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stats.Held+n > b.stats.Limit+b.answerReserve() {
		return false
	}
	b.add(n, now)
	return true
}

// Force charges n bytes without a bound.
func (b *Budget) Force(n int64, now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(n, now)
}

// Release ends a charge of TakeAnswer or Force.
func (b *Budget) Release(n int64, now time.Time) { b.Force(-n, now) }

// MakeRoom evicts requests that have been read for too long, and answers that their
// callers do not read, if that makes room for n bytes of another answer.
func (b *Budget) MakeRoom(n int64, now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	victims := b.evict(b.stats.Held+n-b.stats.Limit-b.answerReserve(), now)
	b.mu.Unlock()
	notify(victims)
}

// Room returns how many bytes of bodies can be charged now. If they are less than n, it
// evicts as MakeRoom does.
func (b *Budget) Room(n int64, now time.Time) int64 {
	if b == nil {
		return n
	}
	b.mu.Lock()
	room := b.stats.Limit - b.stats.Held
	var victims []victim
	if n = b.bodyCharge(n); n > room {
		victims = b.evict(n-room, now)
	}
	b.mu.Unlock()
	notify(victims)
	return room
}

// RetryAfter returns the time after which n bytes are expected to be free.
func (b *Budget) RetryAfter(n int64, now time.Time) time.Duration {
	if b == nil {
		return minRetryAfter
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	excess := b.stats.Held + b.bodyCharge(n) - b.stats.Limit
	if excess <= 0 {
		return minRetryAfter
	}
	wait := defaultRetryAfter
	if perSecond := b.rate.perSecond(now); perSecond > 0 {
		wait = min(max(time.Duration(float64(excess)/perSecond*float64(time.Second)), minRetryAfter), maxRetryAfter)
	}
	return max(wait, b.untilStalled(now))
}

// untilStalled returns the time until the answer that has been unread longest may be
// evicted, zero if none is unread for long. What is released meanwhile is taken by the
// answers that wait. It must be called with mu held.
func (b *Budget) untilStalled(now time.Time) time.Duration {
	front := b.writing.Front()
	if front == nil {
		return 0
	}
	s, _ := front.Value.(*Share)
	if age := now.Sub(s.since); age >= EvictAge && age < StalledWriteAge {
		return StalledWriteAge - age
	}
	return 0
}

// reserve returns the bytes that may be used beyond the limit. b.mu must be held.
func (b *Budget) reserve() int64 { return int64(reserveShare * float64(b.stats.Limit)) }

// answerReserve returns the part of the reserve that answers may use.
func (b *Budget) answerReserve() int64 {
	return int64(answerReserveShare * float64(b.reserve()))
}

// bodyCharge returns what is charged for n bytes of a request. b.mu must be held.
func (b *Budget) bodyCharge(n int64) int64 {
	return min(n, max(smallBytes, int64(maxBodyShare*float64(b.stats.Limit))))
}

// add changes the bytes held. b.mu must be held.
func (b *Budget) add(n int64, now time.Time) {
	b.stats.Held += n
	b.stats.Peak = max(b.stats.Peak, b.stats.Held)
	if n < 0 {
		b.rate.add(-n, now)
	}
}

// evict chooses shares whose bytes cover the excess, first the requests that have been
// read for the longest time, then the answers that have waited longest for their
// callers. It chooses none if all together do not cover it. The caller must pass them
// to notify after it has released b.mu.
func (b *Budget) evict(excess int64, now time.Time) []victim {
	excess -= b.leaving
	if excess <= 0 {
		return nil
	}
	var victims []victim
	choose := func(shares *list.List, age time.Duration) {
		for e := shares.Front(); e != nil && excess > 0 && len(victims) < maxVictims; e = e.Next() {
			s, _ := e.Value.(*Share)
			if now.Sub(s.since) < age {
				return
			}
			victims = append(victims, victim{s, s.phase == reading})
			excess -= s.held
		}
	}
	choose(&b.reading, EvictAge)
	choose(&b.writing, StalledWriteAge)
	if excess > 0 {
		return nil
	}
	for _, v := range victims {
		s := v.share
		s.evicted = true
		b.leaving += s.held
		if v.reading {
			b.stats.EvictedReads++
		} else {
			b.stats.EvictedWrites++
		}
		s.unlist()
	}
	return victims
}

// victim is a share that has been evicted, and whether its request was being read.
type victim struct {
	share   *Share
	reading bool
}

func notify(victims []victim) {
	for _, v := range victims {
		v.share.onEvict(v.reading)
	}
}

// rate measures the bytes released per second in the current and the last window.
type rate struct {
	start         time.Time
	current, last int64
}

func (r *rate) advance(now time.Time) {
	switch since := now.Sub(r.start); {
	case since >= 2*rateWindow:
		r.start, r.current, r.last = now, 0, 0
	case since >= rateWindow:
		r.start, r.current, r.last = r.start.Add(rateWindow), 0, r.current
	}
}

func (r *rate) add(n int64, now time.Time) {
	r.advance(now)
	r.current += n
}

func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	return float64(r.current+r.last) / (rateWindow + now.Sub(r.start)).Seconds()
}
