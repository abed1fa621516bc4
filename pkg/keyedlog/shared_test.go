package keyedlog

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logging"
)

// group is a number of hosts that follow one topic, exchange pages at once and
// report their progress to each other.
type group struct {
	mu        sync.Mutex
	followers []*Follower
	states    []*state
	stops     []context.CancelFunc
	alive     []bool
	// dropPages says that published pages do not arrive.
	dropPages bool
	// publishedEra is the era of the page that was published last.
	publishedEra int64
	// leaderless says that no host leads.
	leaderless bool
}

// testMaxConfirmationAge is the Sharing.MaxConfirmationAge of the hosts.
const testMaxConfirmationAge = 1500 * time.Millisecond

// startGroup starts a number of hosts. The first live ones lead, as many as
// leaders.
func startGroup(t *testing.T, l *fakeLog, hosts, leaders int) *group {
	t.Helper()
	g := &group{}
	var wg sync.WaitGroup
	for i := range hosts {
		s := &state{values: map[string]string{}}
		f := NewFollower(Options{Client: l, Topic: "t", PollWait: func() time.Duration { return 300 * time.Millisecond },
			MinInterval: func() time.Duration { return 10 * time.Millisecond }, Apply: s.apply, Classify: s.classify, Reset: s.reset, Log: logging.Discard(),
			Sharing: &Sharing{
				MaxConfirmationAge: testMaxConfirmationAge,
				Leads:              func() bool { return g.leads(i, leaders) },
				Publish:            func(from int64, page Page) { g.publish(i, from, page) },
			}})
		ctx, stop := context.WithCancel(context.Background())
		g.followers, g.states, g.stops, g.alive = append(g.followers, f), append(g.states, s), append(g.stops, stop), append(g.alive, true)
		wg.Go(func() { f.Run(ctx) })
		wg.Go(func() { g.reportProgress(ctx, i) })
	}
	t.Cleanup(func() {
		for _, stop := range g.stops {
			stop()
		}
		wg.Wait()
	})
	return g
}

func (g *group) leads(self, leaders int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := 0; i < self; i++ {
		if g.alive[i] {
			leaders--
		}
	}
	return leaders > 0 && !g.leaderless
}

func (g *group) publish(self int, from int64, page Page) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.publishedEra = page.Era
	for i, f := range g.followers {
		if i != self && !g.dropPages {
			f.Offer(from, page)
		}
	}
}

// reportProgress passes the progress of a host to the others, as load reports
// do between real hosts.
func (g *group) reportProgress(ctx context.Context, self int) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		g.mu.Lock()
		progress := g.followers[self].Progress()
		for i, f := range g.followers {
			if i != self && g.alive[self] && time.Since(progress.At) < 400*time.Millisecond {
				f.ObserveProgress(progress)
			}
		}
		g.mu.Unlock()
	}
}

func (g *group) kill(host int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stops[host]()
	g.alive[host] = false
}

func (g *group) have(key, value string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, s := range g.states {
		if g.alive[i] && s.get(key) != value {
			return false
		}
	}
	return true
}

// TestLeadersReadForAll guards against a number of reads that grows with the
// number of hosts when a topic changes continuously.
func TestLeadersReadForAll(t *testing.T) {
	l := newFakeLog()
	l.put("a", "0")
	g := startGroup(t, l, 20, 2)
	eventually(t, "the first value", func() bool { return g.have("a", "0") })
	before, began := l.readCount(), time.Now()
	for range 50 {
		l.put("a", "1")
		time.Sleep(20 * time.Millisecond)
	}
	l.put("a", "last")
	eventually(t, "the last value", func() bool { return g.have("a", "last") })
	// If all hosts read, each would read once per change.
	if n, took := l.readCount()-before, time.Since(began); n > 4*51 {
		t.Errorf("%d reads of 20 hosts for 51 changes in %v", n, took)
	}
}

