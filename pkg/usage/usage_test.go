package usage

import (
	"cmp"
	"context"
	"fmt"
	"math/rand"
	"os"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
	"github.com/clementineshed/clementineshed/pkg/orders"
)

const (
	seedEnv   = "USAGE_SEED"
	schedules = 12
)

func TestMain(m *testing.M) {
	log.SetHandler(log.HandlerFunc(func(*log.Entry) error { return nil })) // injected faults cause thousands of log lines
	os.Exit(m.Run())
}

var testKey = lease.Key{Domain: "hartford", Duty: lease.UsageReports}

// fakeUsage is a usage interface that records every report that arrives.
type fakeUsage struct {
	mu      sync.Mutex
	random  *rand.Rand
	ops     []porcupine.Operation
	figures map[string]Counts // first figures by report id
	// longestPause is the longest pause before a report; a minute if zero.
	longestPause time.Duration
}

type fakeUsageConn struct{ usage *fakeUsage }

func (u *fakeUsage) Connect(context.Context, string) (Conn, error)      { return fakeUsageConn{u}, nil }
func (u *fakeUsage) ConnectedHolders(context.Context) ([]string, error) { return nil, nil }
func (u *fakeUsage) ChecksFencing() bool                                { return false }
func (fakeUsageConn) Close()                                            {}

// pause stops the caller for at most longest, on average in one of n calls.
func (u *fakeUsage) pause(n int, longest time.Duration) {
	u.mu.Lock()
	length := time.Duration(u.random.Int63n(int64(longest)))
	stop := u.random.Intn(n) == 0
	u.mu.Unlock()
	if stop {
		time.Sleep(length)
	}
}

// Send pauses at random, like a process that is stopped between the lease check
// and the send, and loses responses.
func (c fakeUsageConn) Send(_ context.Context, r Report) error {
	c.usage.pause(10, cmp.Or(c.usage.longestPause, time.Minute))
	c.usage.mu.Lock()
	defer c.usage.mu.Unlock()
	lost := c.usage.random.Intn(5) == 0
	at := int64(2 * len(c.usage.ops))
	c.usage.ops = append(c.usage.ops, porcupine.Operation{Input: r, Call: at, Return: at + 1})
	if _, ok := c.usage.figures[r.ID]; !ok {
		c.usage.figures[r.ID] = r.Counts
	}
	if lost {
		return errors.New("timeout")
	}
	return nil
}

// model is a write-once register per report ID: every report with the ID has the
// same team, window and figures.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(Report).ID
			byID[id] = append(byID[id], op)
		}
		var parts [][]porcupine.Operation
		for _, p := range byID {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return Report{} },
	Step: func(state, input, _ any) (bool, any) {
		first, next := state.(Report), input.(Report)
		next.Holder, next.Fence = "", 0
		return first == (Report{}) || first == next, next
	},
}

type host struct {
	reporter *Reporter
	leases   *lease.Manager
	log      *faultlog.Client
}

func (h *host) close() {
	h.reporter.Close()
	h.leases.Close()
	h.log.Close()
}

type testCluster struct {
	mem   *logservice.Memory
	usage *fakeUsage
	// noPeers makes every handover fail, so that counts arrive late.
	noPeers bool
	// firstEra is the era in which the hosts start for the first time, zero if they do not.
	firstEra int64
	mu       sync.Mutex
	hosts    []*host
}

// HandOver gives flushes to the two newest hosts.
func (cluster *testCluster) HandOver(_ context.Context, flushes []Flush) error {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.noPeers {
		return errors.New("no peer in contact")
	}
	for _, h := range cluster.hosts[max(0, len(cluster.hosts)-2):] {
		h.reporter.AcceptFlushes(flushes)
	}
	return nil
}

func (cluster *testCluster) start(name string, seed int64, rates faultlog.Rates, disabled disabledGuards) *host {
	clock := clockwork.NewRealClock()
	random := func(n int64) *rand.Rand { return rand.New(rand.NewSource(seed*10 + n)) }
	h := &host{log: faultlog.New(cluster.mem, clock, random(1), rates)}
	h.leases = lease.New(lease.Options{Client: h.log, Clock: clock, Rand: random(2), Incarnation: name, Host: name, Address: name, Keys: []lease.Key{testKey}})
	h.reporter = newReporter(Options{
		Client: h.log, Clock: clock, Rand: random(3), Incarnation: name, Key: testKey, Leases: h.leases, Interface: cluster.usage, Peers: cluster,
		Sender: orders.NewSender(orders.Options{Clock: clock, Leases: h.leases, Incarnation: name}),
	}, disabled, func() { cluster.usage.pause(3, 60*time.Second) })
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.hosts = append(cluster.hosts, h)
	return h
}

