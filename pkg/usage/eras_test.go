package usage

import (
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
	"github.com/clementineshed/clementineshed/pkg/orders"
	"github.com/clementineshed/clementineshed/test/knownred"
)

// skewedClock is a clock whose time of day is off by offset, which may step.
type skewedClock struct {
	clockwork.Clock
	offset *atomic.Int64
}

func (c skewedClock) Now() time.Time                  { return c.Clock.Now().Add(time.Duration(c.offset.Load())) }
func (c skewedClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
func (c skewedClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// testTimes are the times of a run: those of the product, or the shorter ones of a host on
// the users' platform, where DefaultMaxClockSkew exceeds the grace time.
type testTimes struct {
	window, grace, flush, quiet time.Duration
	// maxSkew is the most by which the time of day of a host is off, maxAge the greatest
	// age of a copy.
	maxSkew, maxAge time.Duration
}

var productTimes = testTimes{window: DefaultWindow, grace: DefaultGrace, flush: DefaultFlushInterval, quiet: DefaultQuietTime, maxSkew: 4 * time.Second, maxAge: 2 * time.Minute}
var platformTimes = testTimes{window: 5 * time.Second, grace: 2500 * time.Millisecond, flush: time.Second, quiet: 12 * time.Second, maxSkew: DefaultMaxClockSkew / 2, maxAge: 15 * time.Second}

// startSkewed is start with a time of day that is off. A test may change the offset.
func (cluster *testCluster) startSkewed(name string, seed int64, times testTimes, rates faultlog.Rates, disabled disabledGuards, offset time.Duration) (h *host, skew *atomic.Int64) {
	skew = &atomic.Int64{}
	skew.Store(int64(offset))
	clock := skewedClock{clockwork.NewRealClock(), skew}
	random := func(n int64) *rand.Rand { return rand.New(rand.NewSource(seed*10 + n)) }
	h = &host{log: faultlog.New(cluster.mem, clock, random(1), rates)}
	h.leases = lease.New(lease.Options{Client: h.log, Clock: clock, Rand: random(2), Incarnation: name, Host: name, Address: name, Keys: []lease.Key{testKey}, OrderLifetime: 2 * time.Second})
	h.reporter = newReporter(Options{
		Client: h.log, Clock: clock, Rand: random(3), Incarnation: name, Key: testKey, Leases: h.leases, Interface: cluster.usage, Peers: cluster, FirstStart: func(era int64) bool { return era > 0 && era == cluster.firstEra },
		Window: times.window, Grace: times.grace, FlushInterval: times.flush, QuietTime: times.quiet,
		Sender: orders.NewSender(orders.Options{Clock: clock, Leases: h.leases, Incarnation: name}),
	}, disabled, func() { cluster.usage.pause(3, times.window) })
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.hosts = append(cluster.hosts, h)
	return h, skew
}

// remove removes a host from the cluster and returns it, to be killed.
func (cluster *testCluster) remove(i int) *host {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	h := cluster.hosts[i]
	cluster.hosts = append(cluster.hosts[:i:i], cluster.hosts[i+1:]...)
	return h
}

// kill ends a host without a flush or a release.
func (h *host) kill() {
	h.log.SetDown(true)
	h.close()
}

// runKills runs three hosts for about ten windows, in which hosts are killed and replaced.
// With restore, the log comes back from older copies; with truncate, retention removes
// older records. It returns the first violation and the number of reports, and whether the
// last counts, which were added after everything else, were reported.
func runKills(t *testing.T, seed int64, restore, truncate bool, disabled disabledGuards) (violation string, reports int, resumed bool) {
	cluster := &testCluster{usage: &fakeUsage{random: rand.New(rand.NewSource(seed)), figures: map[string]Counts{}}, noPeers: seed%4 > 0}
	var added Counts
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewSource(seed))
		times := productTimes
		if seed%2 == 0 {
			times = platformTimes
		}
		cluster.usage.longestPause = times.window
		cluster.mem = logservice.NewMemory(clockwork.NewRealClock())
		cluster.mem.SetEra(1)
		rates := faultlog.Rates{Lost: .1, Late: .15, Never: .05, Slow: .05, MaxDelay: 20 * time.Second}
		randomSkew := func() time.Duration { return time.Duration(random.Int63n(int64(2*times.maxSkew))) - times.maxSkew }
		var skews []*atomic.Int64
		start := func() {
			n := len(skews) + 1
			_, skew := cluster.startSkewed(fmt.Sprint("h", n), seed*100+int64(n), times, rates, disabled, randomSkew())
			skews = append(skews, skew)
		}
		for range 3 {
			start()
		}
		add := func(team string) {
			h := cluster.hosts[random.Intn(len(cluster.hosts))]
			c := Counts{InputTokens: int64(random.Intn(100)), OutputTokens: int64(random.Intn(100)), Requests: 1}
			added = added.plus(c)
			h.reporter.Add(team, c)
		}
		var kills sync.WaitGroup
		for range 250 {
			add(fmt.Sprint("team", random.Intn(2)))
			time.Sleep(time.Duration(random.Int63n(int64(5 * time.Second))))
			if random.Intn(20) == 0 {
				skews[random.Intn(len(skews))].Store(int64(randomSkew()))
			}
			killed := 0
			if random.Intn(15) == 0 {
				killed = 1 + random.Intn(3)
			}
			for range killed {
				kills.Go(cluster.remove(random.Intn(len(cluster.hosts))).kill)
			}
			if restore && (killed > 0 && random.Intn(3) > 0 || random.Intn(40) == 0) {
				for range 1 + random.Intn(2) {
					cluster.mem.Restore(time.Duration(random.Int63n(int64(times.maxAge))))
					time.Sleep(time.Duration(random.Int63n(int64(2 * time.Second))))
				}
			}
			if truncate && random.Intn(20) == 0 {
				cluster.mem.TruncateOlderThan(time.Now().Add(-time.Duration(random.Int63n(int64(times.maxAge)))))
			}
			for range killed {
				start()
			}
		}
		time.Sleep(5 * time.Minute)
		add("last")
		time.Sleep(12 * time.Minute)
		kills.Wait()
		for _, h := range cluster.hosts {
			h.close()
		}
	})
	var reported Counts
	for id, c := range cluster.usage.figures {
		reported = reported.plus(c)
		resumed = resumed || id[len(id)-len("last"):] == "last"
	}
	switch {
	case !porcupine.CheckOperations(model, cluster.usage.ops):
		violation = "a report was sent with different figures"
	case reported.minus(added).Requests > 0 || reported.InputTokens > added.InputTokens:
		violation = fmt.Sprintf("reported %+v, delivered %+v", reported, added)
	}
	return violation, len(cluster.usage.ops), resumed
}

