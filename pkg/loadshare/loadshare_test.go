package loadshare

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

// node is a share with what it has received.
type node struct {
	share *Share
	conn  net.PacketConn

	mu      sync.Mutex
	sends   []placement.Sent
	blocked map[string]time.Duration
	ejected []string
	flushes []usage.Flush
	told    map[string]Progress
	offers  []keyedlog.Page
	froms   []int64
}

func start(t *testing.T, name string) *node {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{conn: conn, blocked: map[string]time.Duration{}}
	n.share = New(Options{Host: name, Conn: conn, Log: logging.Discard(),
		Observe: func(_ string, s placement.Sent) { n.note(func() { n.sends = append(n.sends, s) }) },
		Blocked: func(_, engine string, d time.Duration) { n.note(func() { n.blocked[engine] = d }) },
		Ejected: func(endpoint, host string, silent bool) {
			n.note(func() { n.ejected = append(n.ejected, fmt.Sprintf("%s of %s, %t", endpoint, host, silent)) })
		},
		Accept:   func(f []usage.Flush) { n.note(func() { n.flushes = append(n.flushes, f...) }) },
		Followed: func() map[string]Progress { return map[string]Progress{"t": {Next: 7, AgeMillis: 900}} },
		Told:     func(p map[string]Progress) { n.note(func() { n.told = p }) },
		Offer: func(_ string, from int64, page keyedlog.Page) {
			n.note(func() { n.offers, n.froms = append(n.offers, page), append(n.froms, from) })
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.share.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = conn.Close()
	})
	return n
}

func (n *node) note(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func connect(t *testing.T, nodes map[string]*node) {
	t.Helper()
	for _, a := range nodes {
		for name, b := range nodes {
			if err := a.share.SetPeer(Member{Host: name}, b.conn.LocalAddr().String()); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not reached: " + what)
		}
	}
}

// TestReportsArrive guards against sends, blocks and counts that are changed on
// the way to the other hosts or come back to their sender.
func TestReportsArrive(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	sent := placement.Sent{EngineID: "e1", Role: endpoint.RoleDecode, WorkMicros: 1500, Parts: []placement.Part{{ID: 1 << 63, Tokens: 600}, {ID: 2, Tokens: 300}}}
	a.share.Report("llm", sent)
	a.share.Block("llm", "e2", 3*time.Second)
	a.share.Eject("llm", "e3", true)
	a.share.Eject("llm", "e4", false)
	if err := a.share.Hand([]string{"b"}, 2, []usage.Flush{{Incarnation: "a/1", Window: 5, Sequence: 2, Teams: map[string]usage.Counts{"acme": {Requests: 3}}}}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all reports", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.sends) == 1 && len(b.flushes) == 1 && b.blocked["e2"] == 3*time.Second && slices.Equal(b.ejected, []string{"e3 of a, true", "e4 of a, false"}) && b.told["t"].Next == 7 && b.told["t"].AgeMillis == 900
	})
	if !reflect.DeepEqual(b.sends[0], sent) || b.flushes[0].Teams["acme"].Requests != 3 {
		t.Errorf("got %+v and %+v", b.sends[0], b.flushes[0])
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.sends) > 0 {
		t.Errorf("the sender got %+v", a.sends)
	}
}

// TestBadDatagrams guards against a datagram that stops the receiver, and against
// reports of hosts that are not known.
func TestBadDatagrams(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	stranger := start(t, "stranger")
	connect(t, map[string]*node{"a": a, "b": b})
	if err := stranger.share.SetPeer(Member{Host: "b"}, b.conn.LocalAddr().String()); err != nil {
		t.Fatal(err)
	}
	stranger.share.Report("llm", placement.Sent{EngineID: "e9", Role: endpoint.RolePrefill})
	for _, text := range []string{"", "\xff\xff", "\x83\x61a\x81\x01\x80"} {
		if _, err := a.conn.WriteTo([]byte(text), b.conn.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	a.share.Report("llm", placement.Sent{EngineID: "e1", Role: endpoint.RolePrefill})
	eventually(t, "a report after the bad datagrams", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.sends) == 1 && b.sends[0].EngineID == "e1"
	})
}

// TestSilentHostsAreNotCounted guards against a retry budget that is divided among
// hosts which are gone.
func TestSilentHostsAreNotCounted(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	if n := a.share.Hosts(); n != 2 {
		t.Errorf("%d hosts", n)
	}
	a.share.mu.Lock()
	a.share.peers["b"].heardAt = time.Now().Add(-aliveFor)
	a.share.mu.Unlock()
	if n := a.share.Hosts(); n != 1 {
		t.Errorf("%d hosts after one fell silent", n)
	}
	if err := a.share.Hand([]string{"b"}, 2, nil); err == nil {
		t.Error("counts were handed to a silent host")
	}
}

// TestSilentHostsAreAwaited guards against a window of usage that is closed while a
// host which is cut off still keeps counts of it, and against one that waits for a
// host that is gone.
func TestSilentHostsAreAwaited(t *testing.T) {
	s := New(Options{Host: "a", Followed: func() map[string]Progress { return nil }, Told: func(map[string]Progress) {}})
	if err := s.SetPeer(Member{Host: "b"}, "127.0.0.1:1"); err != nil {
		t.Fatal(err)
	}
	b := s.peers["b"]
	now := time.Now()
	for name, c := range map[string]struct {
		heard, since time.Duration // before now
		awaited      bool
	}{
		"heard since":      {0, time.Second, false},
		"silent":           {4 * time.Second, 3 * time.Second, true},
		"silent for long":  {forgetTime, 3 * time.Second, false},
		"silent and heard": {2 * time.Second, 3 * time.Second, false},
	} {
		b.heardAt = now.Add(-c.heard)
		if got := s.Awaited(now.Add(-c.since)); got != c.awaited {
			t.Errorf("%s: awaited %v", name, got)
		}
	}
	b.heardAt = now.Add(-4 * time.Second)
	s.apply(message{Host: "b"})
	if !s.Awaited(now.Add(-5 * time.Second)) {
		t.Error("a host that has just come back is not awaited")
	}
}

// TestPagesGoOnFromEachOther guards against records that are lost where a page of
// the store is divided into datagrams.
func TestPagesGoOnFromEachOther(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	page := keyedlog.Page{Next: 40}
	for offset := int64(10); offset < 38; offset += 3 {
		page.Records = append(page.Records, keyedlog.Record{Key: "e", Value: make([]byte, 400), Offset: offset})
	}
	a.share.Publish("t", 8, page)
	eventually(t, "the whole page", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.offers) > 0 && b.offers[len(b.offers)-1].Next == 40
	})
	records, next := 0, int64(8)
	for i, p := range b.offers {
		if b.froms[i] != next {
			t.Errorf("part %d is from %d on, the one before ends at %d", i, b.froms[i], next)
		}
		next = p.Next
		records += len(p.Records)
	}
	if records != len(page.Records) || len(b.offers) < 4 {
		t.Errorf("%d records in %d parts", records, len(b.offers))
	}
}