// runSchedule runs three hosts for about ten windows. With truncate, retention
// removes recent records and hosts join late.
func runSchedule(t *testing.T, seed int64, truncate bool, disabled disabledGuards) (violation string, reports int) {
	cluster := &testCluster{usage: &fakeUsage{random: rand.New(rand.NewSource(seed)), figures: map[string]Counts{}}, noPeers: seed%4 > 0}
	var added Counts
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewSource(seed))
		cluster.mem = logservice.NewMemory(clockwork.NewRealClock())
		rates := faultlog.Rates{Lost: .15, Late: .2, Never: .1, Slow: .05, MaxDelay: 20 * time.Second}
		for i := range 3 {
			cluster.start(fmt.Sprint("h", i), seed*100+int64(i), rates, disabled)
		}
		var outages sync.WaitGroup
		for i := range 120 {
			h := cluster.hosts[random.Intn(len(cluster.hosts))]
			c := Counts{InputTokens: int64(random.Intn(100)), OutputTokens: int64(random.Intn(100)), Requests: 1}
			added = added.plus(c)
			h.reporter.Add(fmt.Sprint("team", random.Intn(2)), c)
			time.Sleep(time.Duration(random.Int63n(int64(5 * time.Second))))
			if random.Intn(8) == 0 {
				length := time.Duration(random.Int63n(int64(150 * time.Second)))
				outages.Go(func() { h.log.SetDown(true); time.Sleep(length); h.log.SetDown(false) })
			}
			if truncate && random.Intn(20) == 0 {
				cluster.mem.TruncateOlderThan(time.Now().Add(-time.Duration(random.Int63n(int64(time.Minute)))))
				cluster.start(fmt.Sprint("late", i), seed*100+int64(10+i), rates, disabled)
			}
		}
		outages.Wait()
		time.Sleep(12 * time.Minute)
		for _, h := range cluster.hosts {
			h.close()
		}
	})
	var reported Counts
	for _, c := range cluster.usage.figures {
		reported = reported.plus(c)
	}
	switch {
	case !porcupine.CheckOperations(model, cluster.usage.ops):
		violation = "a report was sent with different figures"
	case reported.minus(added).Requests > 0 || reported.InputTokens > added.InputTokens:
		violation = fmt.Sprintf("reported %+v, delivered %+v", reported, added)
	case !truncate && reported != added:
		violation = fmt.Sprintf("reported only %+v, delivered %+v", reported, added)
	}
	return violation, len(cluster.usage.ops)
}

// TestReportsAreFixedAndComplete guards against a window that is reported twice
// with different figures, and against work that is reported twice or never.
func TestReportsAreFixedAndComplete(t *testing.T) {
	for _, truncate := range []bool{false, true} {
		t.Run(fmt.Sprint("truncated=", truncate), func(t *testing.T) {
			t.Parallel()
			reports := 0
			seeds := faultlog.Seeds(seedEnv, schedules)
			for _, seed := range seeds {
				violation, n := runSchedule(t, seed, truncate, disabledGuards{})
				reports += n
				if violation != "" {
					t.Errorf("%s=%d: %s", seedEnv, seed, violation)
				}
			}
			t.Logf("%d schedules, %d reports received", len(seeds), reports)
		})
	}
}

// TestCheckersDetectMissingGuards guards against checkers that cannot fail.
func TestCheckersDetectMissingGuards(t *testing.T) {
	for name, c := range map[string]struct {
		truncate bool
		disabled disabledGuards
		restore  bool
	}{
		"first close record wins":    {false, disabledGuards{firstCloseWins: true}, false},
		"reading the close back":     {false, disabledGuards{readBack: true}, false},
		"highest sequence counts":    {false, disabledGuards{sequenceCheck: true}, false},
		"late counts in next window": {false, disabledGuards{lateCounts: true}, false},
		"care with a truncated view": {true, disabledGuards{truncationCheck: true}, false},
		"close records of one era":   {false, disabledGuards{eraOfCloses: true}, true},
		"first window of an era":     {false, disabledGuards{eraRecord: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			detected, ran := 0, 0
			for seed := int64(1); seed <= schedules || (detected == 0 && seed <= 8*schedules); seed++ {
				ran++
				violation := ""
				if c.restore {
					violation, _, _ = runKills(t, seed, true, c.truncate, c.disabled)
				} else {
					violation, _ = runSchedule(t, seed, c.truncate, c.disabled)
				}
				if violation != "" {
					detected++
				}
			}
			t.Logf("without %s: violations in %d of %d schedules", name, detected, ran)
			if detected == 0 {
				t.Error("no violation detected")
			}
		})
	}
}

