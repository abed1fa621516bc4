package usage

import (
	"fmt"
	"math/rand"
	"sync"
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

// skewedClock is a clock whose time of day is off.
type skewedClock struct {
	clockwork.Clock
	offset time.Duration
}

func (c skewedClock) Now() time.Time                  { return c.Clock.Now().Add(c.offset) }
func (c skewedClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
func (c skewedClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// maxTestSkew is the most by which the time of day of a host is off in these tests.
const maxTestSkew = 4 * time.Second

// startSkewed is start with a time of day that is off.
func (cluster *testCluster) startSkewed(name string, seed int64, rates faultlog.Rates, disabled disabledGuards, offset time.Duration) *host {
	clock := skewedClock{clockwork.NewRealClock(), offset}
	random := func(n int64) *rand.Rand { return rand.New(rand.NewSource(seed*10 + n)) }
	h := &host{log: faultlog.New(cluster.mem, clock, random(1), rates)}
	h.leases = lease.New(lease.Options{Client: h.log, Clock: clock, Rand: random(2), Incarnation: name, Host: name, Address: name, Keys: []lease.Key{testKey}, OrderLifetime: 2 * time.Second})
	h.reporter = newReporter(Options{
		Client: h.log, Clock: clock, Rand: random(3), Incarnation: name, Key: testKey, Leases: h.leases, Interface: cluster.usage, Peers: cluster,
		Sender: orders.NewSender(orders.Options{Clock: clock, Leases: h.leases, Incarnation: name}),
	}, disabled, func() { cluster.usage.pause(3, 60*time.Second) })
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.hosts = append(cluster.hosts, h)
	return h
}

// kill ends a host without a flush or a release.
func (cluster *testCluster) kill(h *host) {
	cluster.mu.Lock()
	for i, other := range cluster.hosts {
		if other == h {
			cluster.hosts = append(cluster.hosts[:i:i], cluster.hosts[i+1:]...)
		}
	}
	cluster.mu.Unlock()
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
		cluster.mem = logservice.NewMemory(clockwork.NewRealClock())
		cluster.mem.SetEra(1)
		rates := faultlog.Rates{Lost: .1, Late: .15, Never: .05, Slow: .05, MaxDelay: 20 * time.Second}
		started := 0
		start := func() {
			started++
			skew := time.Duration(random.Int63n(int64(2*maxTestSkew))) - maxTestSkew
			cluster.startSkewed(fmt.Sprint("h", started), seed*100+int64(started), rates, disabled, skew)
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
			killed := 0
			if random.Intn(15) == 0 {
				killed = 1 + random.Intn(3)
			}
			for range killed {
				h := cluster.hosts[random.Intn(len(cluster.hosts))]
				kills.Go(func() { cluster.kill(h) })
				time.Sleep(time.Millisecond)
			}
			if restore && (killed > 0 && random.Intn(3) > 0 || random.Intn(40) == 0) {
				for range 1 + random.Intn(2) {
					cluster.mem.Restore(time.Duration(random.Int63n(int64(2 * time.Minute))))
					time.Sleep(time.Duration(random.Int63n(int64(2 * time.Second))))
				}
			}
			if truncate && random.Intn(20) == 0 {
				cluster.mem.TruncateOlderThan(time.Now().Add(-time.Duration(random.Int63n(int64(time.Minute)))))
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
// of day of hosts differ, while the log loses nothing but what its retention removes.
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