// checkKills runs schedules of runKills and fails the test for each violation.
func checkKills(t *testing.T, restore, truncate bool) {
	reports := 0
	seeds := faultlog.Seeds(seedEnv, 2*schedules)
	for _, seed := range seeds {
		violation, n, resumed := runKills(t, seed, restore, truncate, disabledGuards{})
		reports += n
		if violation != "" {
			t.Errorf("%s=%d: %s", seedEnv, seed, violation)
		}
		if !resumed {
			t.Errorf("%s=%d: the last counts were not reported", seedEnv, seed)
		}
	}
	t.Logf("%d schedules, %d reports received", len(seeds), reports)
}

// TestKilledHostsRepeatNoReport guards against a window that is reported again with other
// figures because hosts are killed at any moment, records are appended late and the times
// of day of hosts differ and step, while the log loses nothing but what its retention removes.
func TestKilledHostsRepeatNoReport(t *testing.T) {
	for _, truncate := range []bool{false, true} {
		t.Run(fmt.Sprint("truncated=", truncate), func(t *testing.T) {
			t.Parallel()
			checkKills(t, false, truncate)
		})
	}
}

// TestRestoredLogRepeatsNoReport guards against a window that is reported again with other
// figures because the log came back from an older copy, which lacks its close record, and
// against usage that is not reported any more.
func TestRestoredLogRepeatsNoReport(t *testing.T) {
	known := knownred.Names(t, "../../KNOWN-RED.txt")
	for _, truncate := range []bool{false, true} {
		t.Run(fmt.Sprint("truncated=", truncate), func(t *testing.T) {
			if known[t.Name()] {
				t.Skip("known red")
			}
			t.Parallel()
			checkKills(t, true, truncate)
		})
	}
}