// TestKilledHostDuringOutage guards against counts that are lost when a host is
// killed while it cannot reach the log. Its peers must append them.
func TestKilledHostDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{mem: logservice.NewMemory(clockwork.NewRealClock()), usage: &fakeUsage{random: rand.New(rand.NewSource(1)), figures: map[string]Counts{}}}
		killed := cluster.start("a", 1, faultlog.Rates{}, disabledGuards{})
		cluster.start("b", 2, faultlog.Rates{}, disabledGuards{})
		cluster.start("c", 3, faultlog.Rates{}, disabledGuards{})
		killed.log.SetDown(true)
		killed.reporter.Add("t", Counts{OutputTokens: 7, Requests: 1})
		time.Sleep(3*DefaultFlushInterval + appendTimeout)
		killed.close()
		time.Sleep(10 * time.Minute)
		cluster.hosts[1].close()
		cluster.hosts[2].close()
		if len(cluster.usage.figures) != 1 || cluster.usage.figures["usage-15778080-t"] != (Counts{OutputTokens: 7, Requests: 1}) {
			t.Errorf("reported %v", cluster.usage.figures)
		}
	})
}

// TestAcceptedFlushesAreHandedOn guards against accepted flushes that stay with
// a host which alone cannot reach the log.
func TestAcceptedFlushesAreHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		log := faultlog.New(logservice.NewMemory(clock), clock, rand.New(rand.NewSource(1)), faultlog.Rates{})
		log.SetDown(true)
		b := logservice.NewBatcher(logservice.BatcherOptions{Client: log, Stream: logservice.StreamUsage, Clock: clock, LiveHosts: func() int { return 2 }})
		peers := &recordingPeers{}
		c := newCounter(clock, windowLength(DefaultWindow), DefaultFlushInterval, "b", b, peers, logging.Discard())
		c.setHandOverAccepted(true)
		c.AcceptFlushes([]Flush{{Incarnation: "a", Window: 1, Sequence: 1, Teams: map[string]Counts{"t": {Requests: 3}}}})
		time.Sleep(2*DefaultFlushInterval + appendTimeout)
		c.close()
		b.Close()
		peers.mu.Lock()
		defer peers.mu.Unlock()
		if len(peers.received) == 0 || peers.received[0].Incarnation != "a" || peers.received[0].Teams["t"].Requests != 3 {
			t.Errorf("handed on %+v", peers.received)
		}
	})
}

// TestCutOffHostsAreWaitedFor guards against a window that is closed without the
// counts of hosts that are cut off although its report is not due yet, and against
// a window that stays open until its report is late.
func TestCutOffHostsAreWaitedFor(t *testing.T) {
	end := time.Unix(1_700_000_040, 0)
	window := windowLength(DefaultWindow).indexOf(end) - 1
	for _, c := range []struct {
		after   time.Duration
		awaited bool
		closes  bool
	}{{DefaultGrace, false, true}, {DefaultGrace, true, false}, {2*DefaultGrace - time.Second, true, false}, {2 * DefaultGrace, true, true}} {
		awaited := func(sinceEnd time.Duration) bool { return c.awaited && sinceEnd == c.after }
		r := &Reporter{opts: Options{Grace: DefaultGrace, MaxCloseDelay: 2 * DefaultGrace, MayHoldCounts: awaited}, Counter: &Counter{length: windowLength(DefaultWindow)}, fold: newFold(end, windowLength(DefaultWindow), disabledGuards{})}
		r.fold.foldFlush(0, Flush{Incarnation: "a", Window: window, Sequence: 1, Teams: map[string]Counts{"t": {Requests: 1}}})
		now := end.Add(c.after)
		if _, _, ok := r.closeEntry(now, logservice.TailStatus{ReadToEndAt: now}); ok != c.closes {
			t.Errorf("%v after the end, awaited %v: closes %v", c.after, c.awaited, ok)
		}
	}
}

