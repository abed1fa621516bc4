package membudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// ignore is the callback of shares whose eviction the test does not observe.
func ignore(bool) {}

// TestBodiesStayWithinTheLimit guards against a host that is killed because the bodies
// that it reads are bounded one by one only. The buffers of the refused ones are charged
// to the reserve.
func TestBodiesStayWithinTheLimit(t *testing.T) {
	b := New(10 << 20)
	admitted := 0
	for range 20 {
		s := b.Open(ignore)
		if s.BeginRead(64<<10, start) && s.Grow(2<<20, start) {
			admitted++
		}
	}
	if stats := b.Stats(); admitted != 5 || stats.Held > 10<<20+15*64<<10 {
		t.Errorf("%d bodies of 2 MiB admitted to 10 MiB, %d bytes held", admitted, stats.Held)
	}
}

// TestUsualLoadIsNotRefused guards against refusals on the smallest host under its usual
// load: 300 connections whose requests begin at once and 100 requests of 17 KB in flight.
func TestUsualLoadIsNotRefused(t *testing.T) {
	b := New(HostLimit(144 << 20))
	for i := range 400 {
		s := b.Open(ignore)
		if !s.BeginRead(64<<10, start) || i < 100 && (!s.Grow(96<<10, start) || !s.EndRead(48<<10, start)) {
			t.Fatalf("connection %d is refused", i)
		}
	}
}

// TestSmallRequestsBesideFullBudget guards against bodies that fill the budget and keep
// every other request from being read.
func TestSmallRequestsBesideFullBudget(t *testing.T) {
	b := New(43 << 20)
	b.Force(43<<20, start)
	small, large := b.Open(ignore), b.Open(ignore)
	if !small.BeginRead(64<<10, start) || !small.Grow(96<<10, start) {
		t.Error("a small request is refused")
	}
	if large.BeginRead(64<<10, start); large.Grow(1<<20, start) {
		t.Error("a large request is admitted")
	}
}

// TestLargestBodyIsAdmittedAlone guards against a body within the limits that is refused
// by a host that holds nothing else.
func TestLargestBodyIsAdmittedAlone(t *testing.T) {
	b := New(HostLimit(144 << 20))
	s := b.Open(ignore)
	if !s.BeginRead(64<<10, start) || !s.Grow(64<<20, start) {
		t.Error("refused")
	}
}

// TestLongestReadIsEvicted guards against callers that stop short of the end of their
// requests and hold the budget for as long as they like, and against the eviction of
// requests that arrive at the usual speed or are in flight.
func TestLongestReadIsEvicted(t *testing.T) {
	b := New(10 << 20)
	evicted := map[int]bool{}
	open := func(id int, at time.Duration) *Share {
		s := b.Open(func(reading bool) {
			if !reading {
				t.Errorf("share %d is evicted as if it were not read", id)
			}
			evicted[id] = true
		})
		if !s.BeginRead(64<<10, start.Add(at)) || !s.Grow(3<<20, start.Add(at)) {
			t.Fatalf("share %d is refused", id)
		}
		return s
	}
	inFlight := open(0, 0)
	inFlight.EndRead(3<<20, start)
	old := open(1, 10*time.Millisecond)
	open(2, 200*time.Millisecond)
	next := b.Open(ignore)
	at := start.Add(10*time.Millisecond + EvictAge)
	if next.BeginRead(64<<10, at.Add(-time.Millisecond)); next.Grow(3<<20, at.Add(-time.Millisecond)) || len(evicted) > 0 {
		t.Fatalf("evicted before their time: %v", evicted)
	}
	if next.Grow(3<<20, at) || !evicted[1] || len(evicted) != 1 {
		t.Fatalf("evicted %v, want the longest read only; its bytes are still held", evicted)
	}
	if next.Grow(3<<20, at.Add(time.Second)) || len(evicted) != 1 {
		t.Errorf("evicted %v while the first victim still lets go", evicted)
	}
	if old.EndRead(0, at) || !old.Evicted() {
		t.Error("the evicted request may be served")
	}
	if !next.Grow(3<<20, at) {
		t.Error("no room after the eviction")
	}
	if got := b.Stats().EvictedReads; got != 1 {
		t.Errorf("%d evictions counted", got)
	}
}