// TestLostPagesAreRead guards against a host that waits for a page whose
// datagram was lost.
func TestLostPagesAreRead(t *testing.T) {
	l := newFakeLog()
	l.put("a", "1")
	g := startGroup(t, l, 4, 1)
	eventually(t, "the first value", func() bool { return g.have("a", "1") })
	g.mu.Lock()
	g.dropPages = true
	g.mu.Unlock()
	l.put("a", "2")
	began := time.Now()
	eventually(t, "the value whose page was lost", func() bool { return g.have("a", "2") })
	if took := time.Since(began); took > time.Second {
		t.Errorf("read after %v", took)
	}
}

// TestReadsInAnOutage guards against calls of all hosts to a store that is
// down, and against hosts that notice its recovery late.
func TestReadsInAnOutage(t *testing.T) {
	l := newFakeLog()
	l.put("a", "1")
	g := startGroup(t, l, 30, 3)
	eventually(t, "the first value", func() bool { return g.have("a", "1") })
	before := l.readCount()
	l.setDown(true)
	time.Sleep(testMaxConfirmationAge + 4*time.Second)
	l.setDown(false)
	// The three leaders make about four reads a second each. The others begin
	// to read after testMaxConfirmationAge and soon make one read in three
	// seconds.
	if n := l.readCount() - before; n > 3*30+27*4 {
		t.Errorf("%d reads of 30 hosts in an outage", n)
	}
	l.put("a", "2")
	began := time.Now()
	eventually(t, "the value after the outage", func() bool { return g.have("a", "2") })
	if took := time.Since(began); took > 1500*time.Millisecond {
		t.Errorf("read %v after the outage", took)
	}
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// TestLeadersAreLost guards against hosts that wait for leaders which have
// stopped, whether or not other hosts have taken their place.
func TestLeadersAreLost(t *testing.T) {
	for name, leaders := range map[string]int{"others lead": 2, "nobody leads": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newFakeLog()
			l.put("a", "1")
			g := startGroup(t, l, 5, 2)
			eventually(t, "the first value", func() bool { return g.have("a", "1") })
			g.kill(0)
			g.kill(1)
			g.mu.Lock()
			g.leaderless = leaders == 0
			g.mu.Unlock()
			l.put("a", "2")
			began := time.Now()
			eventually(t, "the value after the loss", func() bool { return g.have("a", "2") })
			if took := time.Since(began); took > testMaxConfirmationAge+time.Second {
				t.Errorf("read after %v", took)
			}
		})
	}
}

// TestOffersAreApplied guards against a page that is applied after a gap, and
// against records that are applied twice.
func TestOffersAreApplied(t *testing.T) {
	var applied []string
	f := NewFollower(Options{Apply: func(r Record) { applied = append(applied, string(r.Value)) }})
	f.next.Store(5)
	record := func(offset int64, value string) Record {
		return Record{Key: value, Value: []byte(value), Offset: offset}
	}
	f.applyOffer(offer{7, Page{Records: []Record{record(7, "after a gap")}, Next: 8}})
	f.applyOffer(offer{2, Page{Records: []Record{record(4, "known"), record(6, "new")}, Next: 7}})
	f.applyOffer(offer{2, Page{Records: []Record{record(6, "repeated")}, Next: 7}})
	if len(applied) != 1 || applied[0] != "new" || f.next.Load() != 7 {
		t.Errorf("applied %v, next %d", applied, f.next.Load())
	}
}

// TestCutOffHostReadsAllTheTime guards against a host that no leader reaches
// and that reads only now and then, so that it applies every change late.
func TestCutOffHostReadsAllTheTime(t *testing.T) {
	l := newFakeLog()
	l.put("a", "0")
	g := startGroup(t, l, 3, 1)
	eventually(t, "the first value", func() bool { return g.have("a", "0") })
	g.mu.Lock()
	g.leaderless, g.alive[0], g.alive[1] = true, false, false
	g.stops[0]()
	g.stops[1]()
	g.mu.Unlock()
	time.Sleep(testMaxConfirmationAge + 500*time.Millisecond)
	for _, value := range []string{"1", "2", "3", "4", "5"} {
		time.Sleep(100 * time.Millisecond)
		l.put("a", value)
		began := time.Now()
		eventually(t, "the next value", func() bool { return g.states[2].get("a") == value })
		if took := time.Since(began); took > testMaxConfirmationAge/3 {
			t.Errorf("read after %v", took)
		}
	}
}

