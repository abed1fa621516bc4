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
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

// node is an exchange together with what it has received.
type node struct {
	exchange *Exchange
	conn     net.PacketConn

	mu          sync.Mutex
	sends       []placement.SendReport
	blocked     map[string]time.Duration
	leaving     []string
	ejected     []string
	flushes     []usage.Flush
	crashes     []quarantine.Evidence
	refuted     []quarantine.Feature
	progress    map[string]Progress
	pages       []keyedlog.Page
	pageOffsets []int64
}

func start(t *testing.T, name string) *node {
	t.Helper()
	return startWith(t, name, func(*Options) {})
}

// startWith starts an exchange whose options are changed by configure.
func startWith(t *testing.T, name string, configure func(*Options)) *node {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{conn: conn, blocked: map[string]time.Duration{}}
	opts := Options{Host: name, Conn: conn, Log: logging.Discard(), Leads: func() bool { return false },
		OnSend: func(_ string, s placement.SendReport) { n.record(func() { n.sends = append(n.sends, s) }) },
		OnCached: func(_, engine string, parts []placement.Part) {
			n.record(func() { n.sends = append(n.sends, placement.SendReport{EngineID: "cached " + engine, Parts: parts}) })
		},
		OnBlock: func(_, engine string, d time.Duration) { n.record(func() { n.blocked[engine] = d }) },
		OnEject: func(endpoint, host string, kind outlier.FailureKind) {
			n.record(func() { n.ejected = append(n.ejected, fmt.Sprintf("%s of %s, %v", endpoint, host, kind)) })
		},
		OnCrash:   func(e quarantine.Evidence) { n.record(func() { n.crashes = append(n.crashes, e) }) },
		OnRefuted: func(f []quarantine.Feature) { n.record(func() { n.refuted = append(n.refuted, f...) }) },
		OnLeaving: func(endpoint, host string, startedMillis int64) {
			n.record(func() { n.leaving = append(n.leaving, fmt.Sprintf("%s of %s, %d", endpoint, host, startedMillis)) })
		},
		OnQuota:      func(data []byte, reply func([]byte)) { reply(append([]byte{quotashare.AnswerHeader}, data[1:]...)) },
		OnUsage:      func(f []usage.Flush) { n.record(func() { n.flushes = append(n.flushes, f...) }) },
		ReadProgress: func() map[string]Progress { return map[string]Progress{"t": {Next: 7, AgeMillis: 900}} },
		OnProgress:   func(p map[string]Progress) { n.record(func() { n.progress = p }) },
		OnPage: func(_ string, from int64, page keyedlog.Page) {
			n.record(func() { n.pages, n.pageOffsets = append(n.pages, page), append(n.pageOffsets, from) })
		},
	}
	configure(&opts)
	n.exchange = New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.exchange.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = conn.Close()
	})
	return n
}

func (n *node) record(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func connect(t *testing.T, nodes map[string]*node) {
	t.Helper()
	for _, a := range nodes {
		for name, b := range nodes {
			if err := a.exchange.SetPeer(Member{Host: name}, b.conn.LocalAddr().String()); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	eventuallyWithin(t, 5*time.Second, what, ok)
}

func eventuallyWithin(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not reached: " + what)
		}
	}
}

// TestReportsArrive guards against sends, blocks, ejections and usage counts
// that are altered in transit or come back to their sender.
func TestReportsArrive(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	sent := placement.SendReport{EngineID: "e1", Role: endpoint.RoleDecode, WorkMicros: 1500, Parts: []placement.Part{{ID: 1 << 63, Tokens: 600}, {ID: 2, Tokens: 300}}}
	a.exchange.ReportSend("llm", sent)
	a.exchange.ReportBlock("llm", "e2", 3*time.Second)
	a.exchange.ReportEjection("llm", "e3", outlier.Unreachable)
	a.exchange.ReportEjection("llm", "e4", outlier.BadAnswer)
	a.exchange.ReportEjection("llm", "e5", outlier.Refused)
	if err := a.exchange.ForwardUsage([]string{"b"}, 2, []usage.Flush{{Incarnation: "a/1", Window: 5, Sequence: 2, Teams: map[string]usage.Counts{"acme": {Requests: 3}}}}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all reports", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.sends) == 1 && len(b.flushes) == 1 && b.blocked["e2"] == 3*time.Second && slices.Equal(b.ejected, []string{"e3 of a, unreachable", "e4 of a, bad_answer", "e5 of a, refused"}) && b.progress["t"].Next == 7 && b.progress["t"].AgeMillis == 900
	})
	if !reflect.DeepEqual(b.sends[0], sent) || b.flushes[0].Teams["acme"].Requests != 3 {
		t.Errorf("received send %+v and flush %+v", b.sends[0], b.flushes[0])
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.sends) > 0 {
		t.Errorf("the sender received its own sends %+v", a.sends)
	}
}

