package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/pathwatch"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

const patience = 5 * time.Second

// listen accepts connections until the test ends and gives each to serve.
func listen(t *testing.T, serve func(nc net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = nc.Close() }()
				serve(nc)
			})
		}
	})
	return l.Addr().String()
}

// echo answers each line with the same line.
func echo(nc net.Conn) {
	r := bufio.NewReader(nc)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, line)
	}
}

// helper is a helping host.
type helper struct {
	server  *Server
	address string
	heads   chan string
	check   atomic.Value // Outcome
	// reaches says whether the host reaches endpoints, and sound whether it knows that.
	reaches, sound atomic.Bool
	// hold, if not nil, is called before a connection is opened.
	hold func()
}

func newHelper(t *testing.T, maxTunnels int) *helper {
	t.Helper()
	h := &helper{heads: make(chan string, 100)}
	h.check.Store(Opened)
	h.reaches.Store(true)
	h.sound.Store(true)
	h.server = NewServer(ServerOptions{
		MaxTunnels: maxTunnels,
		Check:      func(string) Outcome { return h.check.Load().(Outcome) },
		Sound:      h.sound.Load,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if h.hold != nil {
				h.hold()
			}
			if !h.reaches.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return directTCP(ctx, address)
		},
		OnAnswer: func(_ string, head []byte) bool {
			if !bytes.Contains(head, []byte("\n")) {
				return false
			}
			h.heads <- string(head)
			return true
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = l.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
		h.server.Close()
	})
	return h
}

func directTCP(ctx context.Context, address string) (net.Conn, error) {
	return upstream.DialTCP(ctx, address, maxOpenTimeout, time.Second)
}

func (h *helper) dial(t *testing.T, endpoint string) (net.Conn, error) {
	t.Helper()
	return dial(context.Background(), pathwatch.Helper{Host: "b", Address: netip.MustParseAddrPort(h.address)}, target{endpoint, time.Now().Add(patience)})
}

func (h *helper) mustDial(t *testing.T, endpoint string) net.Conn {
	t.Helper()
	c, err := h.dial(t, endpoint)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// TestBytesPassThrough guards against bytes that are lost, changed or held back.
func TestBytesPassThrough(t *testing.T) {
	h := newHelper(t, 4)
	c := h.mustDial(t, listen(t, echo))
	r := bufio.NewReader(c)
	for _, line := range []string{"a\n", strings.Repeat("b", 3*maxFrameBytes) + "\n", "c\n"} {
		go func() { _, _ = io.WriteString(c, line) }()
		if got, err := r.ReadString('\n'); got != line {
			t.Fatalf("got %d bytes, want %d: %v", len(got), len(line), err)
		}
	}
	if head := <-h.heads; head != "a\n" {
		t.Errorf("the helping host saw %q", head)
	}
	if indirect, ok := c.(upstream.Indirect); !ok || indirect.Via() != "b" {
		t.Error("the connection does not name the helping host")
	}
}

// TestFramesSurviveTimeouts guards against a reader that loses its place when a read times
// out, and against an end without its mark that looks like one.
func TestFramesSurviveTimeouts(t *testing.T) {
	var b bytes.Buffer
	_ = writeFrame(&b, []byte("first"))
	_ = writeFrame(&b, []byte("second"))
	whole := b.Len()
	_ = writeFrame(&b, nil)
	for _, c := range []struct {
		data []byte
		end  error
	}{{b.Bytes(), io.EOF}, {b.Bytes()[:whole], io.ErrUnexpectedEOF}, {b.Bytes()[:whole-2], io.ErrUnexpectedEOF}} {
		f := frameReader{r: bufio.NewReader(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(c.data))))}
		var got []byte
		buf := make([]byte, 3)
		for {
			n, err := f.Read(buf)
			got = append(got, buf[:n]...)
			if errors.Is(err, iotest.ErrTimeout) {
				continue
			}
			if err != nil {
				if err != c.end {
					t.Errorf("%d bytes end with %v, want %v", len(c.data), err, c.end)
				}
				break
			}
		}
		if !strings.HasPrefix("firstsecond", string(got)) || c.end == io.EOF && string(got) != "firstsecond" {
			t.Errorf("read %q", got)
		}
	}
}