// TestStaleAnswerDoesNotReplaceRead guards against hosts that keep each other
// from reading by passing on an old answer of the store.
func TestStaleAnswerDoesNotReplaceRead(t *testing.T) {
	f := NewFollower(Options{Sharing: &Sharing{Leads: func() bool { return false }, MaxConfirmationAge: testMaxConfirmationAge}})
	f.complete = true
	now := time.Now()
	f.ObserveProgress(Progress{At: now.Add(-testMaxConfirmationAge / 2)})
	if f.peerWait(now) == 0 {
		t.Error("the host reads although the store has just answered another host")
	}
	for elapsed := time.Duration(0); elapsed < testMaxConfirmationAge; elapsed += testMaxConfirmationAge / 10 {
		f.ObserveProgress(Progress{At: now.Add(-testMaxConfirmationAge / 2)})
	}
	if f.peerWait(now.Add(testMaxConfirmationAge)) > 0 {
		t.Error("the host waits although the store has answered no host for MaxConfirmationAge")
	}
}

// TestRepeatedRecordsAreNotPublished guards against control work that grows with the
// endpoints although nothing changes: they write their announcements again each
// second. The other hosts must still learn how far the leader has read, or each of
// them would read the records itself.
func TestRepeatedRecordsAreNotPublished(t *testing.T) {
	l := newFakeLog()
	for i := range 50 {
		l.put(fmt.Sprint("key-", i), "same")
	}
	var mu sync.Mutex
	published, next := 0, int64(0)
	s := &state{values: map[string]string{}}
	f := NewFollower(Options{Client: l, Topic: "t", PollWait: func() time.Duration { return 100 * time.Millisecond },
		Apply: s.apply, Classify: s.classify, Reset: s.reset, Log: logging.Discard(),
		Sharing: &Sharing{MaxConfirmationAge: testMaxConfirmationAge, Leads: func() bool { return true },
			Publish: func(_ int64, page Page) {
				mu.Lock()
				defer mu.Unlock()
				published, next = published+len(page.Records), page.Next
			}}})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	defer func() { stop(); <-done }()
	synced := time.Now().Add(5 * time.Second)
	for f.Progress().Next < 50 && time.Now().Before(synced) {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		for i := range 50 {
			l.put(fmt.Sprint("key-", i), "same")
		}
	}
	l.put("key-7", "changed")
	deadline := time.Now().Add(5 * time.Second)
	for {
		mu.Lock()
		reached, records := next, published
		mu.Unlock()
		if reached == 201 {
			if records != 1 {
				t.Errorf("%d records published, want the one that changed", records)
			}
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the published progress is %d, want 201", reached)
		}
		time.Sleep(time.Millisecond)
	}
}

// movingLog is a log in which a record is written while the newest records are read.
type movingLog struct{ *fakeLog }

func (l movingLog) Newest(ctx context.Context, topic string) (Page, error) {
	l.put("a", "late")
	page, err := l.fakeLog.Newest(ctx, topic)
	page.Next--
	return page, err
}

// TestRecordOfReloadIsPublished guards against a record that no other host gets because
// its leader knows it from a reload of all keys: the reload may hold records that come
// after the offset from which the leader goes on.
func TestRecordOfReloadIsPublished(t *testing.T) {
	l := movingLog{newFakeLog()}
	l.put("a", "early")
	published := make(chan Record, 10)
	s := &state{values: map[string]string{}}
	f := NewFollower(Options{Client: l, Topic: "t", PollWait: func() time.Duration { return 100 * time.Millisecond },
		Apply: s.apply, Classify: s.classify, Reset: s.reset, Log: logging.Discard(),
		Sharing: &Sharing{MaxConfirmationAge: testMaxConfirmationAge, Leads: func() bool { return true },
			Publish: func(_ int64, page Page) {
				for _, r := range page.Records {
					published <- r
				}
			}}})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	defer func() { stop(); <-done }()
	select {
	case r := <-published:
		if string(r.Value) != "late" {
			t.Errorf("published %q", r.Value)
		}
	case <-time.After(2 * time.Second):
		t.Error("the record that the reload contained is not published")
	}
}