// foldRecords folds records, which have the given bodies, at consecutive offsets.
func foldRecords(t *testing.T, f *fold, bodies ...any) {
	t.Helper()
	for _, body := range bodies {
		kind := kindCounts
		switch body.(type) {
		case closeRecord:
			kind = kindClose
		case eraRecord:
			kind = kindEra
		}
		e, err := logservice.NewEntry("id", kind, body)
		if err != nil {
			t.Fatal(err)
		}
		f.fold(logservice.Record{Offset: f.lastOffset + 1, Era: f.era}, e, time.Now())
	}
}

// TestCloseOfAnEarlierEraIsVoid guards against a close record that is appended in a later
// era than its writer has seen: other figures of its window may have been reported. It also
// guards against a process that forgets the figures that it had accepted before.
func TestCloseOfAnEarlierEraIsVoid(t *testing.T) {
	f := newFold(time.Now(), windowLength(DefaultWindow), disabledGuards{})
	f.eraStarted(logservice.EraStart{Era: 1}, 0, time.Now())
	first := closeRecord{Window: 5, Era: 1, Previous: unset, Through: 1, Figures: map[string]Counts{"t": {Requests: 1}}}
	foldRecords(t, f, eraRecord{Era: 1}, Flush{Incarnation: "a", Window: 5, Sequence: 1, Teams: first.Figures}, first)
	f.eraStarted(logservice.EraStart{Era: 2, Restored: true}, 7, time.Now())
	if c := f.closed[5]; c == nil || c.figures["t"].Requests != 1 || f.firstClosable() != 6 {
		t.Errorf("accepted before: %+v, first window to close %d", c, f.firstClosable())
	}
	late := closeRecord{Window: 6, Era: 1, Previous: unset, Figures: map[string]Counts{"t": {Requests: 2}}}
	foldRecords(t, f, eraRecord{Era: 1}, Flush{Incarnation: "a", Window: 5, Sequence: 1, Teams: first.Figures}, late, eraRecord{Era: 2}, eraRecord{Era: 1, First: 3}, eraRecord{Era: 2, First: 7}, eraRecord{Era: 2, First: 9}, late)
	if f.closed[6] != nil || f.lastClosed != unset || !f.firstKnown || f.firstClosable() != 7 {
		t.Errorf("closed %+v, first window to close %d", f.closed[6], f.firstClosable())
	}
	foldRecords(t, f, Flush{Incarnation: "a", Window: 6, Sequence: 1, Teams: first.Figures}, Flush{Incarnation: "a", Window: 8, Sequence: 1, Teams: map[string]Counts{"t": {Requests: 4}}})
	if figures := f.unreportedCounts(8); figures["t"].Requests != 4 {
		t.Errorf("figures with counts of a window that may have been reported: %+v", figures)
	}
	late.Era, late.Window = 2, 8
	foldRecords(t, f, late)
	if f.closed[8] == nil {
		t.Error("a close record of the era is ignored")
	}
	// Of a host whose software states no era, or whose clock is ahead.
	foldRecords(t, f, closeRecord{Window: 9, Figures: first.Figures})
	if f.closed[9] != nil || f.firstClosable() != 10 {
		t.Errorf("a window that was closed in no era: closed %+v, first window to close %d", f.closed[9], f.firstClosable())
	}
}

