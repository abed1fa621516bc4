package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/clementineshed/clementineshed/pkg/peer"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// spreadLimit is the number of Intervals within which an entry has to reach all
// hosts: under the 19 s in which a configuration change has to be in force.
const spreadLimit = 18

func has(kind, key string, version uint64) func(*Table) bool {
	return func(t *Table) bool {
		e, ok := t.Get(kind, key)
		return ok && e.Version == version
	}
}

func publish(t *testing.T, table *Table, e Entry) {
	t.Helper()
	if err := table.Publish(e); err != nil {
		t.Fatal(err)
	}
}

// Guards against entries that do not reach every host, traffic that grows with
// the number of hosts, healthy hosts that are suspected, and domain ages that are
// too high to keep keys in use, which needs most domains seen within 8 s.
func TestConvergenceFrom2To1500Hosts(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{2, 1}, {8, 4}, {64, 8}, {300, 25}, {1500, 25}} {
		if raceDetector && size.hosts > 300 {
			continue
		}
		n := NewNetwork(size.hosts, size.domains, 7)
		n.Run(16)
		if bad := size.hosts - n.Count(ownDomainAndSampleAlive(n)); bad > 0 {
			t.Errorf("%d hosts: %d tables suspect a healthy host", size.hosts, bad)
		}
		majority := func(table *Table) bool { return domainsSeenWithin(table, 8*time.Second) > size.domains/2 }
		if late := size.hosts - n.Count(majority); size.domains > 1 && late > 0 {
			t.Errorf("%d hosts: %d tables saw no majority of domains within 8 s", size.hosts, late)
		}
		publish(t, n.Tables[0], Entry{Kind: "k", Key: "global", Scope: ScopeGlobal, Version: 1})
		publish(t, n.Tables[0], Entry{Kind: "k", Key: "near", Version: 1})
		messages, bytes := n.Messages, n.Bytes
		took, ok := n.RunUntil(spreadLimit, has("k", "global", 1))
		if !ok {
			t.Errorf("%d hosts: entry not at all hosts after %d intervals", size.hosts, took)
		}
		near := n.Count(has("k", "near", 1))
		if want := (size.hosts + size.domains - 1) / size.domains; near != want {
			t.Errorf("%d hosts: domain entry at %d hosts, want %d", size.hosts, near, want)
		}
		perHost := func(total uint64) float64 { return float64(total) / float64(max(took, 1)*size.hosts) }
		// Each message counts for its sender and its receiver.
		t.Logf("%d hosts, %d domains: spread %d s, per host %.1f messages/s, %.0f B/s",
			size.hosts, size.domains, took, 2*perHost(n.Messages-messages), 2*perHost(n.Bytes-bytes))
		if rate := 2 * perHost(n.Bytes-bytes); rate > 25_000 {
			t.Errorf("%d hosts: %.0f bytes/s per host", size.hosts, rate)
		}
	}
}

func allAlive(table *Table) bool {
	for _, h := range table.Hosts() {
		if h.State != StateAlive {
			return false
		}
	}
	return true
}

// Guards against withdrawals and quarantines that spread no faster than other
// entries.
func TestLastingEntriesSpreadAtOnce(t *testing.T) {
	n := NewNetwork(300, 25, 23)
	n.Run(16)
	publish(t, n.Tables[7], Entry{Kind: "k", Key: "w", Scope: ScopeGlobal, Version: 1, TTL: time.Minute, Lasting: true})
	rounds := n.RunBursts()
	reached := n.Count(has("k", "w", 1))
	t.Logf("%d of %d hosts after %d rounds", reached, len(n.Tables), rounds)
	if reached < 270 {
		t.Errorf("lasting entry at %d of 300 hosts after the bursts, want at least 270", reached)
	}
	if _, ok := n.RunUntil(5, has("k", "w", 1)); !ok {
		t.Error("lasting entry not at all hosts after 5 intervals")
	}
}