// TestEndOfAnswer guards against an answer that ends with its connection and looks complete
// though it broke off, at the endpoint or because the helping host ended.
func TestEndOfAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   func(nc net.Conn, h *helper)
		whole bool
	}{
		{"in order", func(net.Conn, *helper) {}, true},
		{"reset", func(nc net.Conn, _ *helper) { _ = connstate.Reset(nc) }, false},
		{"helping host ends", func(_ net.Conn, h *helper) { h.server.Close() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHelper(t, 4)
			read := make(chan struct{})
			conn := h.mustDial(t, listen(t, func(nc net.Conn) {
				_, _ = io.WriteString(nc, "part")
				<-read
				c.end(nc, h)
			}))
			var first [4]byte
			if _, err := io.ReadFull(conn, first[:]); err != nil {
				t.Fatal(err)
			}
			close(read)
			rest, err := io.ReadAll(conn)
			if len(rest) > 0 || (err == nil) != c.whole {
				t.Errorf("%q, error %v", rest, err)
			}
		})
	}
}

// TestCancelReachesEndpoint guards against work that goes on for a host that has given up,
// and against tunnels that are never freed.
func TestCancelReachesEndpoint(t *testing.T) {
	for name, end := range map[string]func(net.Conn) error{"closed": net.Conn.Close, "reset": connstate.Reset} {
		t.Run(name, func(t *testing.T) {
			h := newHelper(t, 4)
			began, ended := make(chan struct{}), make(chan struct{})
			c := h.mustDial(t, listen(t, func(nc net.Conn) {
				close(began)
				_, _ = io.Copy(io.Discard, nc)
				close(ended)
			}))
			_, _ = io.WriteString(c, "request")
			<-began
			_ = end(c)
			select {
			case <-ended:
			case <-time.After(patience):
				t.Error("the endpoint still waits")
			}
			eventually(t, "the tunnel is freed", func() bool { return h.server.Open() == 0 })
		})
	}
}

// TestOutcomes guards against requests that wait for a host that cannot help, and against a
// failure of the helping host that counts as one of the endpoint.
func TestOutcomes(t *testing.T) {
	h := newHelper(t, 1)
	endpoint := listen(t, echo)
	for _, outcome := range []Outcome{CutOff, NotServing} {
		h.check.Store(outcome)
		if _, err := h.dial(t, endpoint); answerOf(err).Outcome != outcome || errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%v, want %s", err, outcome)
		}
		// A request occupies its place until its connection is closed.
		eventually(t, "the refused request is freed", func() bool { return h.server.Open() == 0 })
	}
	h.check.Store(Opened)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if _, err := h.dial(t, l.Addr().String()); answerOf(err).Outcome != Refused || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("%v for an endpoint whose process is gone", err)
	}
	eventually(t, "refused requests are freed", func() bool { return h.server.Open() == 0 })
	c := h.mustDial(t, endpoint)
	if _, err := h.dial(t, endpoint); answerOf(err).Outcome != Busy {
		t.Errorf("%v beyond the limit", err)
	}
	_ = c.Close()
	eventually(t, "there is room again", func() bool { return h.server.Open() == 0 })
	h.server.Stop()
	if _, err := h.dial(t, endpoint); answerOf(err).Outcome != Stopping {
		t.Errorf("%v from a host that stops", err)
	}
}

// TestRequestLineIsBounded guards against a connection that occupies a host without asking
// for a tunnel.
func TestRequestLineIsBounded(t *testing.T) {
	h := newHelper(t, 4)
	for name, line := range map[string]string{"too long": strings.Repeat("x", 2*maxLineBytes), "not JSON": "hello\n", "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(patience))
			_, _ = io.WriteString(c, line)
			answer, err := io.ReadAll(c)
			if !errors.Is(err, syscall.ECONNRESET) && !strings.Contains(string(answer), string(Invalid)) {
				t.Errorf("%q, %v", answer, err)
			}
		})
	}
}