// TestWindowOfOlderSoftwareIsNotClosedAgain guards against a window that is reported again
// with other figures while hosts are upgraded from software whose close records state no era.
func TestWindowOfOlderSoftwareIsNotClosedAgain(t *testing.T) {
	f := newFold(time.Now(), windowLength(DefaultWindow), disabledGuards{})
	f.eraStarted(logservice.EraStart{Era: 1}, 5, time.Now())
	teams := map[string]Counts{"t": {Requests: 1}}
	foldRecords(t, f, eraRecord{Era: 1, First: 5}, Flush{Incarnation: "a", Window: 6, Sequence: 1, Teams: teams}, closeRecord{Window: 6, Previous: unset, Through: 1, Figures: teams}, Flush{Incarnation: "a", Window: 7, Sequence: 1, Teams: teams})
	if window, _ := f.nextDue(f.length.endOf(8).Add(f.grace)); window != 7 {
		t.Errorf("closes window %d next", window)
	}
	if figures := f.unreportedCounts(7); figures["t"].Requests != 1 {
		t.Errorf("figures of the next window: %+v", figures)
	}
}

// TestReportsBeginWithTheFirstEra guards against usage of the first windows that is not
// reported although the log is new, and against windows that a log of which this is not
// known may have lost.
func TestReportsBeginWithTheFirstEra(t *testing.T) {
	for _, firstEra := range []int64{3, 2, 0} {
		synctest.Test(t, func(t *testing.T) {
			cluster := &testCluster{mem: logservice.NewMemory(clockwork.NewRealClock()), usage: &fakeUsage{random: rand.New(rand.NewSource(1)), figures: map[string]Counts{}}, firstEra: firstEra}
			cluster.mem.SetEra(3)
			cluster.mem.Append(t.Context(), logservice.StreamUsage, encodedFlush(t, Flush{Incarnation: "z", Window: windowLength(DefaultWindow).indexOf(time.Now()) - 1, Sequence: 1, Teams: map[string]Counts{"early": {Requests: 3}}}))
			cluster.startSkewed("a", 1, productTimes, faultlog.Rates{}, disabledGuards{}, 0)
			cluster.hosts[0].reporter.Add("t", Counts{Requests: 1})
			time.Sleep(10 * time.Minute)
			cluster.hosts[0].close()
			reported := map[string]int64{}
			for id, c := range cluster.usage.figures {
				reported[id[len("usage-15778080-"):]] += c.Requests
			}
			if reported["t"] != 1 || (reported["early"] == 3) != (firstEra == 3) {
				t.Errorf("first start in era %d: reported %v", firstEra, reported)
			}
		})
	}
}

func encodedFlush(t *testing.T, f Flush) [][]byte {
	t.Helper()
	e, err := logservice.NewEntry(f.id(), kindCounts, f)
	if err != nil {
		t.Fatal(err)
	}
	data, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{data}
}

// TestRestoredLogWithoutErasRepeatsNoReport is TestRestoredLogRepeatsNoReport for a log that
// states no era: its readers notice the restore by an offset beyond its end.
func TestRestoredLogWithoutErasRepeatsNoReport(t *testing.T) {
	for _, seed := range faultlog.Seeds(seedEnv, schedules) {
		cluster := &testCluster{usage: &fakeUsage{random: rand.New(rand.NewSource(seed)), figures: map[string]Counts{}}}
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewSource(seed))
			cluster.mem = logservice.NewMemory(clockwork.NewRealClock())
			for i := range 3 {
				cluster.startSkewed(fmt.Sprint("h", i), seed*100+int64(i), productTimes, faultlog.Rates{Lost: .1}, disabledGuards{}, 0)
			}
			for i := range 100 {
				cluster.hosts[random.Intn(3)].reporter.Add(fmt.Sprint("team", random.Intn(2)), Counts{Requests: 1})
				time.Sleep(time.Duration(random.Int63n(int64(10 * time.Second))))
				if i%30 == 29 {
					// Nobody appends for as long as the readers need to notice.
					for _, h := range cluster.hosts {
						h.log.SetDown(true)
					}
					cluster.mem.Restore(time.Duration(random.Int63n(int64(3 * time.Minute))))
					for _, h := range cluster.hosts {
						h.log.SetDown(false)
					}
				}
			}
			time.Sleep(2 * time.Minute)
			cluster.hosts[0].reporter.Add("last", Counts{Requests: 1})
			time.Sleep(12 * time.Minute)
			for _, h := range cluster.hosts {
				h.close()
			}
		})
		if !porcupine.CheckOperations(model, cluster.usage.ops) {
			t.Errorf("%s=%d: a report was sent with different figures", seedEnv, seed)
		}
		resumed := false
		for id := range cluster.usage.figures {
			resumed = resumed || id[len(id)-len("last"):] == "last"
		}
		if !resumed {
			t.Errorf("%s=%d: the last counts were not reported", seedEnv, seed)
		}
	}
}