// Guards against bulk entries that delay all other entries.
func TestBulkEntriesYield(t *testing.T) {
	n := NewNetwork(16, 4, 29)
	n.Run(30)
	for i := range 3000 {
		publish(t, n.Tables[0], Entry{Kind: "bulk", Key: fmt.Sprint(i), Scope: ScopeGlobal, Bulk: true, Version: 1, Value: make([]byte, 24)})
	}
	publish(t, n.Tables[0], Entry{Kind: "k", Key: "x", Scope: ScopeGlobal, Version: 1})
	if _, ok := n.RunUntil(spreadLimit, has("k", "x", 1)); !ok {
		t.Error("entry waits behind bulk entries")
	}
	if _, ok := n.RunUntil(300, has("bulk", "2999", 1)); !ok {
		t.Error("bulk entries do not arrive")
	}
}

// ownDomainAndSampleAlive returns a check that a table considers its own domain
// and two hosts of each domain alive.
func ownDomainAndSampleAlive(n *Network) func(*Table) bool {
	far := map[string]int{}
	var sample []ListedHost
	for _, l := range n.Hosts {
		if far[l.Domain]++; far[l.Domain] <= 2 {
			sample = append(sample, l)
		}
	}
	near := map[string][]ListedHost{}
	for _, l := range n.Hosts {
		near[l.Domain] = append(near[l.Domain], l)
	}
	return func(table *Table) bool {
		for _, l := range slices.Concat(near[table.Self().Domain], sample) {
			if table.State(l.Host) != StateAlive {
				return false
			}
		}
		return true
	}
}

// domainsSeenWithin returns the number of domains seen within the limit.
func domainsSeenWithin(table *Table, limit time.Duration) int {
	count := 0
	for _, age := range table.DomainAges() {
		if age <= limit {
			count++
		}
	}
	return count
}

// Guards against hosts behind a partition that count as alive or as gone instead
// of suspected, and against entries that still differ after it has healed.
func TestDomainPartitionAndHealing(t *testing.T) {
	n := NewNetwork(40, 4, 3)
	n.Run(20)
	cut := "domain-03"
	n.Reachable = func(a, b ListedHost) bool { return (a.Domain == cut) == (b.Domain == cut) }
	publish(t, n.Tables[3], Entry{Kind: "k", Key: "inside", Scope: ScopeGlobal, Version: 1})
	publish(t, n.Tables[0], Entry{Kind: "k", Key: "outside", Scope: ScopeGlobal, Version: 1})
	before := n.Messages
	n.Run(30)
	during := n.Messages - before
	if inside := n.Count(has("k", "inside", 1)); inside != 10 {
		t.Errorf("inside entry at %d hosts, want 10", inside)
	}
	if state := n.Tables[0].State("host-0003"); state != StateSuspected {
		t.Errorf("host of the cut-off domain is %s", state)
	}
	if age := n.Tables[0].DomainAges()[cut]; age < 29*time.Second {
		t.Errorf("cut-off domain counts as seen %s ago, want at least 29s", age)
	}
	n.Reachable = func(_, _ ListedHost) bool { return true }
	before = n.Messages
	if _, ok := n.RunUntil(spreadLimit+10, func(table *Table) bool {
		return has("k", "inside", 1)(table) && has("k", "outside", 1)(table)
	}); !ok {
		t.Error("entries differ after healing")
	}
	n.Run(30 + int(contactRetryDelay/Interval))
	if bad := len(n.Tables) - n.Count(allAlive); bad > 0 {
		t.Errorf("%d tables suspect a host after healing", bad)
	}
	after := float64(n.Messages-before) / float64(during)
	t.Logf("messages after healing per messages during the partition: %.1f", after)
}

// Guards against keeping the entries of a process that has ended, and against
// losing its lasting entries.
func TestRestartDropsOldEntriesButLastingOnes(t *testing.T) {
	n := NewNetwork(24, 3, 5)
	publish(t, n.Tables[1], Entry{Kind: "k", Key: "old", Scope: ScopeGlobal, Version: 9})
	publish(t, n.Tables[1], Entry{Kind: "k", Key: "fact", Scope: ScopeGlobal, Version: 9, TTL: 5 * time.Minute, Lasting: true})
	// The old entries have not reached all hosts when the host restarts.
	n.Run(2)
	n.Restart(1, 2)
	publish(t, n.Tables[1], Entry{Kind: "k", Key: "new", Scope: ScopeGlobal, Version: 1})
	if _, ok := n.RunUntil(60, func(table *Table) bool {
		_, old := table.Get("k", "old")
		return !old && has("k", "new", 1)(table) && has("k", "fact", 9)(table)
	}); !ok {
		t.Error("tables do not agree on the new incarnation")
	}
	n.Run(330)
	if left := n.Count(has("k", "fact", 9)); left != 0 {
		t.Errorf("lasting entry still at %d hosts after its TTL", left)
	}
}