// sizes is a connection that notes the bytes sent.
type sizes struct {
	net.PacketConn
	bytes int
}

func (s *sizes) WriteTo(p []byte, _ net.Addr) (int, error) {
	s.bytes += len(p)
	return len(p), nil
}

// TestPagesLeaveTheLinkFree guards against a leader whose callers wait for seconds
// behind the pages that it sends: many endpoints come at once, and the host has one
// of the narrow links of a large fleet.
func TestPagesLeaveTheLinkFree(t *testing.T) {
	const link, peers, records = 1.25e6, 81, 200
	conn := &sizes{}
	s := New(Options{Host: "leader", Conn: conn, LinkBytesPerSecond: link, Log: logging.Discard(), Followed: func() map[string]Progress { return nil }})
	for i := range peers {
		if err := s.SetPeer(Member{Host: strconv.Itoa(i)}, "127.0.0.1:1"); err != nil {
			t.Fatal(err)
		}
	}
	page := keyedlog.Page{Next: records}
	for i := range records {
		page.Records = append(page.Records, keyedlog.Record{Offset: int64(i), Key: "i-98730906d4", Value: make([]byte, 300)})
	}
	began := time.Now()
	s.Publish("t", 0, page)
	if held := time.Duration(float64(conn.bytes) / link * float64(time.Second)); conn.bytes == 0 || held > 250*time.Millisecond {
		t.Errorf("the link is held for %s by %d bytes", held, conn.bytes)
	}
	select {
	case <-s.wake:
	default:
		t.Error("the other hosts are not told to read")
	}
	// A change now and then is still shared.
	time.Sleep(time.Until(began.Add(500 * time.Millisecond)))
	conn.bytes = 0
	s.Publish("t", records, keyedlog.Page{Next: records + 1, Records: []keyedlog.Record{{Offset: records, Value: make([]byte, 300)}}})
	if conn.bytes == 0 {
		t.Error("a single change is not shared")
	}
}
