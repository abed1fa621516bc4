package loadshare

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/placement"
)

// datagramCounter counts the datagrams that it sends.
type datagramCounter struct {
	net.PacketConn
	sent *atomic.Int64
}

func (c datagramCounter) WriteTo(data []byte, to net.Addr) (int, error) {
	c.sent.Add(1)
	return c.PacketConn.WriteTo(data, to)
}

// startFleet starts hosts in three failure domains that know each other.
func startFleet(t *testing.T, hosts int) (map[string]*node, *atomic.Int64) {
	t.Helper()
	sent := &atomic.Int64{}
	nodes := map[string]*node{}
	domainOf := func(i int) string { return fmt.Sprint("d", i%3) }
	linkOf := func(i int) float64 {
		if i < 6 { // two hosts of each domain can relay
			return 1e7
		}
		return 1e6
	}
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		nodes[name] = startWith(t, name, func(opts *Options) {
			opts.Domain, opts.LinkBytesPerSecond = domainOf(i), linkOf(i)
			opts.Conn = datagramCounter{opts.Conn, sent}
		})
	}
	for _, a := range nodes {
		for name, b := range nodes {
			m := Member{Host: name, Domain: b.exchange.opts.Domain, LinkBytesPerSecond: b.exchange.opts.LinkBytesPerSecond}
			if err := a.exchange.SetPeer(m, b.conn.LocalAddr().String()); err != nil {
				t.Fatal(err)
			}
		}
	}
	return nodes, sent
}

func (n *node) received() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sends)
}

// TestRelayedReportsArriveOnce guards against reports that miss a host or reach it
// twice on the way over relays, and against datagrams that grow with the square of
// the hosts.
func TestRelayedReportsArriveOnce(t *testing.T) {
	const hosts, each = 30, 3
	nodes, sent := startFleet(t, hosts)
	time.Sleep(50 * time.Millisecond)
	before := sent.Load()
	for name, n := range nodes {
		for i := range each {
			n.exchange.ReportSend("s", placement.SendReport{EngineID: fmt.Sprint(name, "-", i), Role: endpoint.RolePrefill, WorkMicros: 1000})
		}
	}
	eventually(t, "every report at every other host", func() bool {
		for _, n := range nodes {
			if n.received() < (hosts-1)*each {
				return false
			}
		}
		return true
	})
	datagrams := sent.Load() - before
	time.Sleep(100 * time.Millisecond)
	for name, n := range nodes {
		if got := n.received(); got != (hosts-1)*each {
			t.Errorf("%s received %d reports, want %d", name, got, (hosts-1)*each)
		}
	}
	// A heartbeat of each host to each other may fall into the time as well.
	if limit := int64(hosts * (hosts - 1) * 3 / 2); datagrams > limit {
		t.Errorf("%d datagrams, want at most %d", datagrams, limit)
	}
}

// TestSilentRelayIsReplaced guards against a failure domain whose hosts get no
// reports any more after the loss of their relay.
func TestSilentRelayIsReplaced(t *testing.T) {
	now := time.Now()
	x := New(Options{Host: "h30", Domain: "d0", LinkBytesPerSecond: 1})
	for i := range 30 {
		member := Member{Host: fmt.Sprintf("h%02d", i), Domain: fmt.Sprint("d", i%3), LinkBytesPerSecond: float64(100 - i)}
		if err := x.SetPeer(member, fmt.Sprintf("127.0.0.1:%d", 1000+i)); err != nil {
			t.Fatal(err)
		}
	}
	if got := x.topology(now); got.own[0].Port() != 1000 || got.isRelay || len(got.others) != 2 || len(got.othersHeartbeats) != 2 || len(got.domain) != 10 {
		t.Errorf("topology %+v", got)
	}
	x.peers["h00"].heardAt = now.Add(-relayTimeout)
	if got := x.topology(now); got.own[0].Port() != 1003 {
		t.Errorf("relay %v after the first one is silent, want port 1003", got.own)
	}
	for _, p := range x.peers {
		p.heardAt = now.Add(-relayTimeout)
	}
	if got := x.topology(now); !got.isRelay || len(got.others) != 0 {
		t.Errorf("topology of a host that hears nobody: %+v", got)
	}
}

// TestRelayLeavesItsLinkFree guards against a relay whose link is full of reports.
func TestRelayLeavesItsLinkFree(t *testing.T) {
	const link = 125_000
	conn := &countingConn{}
	x := New(Options{Host: "relay", Domain: "d0", LinkBytesPerSecond: link, Conn: conn, Log: logging.Discard()})
	for i := range 30 {
		if err := x.SetPeer(Member{Host: fmt.Sprint("h", i), Domain: "d0"}, "127.0.0.1:1"); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	for range 200 {
		x.keep([]batch{{Host: "h1", Reports: make([]report, 8)}}, stageToRelay)
		x.passOn()
	}
	// The burst comes in addition to the rate.
	limit := link*relayLinkFraction*time.Since(began).Seconds() + 64*maxDatagramBytes
	if bytes := float64(conn.bytes); bytes > limit || bytes == 0 {
		t.Errorf("%v bytes in %v, want at most %v", bytes, time.Since(began), limit)
	}
}

// TestRelayedHeartbeatsReachAll guards against hosts that count as lost although they
// live, with heartbeats that go to few hosts only, and against lost ones that count as
// live.
func TestRelayedHeartbeatsReachAll(t *testing.T) {
	const hosts = 30
	nodes, sent := startFleet(t, hosts)
	time.Sleep(relayedLive + heartbeatInterval)
	before := sent.Load()
	const seconds = 6
	time.Sleep(seconds * heartbeatInterval)
	for name, n := range nodes {
		if live := n.exchange.LiveHosts(); live != hosts {
			t.Errorf("%s counts %d live hosts, want %d", name, live, hosts)
		}
	}
	// Sent directly, heartbeats are hosts*(hosts-1) datagrams a second.
	if datagrams := (sent.Load() - before) / seconds; datagrams > hosts*(hosts-1)/2 {
		t.Errorf("%d datagrams a second", datagrams)
	}
	lost := nodes["h29"]
	_ = lost.conn.Close()
	eventuallyWithin(t, 2*relayedLive, "the lost host does not count as live", func() bool { return nodes["h00"].exchange.LiveHosts() == hosts-1 })
}

// TestLossOfAllRelays guards against hosts that hear nobody any more once the hosts
// that passed on the heartbeats of their domain are lost at the same time.
func TestLossOfAllRelays(t *testing.T) {
	nodes, _ := startFleet(t, 30)
	time.Sleep(2 * heartbeatInterval)
	for _, name := range []string{"h00", "h03"} { // both hosts of d0 with wide links
		_ = nodes[name].conn.Close()
	}
	time.Sleep(relayedLive)
	eventuallyWithin(t, relayedLive, "each host hears the 27 others that are left", func() bool {
		for name, n := range nodes {
			if name != "h00" && name != "h03" && n.exchange.LiveHosts() != 28 {
				return false
			}
		}
		return true
	})
}