// Guards against a paused process that brings back expired or replaced entries,
// and against two processes of one host that both go on.
func TestPausedHostReturnsWithStaleState(t *testing.T) {
	n := NewNetwork(16, 2, 11)
	n.Run(10)
	publish(t, n.Tables[0], Entry{Kind: "k", Key: "a", Scope: ScopeGlobal, Version: 1, TTL: 60 * time.Second})
	publish(t, n.Tables[2], Entry{Kind: "k", Key: "b", Scope: ScopeGlobal, Version: 1})
	n.Run(spreadLimit)
	stale := n.Tables[4]
	n.Paused["host-0004"] = true
	publish(t, n.Tables[2], Entry{Kind: "k", Key: "b", Scope: ScopeGlobal, Version: 2})
	n.Run(60)
	if state := n.Tables[0].State("host-0004"); state != StateSuspected {
		t.Errorf("paused host is %s", state)
	}
	n.Paused["host-0004"] = false
	if _, ok := n.RunUntil(spreadLimit+10, has("k", "b", 2)); !ok {
		t.Error("stale value came back")
	}
	if left := n.Count(has("k", "a", 1)); left != 0 {
		t.Errorf("expired entry at %d hosts", left)
	}
	n.Restart(4, 2)
	n.Run(5)
	stale.Step()
	if !stale.Replaced() || n.Tables[4].Replaced() {
		t.Errorf("replaced: old %v, new %v", stale.Replaced(), n.Tables[4].Replaced())
	}
}

// Guards against ignoring a restarted host whose clock was set back, so that its
// first nonce is below its predecessor's.
func TestRestartWithLowerNonce(t *testing.T) {
	n := NewNetwork(8, 2, 13)
	n.Restart(1, 50)
	n.Run(30)
	n.Restart(1, 10)
	publish(t, n.Tables[1], Entry{Kind: "k", Key: "new", Scope: ScopeGlobal, Version: 1})
	if _, ok := n.RunUntil(spreadLimit, has("k", "new", 1)); !ok {
		t.Error("entries of the restarted host are ignored")
	}
	if nonce := n.Tables[1].Self().Nonce; nonce <= 50 {
		t.Errorf("nonce %d, want more than 50", nonce)
	}
}

// Guards against gossip that keeps a host after it left the host list, and
// against a silent host that counts as gone.
func TestGoneOnlyByTheHostList(t *testing.T) {
	n := NewNetwork(12, 2, 17)
	publish(t, n.Tables[0], Entry{Kind: "k", Key: "x", Scope: ScopeGlobal, Version: 1})
	n.Run(20)
	n.Paused["host-0000"] = true
	n.Run(60)
	if state := n.Tables[2].State("host-0000"); state != StateSuspected {
		t.Errorf("silent host is %s", state)
	}
	for _, table := range n.Tables[1:7] {
		table.SetHosts(n.Hosts[1:])
	}
	n.Run(20)
	for i, table := range n.Tables[1:7] {
		if _, ok := table.Get("k", "x"); ok || table.State("host-0000") != StateGone {
			t.Errorf("table %d still holds the gone host", i+1)
		}
	}
}