// TestPlainSendArrives guards against a send to a plain service that is taken for one to
// an engine, and against answers that are altered in transit.
func TestPlainSendArrives(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	sent := placement.SendReport{EngineID: "p1", WorkMicros: 40_000, Answers: []placement.AnswerTime{{EndpointHash: 1<<64 - 1, Micros: 1}, {EndpointHash: 2, Micros: 20_000_000}}}
	a.exchange.ReportSend("desk", sent)
	eventually(t, "the send", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.sends) == 1
	})
	if !reflect.DeepEqual(b.sends[0], sent) {
		t.Errorf("received %+v", b.sends[0])
	}
}

// TestBadDatagrams guards against a malformed datagram that stops the receiver,
// and against reports of unknown hosts that are applied.
func TestBadDatagrams(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	stranger := start(t, "stranger")
	connect(t, map[string]*node{"a": a, "b": b})
	if err := stranger.exchange.SetPeer(Member{Host: "b"}, b.conn.LocalAddr().String()); err != nil {
		t.Fatal(err)
	}
	stranger.exchange.ReportSend("llm", placement.SendReport{EngineID: "e9", Role: endpoint.RolePrefill})
	for _, text := range []string{"", "\xff\xff", "\x83\x61a\x81\x01\x80"} {
		if _, err := a.conn.WriteTo([]byte(text), b.conn.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	a.exchange.ReportSend("llm", placement.SendReport{EngineID: "e1", Role: endpoint.RolePrefill})
	eventually(t, "a report after the bad datagrams", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.sends) == 1 && b.sends[0].EngineID == "e1"
	})
}

// TestSilentHostsAreNotCounted guards against a retry budget that is divided
// among hosts which are gone.
func TestSilentHostsAreNotCounted(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	if n := a.exchange.LiveHosts(); n != 2 {
		t.Errorf("%d live hosts, want 2", n)
	}
	a.exchange.mu.Lock()
	a.exchange.peers["b"].heardAt = time.Now().Add(-liveTimeout)
	a.exchange.mu.Unlock()
	if n := a.exchange.LiveHosts(); n != 1 {
		t.Errorf("%d live hosts after one fell silent, want 1", n)
	}
	if err := a.exchange.ForwardUsage([]string{"b"}, 2, nil); err == nil {
		t.Error("usage counts were forwarded to a silent host")
	}
}

// TestSilentHostsAreAwaited guards against closing a usage window while a host
// that was cut off still keeps counts of it, and against waiting for a host
// that is gone.
func TestSilentHostsAreAwaited(t *testing.T) {
	s := New(Options{Host: "a", ReadProgress: func() map[string]Progress { return nil }, OnProgress: func(map[string]Progress) {}})
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
		"silent for long":  {awaitTimeout, 3 * time.Second, false},
		"silent and heard": {2 * time.Second, 3 * time.Second, false},
	} {
		b.heardAt = now.Add(-c.heard)
		if got := s.AwaitsUsage(now.Add(-c.since)); got != c.awaited {
			t.Errorf("%s: awaited %v", name, got)
		}
	}
	b.heardAt = now.Add(-4 * time.Second)
	s.apply(message{Host: "b"})
	if !s.AwaitsUsage(now.Add(-5 * time.Second)) {
		t.Error("a host that has just come back is not awaited")
	}
}