// TestCountsAfterAnOutageAreWaitedFor guards against a window that is closed as
// soon as the log is back, before the hosts have appended the counts that they
// kept.
func TestCountsAfterAnOutageAreWaitedFor(t *testing.T) {
	end := time.Unix(1_700_000_040, 0) // a multiple of the window
	window := windowLength(DefaultWindow).indexOf(end) - 1
	now := end.Add(DefaultGrace + time.Minute)
	for name, c := range map[string]struct {
		lost, returned time.Time
		closes         bool
	}{
		"no outage":                 {closes: true},
		"back a moment ago":         {lost: end.Add(-time.Second), returned: now.Add(-DefaultFlushInterval)},
		"back for a while":          {lost: end.Add(-time.Second), returned: now.Add(-flushRounds * DefaultFlushInterval), closes: true},
		"appended before":           {lost: end.Add(DefaultGrace), returned: now.Add(-time.Second), closes: true},
		"lost while it is appended": {lost: end.Add(DefaultFlushInterval), returned: now.Add(-time.Second)},
	} {
		r := &Reporter{opts: Options{Grace: DefaultGrace, FlushInterval: DefaultFlushInterval}, Counter: &Counter{length: windowLength(DefaultWindow)}, fold: newFold(end, windowLength(DefaultWindow), disabledGuards{})}
		r.fold.foldFlush(0, Flush{Incarnation: "a", Window: window, Sequence: 1, Teams: map[string]Counts{"t": {Requests: 1}}})
		_, rec, ok := r.closeEntry(now, logservice.TailStatus{ReadToEndAt: now, OutageStart: c.lost, OutageEnd: c.returned})
		if ok != c.closes || ok && rec.Window != window {
			t.Errorf("%s: closes %v with %+v", name, ok, rec)
		}
	}
}

// TestSteadyCost prints the appends per second for growing numbers of hosts and
// the heap bytes per source. It guards against much more than one append per
// host and flush interval.
func TestSteadyCost(t *testing.T) {
	for _, hosts := range []int{2, 4, 8, 16, 64} {
		synctest.Test(t, func(t *testing.T) {
			clock, mem := clockwork.NewRealClock(), logservice.NewMemory(clockwork.NewRealClock())
			logs := make([]*faultlog.Client, hosts)
			var wg sync.WaitGroup
			for i := range hosts {
				logs[i] = faultlog.New(mem, clock, rand.New(rand.NewSource(1)), faultlog.Rates{})
				b := logservice.NewBatcher(logservice.BatcherOptions{Client: logs[i], Stream: logservice.StreamUsage, Clock: clock, LiveHosts: func() int { return hosts }})
				c := newCounter(clock, windowLength(DefaultWindow), DefaultFlushInterval, fmt.Sprint(i), b, nil, logging.Discard())
				wg.Go(func() {
					for range 400 { // 8 teams, 100 s
						for team := range 8 {
							c.Add(fmt.Sprint("team", team), Counts{OutputTokens: 1})
						}
						time.Sleep(250 * time.Millisecond)
					}
					c.close()
					b.Close()
				})
			}
			wg.Wait()
			appends := 0
			for _, l := range logs {
				appends += l.Stats().Appends
			}
			t.Logf("hosts=%d appends_per_s=%.1f", hosts, float64(appends)/100)
			if appends > hosts*60 {
				t.Errorf("%d hosts appended %d times in 100 s", hosts, appends)
			}
		})
	}
	const n = 5000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newFold(time.Now(), windowLength(DefaultWindow), disabledGuards{})
	for i := range n {
		teams := map[string]Counts{}
		for team := range 8 {
			teams[fmt.Sprint("team", team)] = Counts{1, 1, 1, 1}
		}
		e, _ := logservice.NewEntry("id", kindCounts, Flush{Incarnation: fmt.Sprint("host-", i), Window: 1, Sequence: 1, Teams: teams})
		f.fold(logservice.Record{Offset: int64(i)}, e, time.Now())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("heap_bytes_per_incarnation_and_window=%d (8 teams)", (after.HeapAlloc-before.HeapAlloc)/n)
	runtime.KeepAlive(f)
}

// TestFirstCloseFixesFigures folds the close records of two holders for the same
// window. It guards against figures that change, and shows that they do change
// without the guard.
func TestFirstCloseFixesFigures(t *testing.T) {
	for _, disabled := range []disabledGuards{{}, {firstCloseWins: true}} {
		f := newFold(time.Now(), windowLength(DefaultWindow), disabled)
		for i, rec := range []closeRecord{
			{Window: 5, Previous: unset, Through: 0, Figures: map[string]Counts{"t": {Requests: 1}}},
			{Window: 5, Previous: unset, Through: 1, Figures: map[string]Counts{"t": {Requests: 2}}},
		} {
			e, _ := logservice.NewEntry("id", kindClose, rec)
			f.fold(logservice.Record{Offset: int64(i + 1)}, e, time.Now())
		}
		changed := f.closed[5].figures["t"].Requests != 1
		if changed != disabled.firstCloseWins {
			t.Errorf("guard disabled %v: figures changed %v", disabled.firstCloseWins, changed)
		}
	}
}