// Guards against entries over the limit of one message that never arrive,
// invalid entries that are accepted, and subscribers that miss an entry or get it
// twice.
func TestLimitsAndSubscriptions(t *testing.T) {
	n := NewNetwork(2, 1, 19)
	n.Run(30)
	seen := map[string]int{}
	n.Tables[1].Subscribe("k", func(e Entry) {
		seen[e.Key]++
		_, _ = n.Tables[1].Get("k", e.Key)
	})
	for i := range 100 {
		publish(t, n.Tables[0], Entry{Kind: "k", Key: fmt.Sprint(i), Version: 1, Value: make([]byte, 3*maxDeltaBytes)})
	}
	n.Run(120)
	if len(seen) != 100 {
		t.Errorf("%d entries arrived, want 100", len(seen))
	}
	for key, count := range seen {
		if count != 1 {
			t.Errorf("entry %s delivered %d times", key, count)
		}
	}
	for _, bad := range []struct {
		entry Entry
		want  error
	}{
		{Entry{Kind: "k", Key: "0", Version: 1}, ErrStale},
		{Entry{Kind: "k", Key: "l", Version: 1, Lasting: true}, ErrLasting},
		{Entry{Kind: "k", Key: "v", Version: 1, Value: make([]byte, MaxValueBytes+1)}, ErrTooLarge},
	} {
		if err := n.Tables[0].Publish(bad.entry); !errors.Is(err, bad.want) {
			t.Errorf("got %v, want %v", err, bad.want)
		}
	}
}

// Guards against ages below the true age, which would keep a withdrawn key in
// use.
func TestAgesCountFromTheRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	var at time.Time
	var age time.Duration
	c := newCore(coreOptions{
		self: Incarnation{Host: "a", Domain: "d1"}, rand: rand.New(rand.NewPCG(1, 1)),
		local:    func() LocalStatus { return LocalStatus{} },
		onAnswer: func(_, _ string, a time.Duration, t time.Time) { age, at = a, t },
	}, now)
	from := Incarnation{Host: "b", Domain: "d2"}
	late := &Message{From: from, ConfirmedAgeMillis: 500, DomainAges: []domainAge{{Domain: "d3", AgeMillis: 1500}}}
	c.answer(late, now)
	if len(c.lastSeen) != 0 || !at.IsZero() {
		t.Error("a request, which may have been delayed, updated when domains were seen")
	}
	c.mergeAnswer(late, now, now.Add(4*time.Second))
	if !at.Equal(now) || age != 500*time.Millisecond || !c.lastSeen["d3"].Equal(now.Add(-1500*time.Millisecond)) {
		t.Errorf("answer at %s, age %s, d3 seen at %s", at, age, c.lastSeen["d3"])
	}
}

// Guards against a codec or a handler that behaves differently from the
// in-memory transport.
func TestExchangeOverQUIC(t *testing.T) {
	ca, err := tlsconfig.NewDevCA(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	logger := &log.Logger{Handler: discard.New()}
	var tables []*Table
	var list []ListedHost
	for i, host := range []string{"a", "b"} {
		files, err := ca.WriteFiles(t.TempDir(), host)
		if err != nil {
			t.Fatal(err)
		}
		clock := clockwork.NewRealClock()
		source, err := tlsconfig.Open(tlsconfig.Options{Files: files, Clock: clock, Log: logger})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(source.Close)
		var table *Table
		node, err := peer.Start(peer.Options{
			Host: host, Listen: "127.0.0.1:0", TLS: source, Clock: clock, Log: logger,
			Rand:    rand.New(rand.NewPCG(1, uint64(i))),
			Resolve: func(h string) (string, bool) { return table.Address(h) },
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		table = New(Options{
			Self: Incarnation{Host: host, Domain: "d", Nonce: 1}, Transport: PeerTransport{node},
			Clock: clock, Rand: rand.New(rand.NewPCG(2, uint64(i))), Log: logger,
		})
		Serve(node, table)
		tables = append(tables, table)
		list = append(list, ListedHost{Host: host, Domain: "d", Address: node.Address()})
	}
	for _, table := range tables {
		table.SetHosts(list)
	}
	publish(t, tables[0], Entry{Kind: "k", Key: "x", Scope: ScopeGlobal, Version: 1, Value: []byte("v")})
	publish(t, tables[1], Entry{Kind: "k", Key: "y", Version: 1, TTL: time.Minute})
	tables[0].Step()
	if !has("k", "x", 1)(tables[1]) || !has("k", "y", 1)(tables[0]) {
		t.Error("one push-pull exchange did not carry both entries")
	}
	if _, err := tables[1].Answer("b", tables[0].core.firstRequest("b", time.Now())); err == nil {
		t.Error("message in the name of another host accepted")
	}
	tables[1].Run()
	for _, table := range tables {
		table.Close()
	}
}