// TestTunnelEndsWithItsTime guards against tunnels of a host that has vanished.
func TestTunnelEndsWithItsTime(t *testing.T) {
	h := newHelper(t, 4)
	ended := make(chan struct{})
	endpoint := listen(t, func(nc net.Conn) {
		_, _ = io.Copy(io.Discard, nc)
		close(ended)
	})
	c, err := dial(context.Background(), pathwatch.Helper{Host: "b", Address: netip.MustParseAddrPort(h.address)}, target{endpoint, time.Now().Add(100 * time.Millisecond)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	began := time.Now()
	<-ended
	if took := time.Since(began); took < lifeMargin || took > lifeMargin+patience {
		t.Errorf("ended after %v", took)
	}
}

// host is an asking host whose direct connections can be made to fail.
type host struct {
	*Opener
	watch  *pathwatch.Watch
	direct atomic.Value // func(ctx context.Context, address string) (net.Conn, error)
	dials  atomic.Int64
}

// hostSeed makes each host of a test ask the others in another order.
var hostSeed atomic.Uint64

func newHost(t *testing.T, helpers ...*helper) *host {
	t.Helper()
	h := &host{watch: pathwatch.New()}
	h.setDirect(directTCP)
	h.Opener = NewOpener(OpenerOptions{
		Domain: "east", Watch: h.watch, Log: logging.Discard(),
		Hosts: func() (list []pathwatch.Helper) {
			for i, helper := range helpers {
				list = append(list, pathwatch.Helper{Host: string(rune('b' + i)), Domain: "west", Address: netip.MustParseAddrPort(helper.address)})
			}
			return list
		},
		Known:       func(string) bool { return true },
		HealthCheck: func(string) []byte { return []byte("health\n") },
		Direct: func(ctx context.Context, address string) (net.Conn, error) {
			h.dials.Add(1)
			return h.direct.Load().(func(context.Context, string) (net.Conn, error))(ctx, address)
		},
	}, rand.New(rand.NewPCG(hostSeed.Add(1), 2)))
	t.Cleanup(h.Wait)
	return h
}

func (h *host) setDirect(direct func(ctx context.Context, address string) (net.Conn, error)) {
	h.direct.Store(direct)
}

func refuse(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }

func hang(context.Context, string) (net.Conn, error) {
	time.Sleep(maxOpenTimeout)
	return nil, context.DeadlineExceeded
}

// open opens a connection and returns the host through which it goes.
func (h *host) open(t *testing.T, address string) (via string, took time.Duration, err error) {
	t.Helper()
	began := time.Now()
	c, err := h.Open(context.Background(), address)
	if err != nil {
		return "", time.Since(began), err
	}
	defer func() { _ = c.Close() }()
	if indirect, ok := c.(upstream.Indirect); ok {
		via = indirect.Via()
	}
	return via, time.Since(began), nil
}

// TestLostPathGoesThroughAnotherHost guards against requests that fail, or wait for a direct
// connection each time, while another host has a path.
func TestLostPathGoesThroughAnotherHost(t *testing.T) {
	for name, direct := range map[string]func(context.Context, string) (net.Conn, error){"refused": refuse, "no answer": hang} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, newHelper(t, 10))
			endpoints := []string{listen(t, echo), listen(t, echo), listen(t, echo)}
			if via, _, err := h.open(t, endpoints[0]); err != nil || via != "" || h.watch.LostPaths() > 0 {
				t.Fatalf("before: via %q, %v", via, err)
			}
			h.setDirect(direct)
			for _, endpoint := range endpoints[:2] {
				if via, took, err := h.open(t, endpoint); err != nil || via != "b" || took > maxOpenTimeout {
					t.Errorf("via %q after %v, %v", via, took, err)
				}
			}
			eventually(t, "the host counts as cut off", h.watch.CutOff)
			before := h.dials.Load()
			if via, _, err := h.open(t, endpoints[2]); err != nil || via != "b" || h.dials.Load() != before {
				t.Errorf("after: via %q, %d direct attempts, %v", via, h.dials.Load()-before, err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			h.setDirect(directTCP)
			go h.Run(ctx)
			eventually(t, "the paths are sound again", func() bool { return h.watch.LostPaths() == 0 && !h.watch.CutOff() })
			if via, _, err := h.open(t, endpoints[2]); err != nil || via != "" {
				t.Errorf("at the end: via %q, %v", via, err)
			}
		})
	}
}

// TestEndpointThatIsDownIsNoLostPath guards against a crashed endpoint that makes requests
// to others go through another host.
func TestEndpointThatIsDownIsNoLostPath(t *testing.T) {
	h := newHost(t, newHelper(t, 10))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	for range 3 {
		if _, _, err := h.open(t, l.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("got %v", err)
		}
	}
	if h.watch.LostPaths() > 0 {
		t.Error("the path counts as lost")
	}
}