// TestPagesGoOnFromEachOther guards against records that are lost at the
// boundaries when a page is split into datagrams.
func TestPagesGoOnFromEachOther(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	page := keyedlog.Page{Next: 40}
	for offset := int64(10); offset < 38; offset += 3 {
		page.Records = append(page.Records, keyedlog.Record{Key: "e", Value: make([]byte, 400), Offset: offset})
	}
	a.exchange.Publish("t", 8, page)
	eventually(t, "the whole page", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.pages) > 0 && b.pages[len(b.pages)-1].Next == 40
	})
	records, next := 0, int64(8)
	for i, p := range b.pages {
		if b.pageOffsets[i] != next {
			t.Errorf("part %d starts at offset %d, the previous part ends at %d", i, b.pageOffsets[i], next)
		}
		next = p.Next
		records += len(p.Records)
	}
	if records != len(page.Records) || len(b.pages) < 4 {
		t.Errorf("%d records in %d parts", records, len(b.pages))
	}
}

// TestPageStatesItsEra guards against the offsets of a page that a host takes for those of
// another era of the store, because the sender's progress is in another one than the page.
func TestPageStatesItsEra(t *testing.T) {
	progress := map[string]Progress{EraTopic: {Next: 3}, "t": {Next: 7, AgeMillis: 900}}
	a, b := startWith(t, "a", func(o *Options) { o.ReadProgress = func() map[string]Progress { return progress } }), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	for _, era := range []int64{2, 3} {
		b.record(func() { b.pages, b.progress = nil, nil })
		a.exchange.Publish("t", 5, keyedlog.Page{Next: 7, Era: era})
		eventually(t, "the page of the era", func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return len(b.pages) == 1 && b.pages[0].Era == era
		})
		b.record(func() {
			if _, has := b.progress["t"]; has != (era == 3) || b.progress[EraTopic].Next != era {
				t.Errorf("with a page of era %d came the progress %v", era, b.progress)
			}
		})
	}
}

// countingConn is a connection that counts the bytes sent and sends nothing.
type countingConn struct {
	net.PacketConn
	bytes int
}

func (s *countingConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	s.bytes += len(p)
	return len(p), nil
}

// TestPagesLeaveTheLinkFree guards against a leader whose callers wait for
// seconds behind the pages that it sends. This happens when many endpoints come
// at once and the leader has one of the narrow links of a large fleet.
func TestPagesLeaveTheLinkFree(t *testing.T) {
	const link, peers, records = 1.25e6, 81, 200
	conn := &countingConn{}
	s := New(Options{Host: "leader", Conn: conn, LinkBytesPerSecond: link, Log: logging.Discard(), ReadProgress: func() map[string]Progress { return nil }})
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
		t.Errorf("the link is occupied for %s by %d bytes", held, conn.bytes)
	}
	select {
	case <-s.wake:
	default:
		t.Error("no progress report follows the page that was not sent")
	}
	// A single change is still shared afterwards.
	time.Sleep(time.Until(began.Add(500 * time.Millisecond)))
	conn.bytes = 0
	s.Publish("t", records, keyedlog.Page{Next: records + 1, Records: []keyedlog.Record{{Offset: records, Value: make([]byte, 300)}}})
	if conn.bytes == 0 {
		t.Error("a single change is not shared")
	}
}

// TestLeavingReportArrives guards against hosts that send requests to an endpoint
// after it has told another host that it leaves.
func TestLeavingReportArrives(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	a.exchange.ReportLeaving("e1", 1_700_000_000_123)
	eventually(t, "the report", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return slices.Equal(b.leaving, []string{"e1 of a, 1700000000123"}) && len(b.sends) == 0
	})
}