// TestCloseWithoutFirstWindowDecidesNoLaterEra guards against a close record that opens all
// windows of an era although the log is known to have been in use in an earlier one.
func TestCloseWithoutFirstWindowDecidesNoLaterEra(t *testing.T) {
	f := newFold(time.Now(), windowLength(DefaultWindow), disabledGuards{})
	f.eraStarted(logservice.EraStart{Era: 1}, 5, time.Now())
	f.eraStarted(logservice.EraStart{Era: 2, Restored: true}, 7, time.Now())
	f.foldClose(foldedClose{offset: 3, era: 2, rec: closeRecord{Window: 8, Era: 2, Previous: unset, Through: 2}}, time.Now())
	if f.closed[8] == nil {
		t.Error("the close record is ignored")
	}
	if f.firstKnown {
		t.Errorf("the first window of the era is %d", f.first)
	}
}

// TestFirstWindowOfAnEraAllowsForClocks guards against a first window that a host whose
// clock is ahead had closed just before the log came back from an older copy.
func TestFirstWindowOfAnEraAllowsForClocks(t *testing.T) {
	for _, times := range []testTimes{productTimes, platformTimes} {
		length := windowLength(times.window)
		for at := time.Unix(1_700_000_000, 0); at.Before(time.Unix(1_700_000_120, 0)); at = at.Add(100 * time.Millisecond) {
			ahead, behind := at.Add(DefaultMaxClockSkew/2), at.Add(-DefaultMaxClockSkew/2)
			r := &Reporter{opts: Options{Clock: clockwork.NewFakeClockAt(behind), Grace: times.grace, MaxClockSkew: DefaultMaxClockSkew}, fold: newFold(behind, length, disabledGuards{})}
			if closed := length.indexOf(ahead.Add(-times.grace)) - 1; closed >= r.notEnded() {
				t.Fatalf("grace %v, %v: window %d may be closed again, as %d is the first", times.grace, at, closed, r.notEnded())
			}
		}
	}
}

// TestIncompleteViewClosesNoWindowThatAnotherCloseNames guards against a window that is closed
// again, with other figures, by a host whose view begins later than that of the host that had
// closed it while both lacked the start of the stream.
func TestIncompleteViewClosesNoWindowThatAnotherCloseNames(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	f := newFold(at, windowLength(DefaultWindow), disabledGuards{})
	f.restartAt(10, at)
	window := f.length.indexOf(at) + 3
	flush := func(offset, window int64) {
		e, err := logservice.NewEntry("id", kindCounts, Flush{Incarnation: "a", Window: window, Sequence: 1, Teams: map[string]Counts{"t": {Requests: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		f.fold(logservice.Record{Offset: offset, TimeMillis: at.UnixMilli()}, e, at)
	}
	flush(10, window)
	// Its writer has read from offset 5 on.
	f.foldClose(foldedClose{offset: 11, rec: closeRecord{Window: window, Quiet: true, QuietSince: 5, Through: 10}}, at)
	flush(12, window+1)
	later := f.length.endOf(window + 2).Add(f.grace + f.quietTime)
	if next, due := f.nextDue(later); !due || next != window+1 {
		t.Errorf("closes window %d, %v, want only %d", next-window, due, 1)
	}
	if figures := f.unreportedCounts(window + 1); figures["t"].Requests != 1 {
		t.Errorf("figures %+v with counts of a window that may have been reported", figures)
	}
}
