package keyedlog

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logging"
)

// group is several hosts that follow one topic and tell each other at once.
type group struct {
	mu        sync.Mutex
	followers []*Follower
	states    []*state
	stops     []context.CancelFunc
	alive     []bool
	// lose says that published pages do not arrive.
	lose bool
	// nobody says that no host takes the lead.
	nobody bool
}

// testCover is the time without own reads after an answer to another host.
const testCover = 1500 * time.Millisecond

// startGroup starts hosts of which the first leaders that are alive lead.
func startGroup(t *testing.T, l *fakeLog, hosts, leaders int) *group {
	t.Helper()
	g := &group{}
	var wg sync.WaitGroup
	for i := range hosts {
		s := &state{values: map[string]string{}}
		f := NewFollower(Options{Client: l, Topic: "t", Wait: func() time.Duration { return 300 * time.Millisecond },
			Pace: func() time.Duration { return 10 * time.Millisecond }, Apply: s.apply, Reset: s.reset, Log: logging.Discard(),
			Sharing: &Sharing{
				Cover:   testCover,
				Leads:   func() bool { return g.leads(i, leaders) },
				Publish: func(from int64, page Page) { g.publish(i, from, page) },
			}})
		ctx, stop := context.WithCancel(context.Background())
		g.followers, g.states, g.stops, g.alive = append(g.followers, f), append(g.states, s), append(g.stops, stop), append(g.alive, true)
		wg.Go(func() { f.Run(ctx) })
		wg.Go(func() { g.tell(ctx, i) })
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
	return leaders > 0 && !g.nobody
}

func (g *group) publish(self int, from int64, page Page) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, f := range g.followers {
		if i != self && !g.lose {
			f.Offer(from, page)
		}
	}
}

// tell passes on how far a host has read, as its datagrams do.
func (g *group) tell(ctx context.Context, self int) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		g.mu.Lock()
		next, at := g.followers[self].Answered()
		for i, f := range g.followers {
			if i != self && g.alive[self] && time.Since(at) < 400*time.Millisecond {
				f.Told(next, at)
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

// TestLeadersReadForAll replays a topic that changes all the time before many
// hosts. It guards against a number of reads that grows with the hosts.
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
	// A host that reads by itself does so for each of the changes.
	if n, took := l.readCount()-before, time.Since(began); n > 4*51 {
		t.Errorf("%d reads of 20 hosts for 51 changes in %v", n, took)
	}
}

// TestLostPagesAreRead guards against a host that waits for a page that was lost.
func TestLostPagesAreRead(t *testing.T) {
	l := newFakeLog()
	l.put("a", "1")
	g := startGroup(t, l, 4, 1)
	eventually(t, "the first value", func() bool { return g.have("a", "1") })
	g.mu.Lock()
	g.lose = true
	g.mu.Unlock()
	l.put("a", "2")
	began := time.Now()
	eventually(t, "the value whose page was lost", func() bool { return g.have("a", "2") })
	if took := time.Since(began); took > time.Second {
		t.Errorf("read after %v", took)
	}
}

// TestReadsInAnOutage replays an outage of the store before many hosts. It guards
// against calls of all hosts that nobody answers, and against hosts that do not
// find out at once that the store is back.
func TestReadsInAnOutage(t *testing.T) {
	l := newFakeLog()
	l.put("a", "1")
	g := startGroup(t, l, 30, 3)
	eventually(t, "the first value", func() bool { return g.have("a", "1") })
	before := l.readCount()
	l.setDown(true)
	time.Sleep(testCover + 4*time.Second)
	l.setDown(false)
	// Three leaders make about four reads a second each, the others begin to read
	// after testCover and soon make one in three seconds.
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

// TestLeadersAreLost guards against hosts that wait for leaders which are gone,
// also when nobody else has taken their place.
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
			g.nobody = leaders == 0
			g.mu.Unlock()
			l.put("a", "2")
			began := time.Now()
			eventually(t, "the value after the loss", func() bool { return g.have("a", "2") })
			if took := time.Since(began); took > testCover+time.Second {
				t.Errorf("read after %v", took)
			}
		})
	}
}

// TestOffersAreApplied guards against a page that is applied with a gap before it,
// or twice.
func TestOffersAreApplied(t *testing.T) {
	var applied []string
	f := NewFollower(Options{Apply: func(r Record) { applied = append(applied, string(r.Value)) }})
	f.next.Store(5)
	record := func(offset int64, value string) Record {
		return Record{Key: value, Value: []byte(value), Offset: offset}
	}
	f.take(offer{7, Page{Records: []Record{record(7, "after a gap")}, Next: 8}})
	f.take(offer{2, Page{Records: []Record{record(4, "known"), record(6, "new")}, Next: 7}})
	f.take(offer{2, Page{Records: []Record{record(6, "repeated")}, Next: 7}})
	if len(applied) != 1 || applied[0] != "new" || f.next.Load() != 7 {
		t.Errorf("applied %v, next %d", applied, f.next.Load())
	}
}

// TestCutOffHostReadsAllTheTime guards against a host that nobody reads for and
// that looks into the store now and then only: it would be late with each change.
func TestCutOffHostReadsAllTheTime(t *testing.T) {
	l := newFakeLog()
	l.put("a", "0")
	g := startGroup(t, l, 3, 1)
	eventually(t, "the first value", func() bool { return g.have("a", "0") })
	g.mu.Lock()
	g.nobody, g.alive[0], g.alive[1] = true, false, false
	g.stops[0]()
	g.stops[1]()
	g.mu.Unlock()
	time.Sleep(testCover + 500*time.Millisecond)
	for _, value := range []string{"1", "2", "3", "4", "5"} {
		time.Sleep(100 * time.Millisecond)
		l.put("a", value)
		began := time.Now()
		eventually(t, "the next value", func() bool { return g.states[2].get("a") == value })
		if took := time.Since(began); took > testCover/3 {
			t.Errorf("read after %v", took)
		}
	}
}

// TestStaleWordsDoNotCover guards against hosts that keep each other from reading
// with answers that the store gave long ago.
func TestStaleWordsDoNotCover(t *testing.T) {
	f := NewFollower(Options{Sharing: &Sharing{Leads: func() bool { return false }, Cover: testCover}})
	f.known = true
	now := time.Now()
	f.Told(0, now.Add(-testCover/2))
	if f.mayWait(now) == 0 {
		t.Error("a host reads though another one has just been answered")
	}
	for elapsed := time.Duration(0); elapsed < testCover; elapsed += testCover / 10 {
		f.Told(0, now.Add(-testCover/2))
	}
	if f.mayWait(now.Add(testCover)) > 0 {
		t.Error("a host waits though nobody was answered for long")
	}
}