// TestHostWithoutHelpFailsAtOnce guards against requests that wait for a connection that no
// host can open, and against a failure that counts against the endpoint.
func TestHostWithoutHelpFailsAtOnce(t *testing.T) {
	first, second := newHelper(t, 10), newHelper(t, 10)
	h := newHost(t, first, second)
	endpoints := []string{listen(t, echo), listen(t, echo)}
	h.setDirect(refuse)
	for _, endpoint := range endpoints {
		if _, _, err := h.open(t, endpoint); err != nil {
			t.Fatal(err)
		}
	}
	first.check.Store(CutOff)
	second.check.Store(CutOff)
	for range 3 {
		_, took, err := h.open(t, endpoints[0])
		if !errors.Is(err, upstream.ErrNoPath) || took > 100*time.Millisecond {
			t.Errorf("%v after %v", err, took)
		}
	}
	second.check.Store(Opened)
	time.Sleep(1100 * time.Millisecond)
	if via, _, err := h.open(t, endpoints[0]); err != nil || via != "c" {
		t.Errorf("via %q, %v although the second host has its paths back", via, err)
	}
}

// TestHostThatIsCutOffUnawaresDoesNotDecide guards against a host that is asked, is cut off
// itself and has not found it yet: its failure would count for the endpoint.
func TestHostThatIsCutOffUnawaresDoesNotDecide(t *testing.T) {
	for range 20 {
		cut, sound := newHelper(t, 10), newHelper(t, 10)
		cut.reaches.Store(false)
		cut.sound.Store(false)
		h := newHost(t, cut, sound)
		h.setDirect(refuse)
		if via, _, err := h.open(t, listen(t, echo)); err != nil || via != "c" {
			t.Fatalf("via %q, %v", via, err)
		}
	}
}

// TestEndpointIsDownOnlyIfAllAgree guards against an endpoint that counts as down because of
// a host that may be cut off, while the one that could tell is not heard.
func TestEndpointIsDownOnlyIfAllAgree(t *testing.T) {
	for _, second := range []Outcome{Opened, Stopping} {
		cut, other := newHelper(t, 10), newHelper(t, 10)
		for _, h := range []*helper{cut, other} {
			h.reaches.Store(false)
			h.sound.Store(false)
		}
		h := newHost(t, cut, other)
		other.check.Store(second)
		endpoint := listen(t, echo)
		for _, lost := range []string{endpoint, "192.0.2.1:1"} {
			h.watch.PeerReached(lost, pathwatch.NotOpened, time.Now(), time.Now())
		}
		_, _, err := h.open(t, endpoint)
		if refused := errors.Is(err, syscall.ECONNREFUSED); refused != (second == Opened) || refused == errors.Is(err, upstream.ErrNoPath) {
			t.Errorf("%v when the other host answers %s", err, second)
		}
	}
}

// TestSilentConnectionsGoThroughAnotherHost guards against a cut in which connections open
// and carry nothing.
func TestSilentConnectionsGoThroughAnotherHost(t *testing.T) {
	h := newHost(t, newHelper(t, 10))
	endpoints := []string{listen(t, echo), listen(t, echo)}
	mute := listen(t, func(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) })
	h.setDirect(func(ctx context.Context, _ string) (net.Conn, error) { return directTCP(ctx, mute) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.Run(ctx)
	for _, endpoint := range endpoints {
		h.watch.Sent(endpoint, time.Now())
	}
	eventually(t, "the host counts as cut off", h.watch.CutOff)
	if via, _, err := h.open(t, endpoints[0]); err != nil || via != "b" {
		t.Errorf("via %q, %v", via, err)
	}
	h.setDirect(directTCP)
	eventually(t, "the paths are sound again", func() bool { return !h.watch.CutOff() && h.watch.LostPaths() == 0 })
}

// TestSlowHostAsksForFewAtATime guards against a host without processor time, whose
// connections all open slowly, that opens a second one for each.
func TestSlowHostAsksForFewAtATime(t *testing.T) {
	helper := newHelper(t, 1000)
	var now, most atomic.Int64
	helper.hold = func() {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(hedgeDelay)
		now.Add(-1)
	}
	h := newHost(t, helper)
	endpoint := listen(t, echo)
	h.setDirect(func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(2 * hedgeDelay)
		return directTCP(ctx, address)
	})
	var wg sync.WaitGroup
	for range 20 * maxDoubts {
		wg.Go(func() {
			if _, _, err := h.open(t, endpoint); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := most.Load(); n == 0 || n > maxDoubts {
		t.Errorf("the other host was asked for %d connections at the same time", n)
	}
}