// TestUselessEvictions guards against the eviction of slow requests that makes no room,
// because requests in flight hold the budget.
func TestUselessEvictions(t *testing.T) {
	b := New(10 << 20)
	b.Force(9<<20, start)
	slow := b.Open(func(bool) { t.Error("evicted") })
	slow.BeginRead(64<<10, start)
	next := b.Open(ignore)
	next.BeginRead(64<<10, start.Add(time.Second))
	if next.Grow(4<<20, start.Add(time.Second)) {
		t.Error("admitted")
	}
}

// TestUnreadAnswersAreEvicted guards against callers that do not read their answers and
// hold the budget, and against cutting off callers that read slowly.
func TestUnreadAnswersAreEvicted(t *testing.T) {
	b := New(10 << 20)
	evicted := 0
	unread := b.Open(func(reading bool) {
		if reading {
			t.Error("evicted as if it were read")
		}
		evicted++
	})
	slow := b.Open(func(bool) { t.Error("a caller that reads is cut off") })
	for _, s := range []*Share{unread, slow} {
		s.BeginRead(0, start)
		s.EndRead(4<<20, start)
		s.Writing(start)
	}
	slow.Writing(start.Add(2 * time.Second))
	next := b.Open(ignore)
	at := start.Add(StalledWriteAge)
	next.BeginRead(64<<10, at)
	if next.Grow(4<<20, at) || evicted != 1 {
		t.Errorf("%d evicted, want one", evicted)
	}
	unread.Close(at)
	if !next.Grow(4<<20, at) {
		t.Error("no room after the eviction")
	}
}

// TestRetryAfter guards against a Retry-After that has nothing to do with the time in
// which the host gets room.
func TestRetryAfter(t *testing.T) {
	b := New(10 << 20)
	b.Force(20<<20, start)
	if got := b.RetryAfter(1<<20, start); got != defaultRetryAfter {
		t.Errorf("%v before anything was released", got)
	}
	for i := range 20 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		b.Force(1<<20, at)
		b.Release(1<<20, at)
	}
	// 11 MiB are to be released, at 10 MiB a second.
	got := b.RetryAfter(1<<20, start.Add(1999*time.Millisecond))
	if got < 900*time.Millisecond || got > 1300*time.Millisecond {
		t.Errorf("%v, want about 1.1 s", got)
	}
	b.Release(20<<20, start)
	if got := b.RetryAfter(1<<20, start); got != minRetryAfter {
		t.Errorf("%v with room", got)
	}
}

// TestRandomHistories guards against charges that are lost or left behind in any order
// of requests, evictions and closed connections.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := New(8 << 20)
		now := start
		shares := make([]*Share, 20)
		for i := range shares {
			shares[i] = b.Open(ignore)
		}
		for range 500 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			s := shares[random.IntN(len(shares))]
			switch random.IntN(8) {
			case 0, 1:
				s.BeginRead(64<<10, now)
			case 2, 3:
				s.Grow(int64(random.IntN(4<<20)), now)
			case 4:
				s.EndRead(int64(random.IntN(1<<20)), now)
			case 5:
				s.Writing(now)
			case 6:
				s.Written(now)
			case 7:
				s.Clear(now)
			}
			var held, leaving int64
			for _, s := range shares {
				held += s.held
				if s.evicted {
					leaving += s.held
				}
			}
			if held != b.stats.Held || leaving != b.leaving || held < 0 {
				t.Fatalf("seed %d: %d bytes held and %d leaving, counted %d and %d", seed, held, leaving, b.stats.Held, b.leaving)
			}
		}
		for _, s := range shares {
			s.Close(now)
		}
		if b.stats.Held != 0 || b.leaving != 0 || b.reading.Len()+b.writing.Len() != 0 {
			t.Fatalf("seed %d: %d bytes held by closed connections", seed, b.stats.Held)
		}
	}
}
