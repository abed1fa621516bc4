package callerconn

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// answerTimeout bounds the wait for an answer or for the end of a connection.
const answerTimeout = 5 * time.Second

// gate holds the goroutines that pass it while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{} // guarded by mu; nil if open
	held chan struct{}
}

func newGate() *gate { return &gate{held: make(chan struct{}, 1000)} }

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		g.held <- struct{}{}
		<-shut
	}
}

// awaitHeld waits until n goroutines have been held since the last call.
func (g *gate) awaitHeld(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		select {
		case <-g.held:
		case <-time.After(answerTimeout):
			t.Fatalf("%d of %d goroutines are held", i, n)
		}
	}
}

// gatedListener holds accepts and the goroutines that are about to read from a
// connection or have read from it.
type gatedListener struct {
	*net.TCPListener
	accept, beforeRead, afterRead *gate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	l.accept.pass()
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: conn.(*net.TCPConn), l: l}, nil
}

type gatedConn struct {
	*net.TCPConn
	l *gatedListener
}

func (c *gatedConn) NetConn() net.Conn { return c.TCPConn }

func (c *gatedConn) Read(p []byte) (int, error) {
	c.l.beforeRead.pass()
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.l.afterRead.pass()
	}
	return n, err
}

// testServer is a server that closes its connections with a tracker.
type testServer struct {
	t        *testing.T
	listener *gatedListener
	handler  *gate
	tracker  *Tracker
}

func newTestServer(t *testing.T, timeouts func() Timeouts) *testServer {
	t.Helper()
	return startTestServer(t, timeouts, false)
}

// forEachServer runs a test with a server that keeps the buffers of idle connections,
// and with one that reads their first byte without a buffer.
func forEachServer(t *testing.T, test func(t *testing.T, s *testServer)) {
	t.Helper()
	for _, reduceMemory := range []bool{false, true} {
		t.Run(fmt.Sprintf("reduced memory %t", reduceMemory), func(t *testing.T) {
			test(t, startTestServer(t, longTimeouts, reduceMemory))
		})
	}
}

func startTestServer(t *testing.T, timeouts func() Timeouts, reduceMemory bool) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, handler: newGate(), tracker: NewTracker(timeouts),
		listener: &gatedListener{TCPListener: l.(*net.TCPListener), accept: newGate(), beforeRead: newGate(), afterRead: newGate()}}
	server := &fasthttp.Server{ConnState: s.tracker.OnStateChange, ReduceMemoryUsage: reduceMemory, Handler: func(ctx *fasthttp.RequestCtx) {
		s.handler.pass()
		ctx.SetBodyString("answer to " + string(ctx.Path()))
	}}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(s.tracker.Listener(s.listener))
	}()
	t.Cleanup(func() {
		for _, g := range []*gate{s.listener.accept, s.listener.beforeRead, s.listener.afterRead, s.handler} {
			g.open()
		}
		s.close()
		<-served
	})
	return s
}

func (s *testServer) close() { s.tracker.Close(s.listener) }

func longTimeouts() Timeouts { return Timeouts{Idle: time.Minute, Read: time.Minute} }

type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *caller {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetReadDeadline(time.Now().Add(4 * answerTimeout)); err != nil {
		s.t.Fatal(err)
	}
	return &caller{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(paths ...string) {
	c.t.Helper()
	text := ""
	for _, path := range paths {
		text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

// wantAnswer reports an error if the next bytes are not the answer to path.
func (c *caller) wantAnswer(path string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Errorf("no answer to %s: %v", path, err)
		return
	}
	body := make([]byte, 100)
	n, _ := resp.Body.Read(body)
	if got := string(body[:n]); got != "answer to "+path {
		c.t.Errorf("got %q as the answer to %s", got, path)
	}
}

// wantEnd reports an error if the connection does not end without further bytes.
func (c *caller) wantEnd() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		c.t.Errorf("got byte %q, want the end of the connection", b)
	} else if isTimeout(err) {
		c.t.Error("the connection is still open")
	}
}

// awaitIdle waits until all connections wait for a request after the first. The server
// reports that after it has written the answer.
func (s *testServer) awaitIdle() {
	s.t.Helper()
	idle := func() bool {
		s.tracker.mu.Lock()
		defer s.tracker.mu.Unlock()
		for c := range s.tracker.conns {
			c.mu.Lock()
			waits := c.waiting && c.kept
			c.mu.Unlock()
			if !waits {
				return false
			}
		}
		return true
	}
	for deadline := time.Now().Add(answerTimeout); !idle(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatal("a connection is not idle")
		}
	}
}

// keptCallers returns callers that have had an answer on their connection.
func (s *testServer) keptCallers(n int) []*caller {
	s.t.Helper()
	callers := make([]*caller, n)
	for i := range callers {
		callers[i] = s.dial()
		callers[i].send("/first")
		callers[i].wantAnswer("/first")
	}
	return callers
}

// TestRequestReadDuringCloseIsAnswered guards against a connection that is closed as
// idle after its next request has been read, which then gets no answer.
func TestRequestReadDuringCloseIsAnswered(t *testing.T) {
	forEachServer(t, func(t *testing.T, s *testServer) {
		callers := append(s.keptCallers(20), s.dial())
		s.listener.afterRead.close()
		for _, c := range callers {
			c.send("/next")
		}
		s.listener.afterRead.awaitHeld(t, len(callers))
		time.Sleep(2 * nextRequestTime)
		s.close()
		s.listener.afterRead.open()
		for _, c := range callers {
			c.wantAnswer("/next")
		}
		if n := s.tracker.ReadInClose.Value(); n != int64(len(callers)) {
			t.Errorf("%d requests counted as read after the close began, want %d", n, len(callers))
		}
	})
}

// TestRequestUnreadAtCloseIsAnswered guards against a reset of connections whose next
// request has arrived and is not read yet.
func TestRequestUnreadAtCloseIsAnswered(t *testing.T) {
	forEachServer(t, func(t *testing.T, s *testServer) {
		s.listener.beforeRead.close()
		callers := make([]*caller, 20)
		for i := range callers {
			callers[i] = s.dial()
			callers[i].send("/next")
		}
		s.listener.beforeRead.awaitHeld(t, len(callers))
		time.Sleep(2 * nextRequestTime)
		s.close()
		s.listener.beforeRead.open()
		for _, c := range callers {
			c.wantAnswer("/next")
		}
	})
}

// TestPipelinedRequestDuringCloseIsAnswered guards against a close that drops a
// request which was read together with the one before it, and the answer to that one.
func TestPipelinedRequestDuringCloseIsAnswered(t *testing.T) {
	forEachServer(t, func(t *testing.T, s *testServer) {
		s.handler.close()
		c := s.dial()
		c.send("/first", "/second")
		s.handler.awaitHeld(t, 1)
		s.close()
		s.handler.open()
		c.wantAnswer("/first")
		c.wantAnswer("/second")
		c.wantEnd()
	})
}

// TestAcceptBacklogIsServedAtClose guards against a reset of connections that wait to
// be accepted when the listener closes.
func TestAcceptBacklogIsServedAtClose(t *testing.T) {
	s := newTestServer(t, longTimeouts)
	s.listener.accept.close()
	// The accept that was running when the gate was closed takes this one.
	first := s.dial()
	s.listener.accept.awaitHeld(t, 1)
	var callers []*caller
	for range 20 {
		c := s.dial()
		c.send("/new")
		callers = append(callers, c)
	}
	s.close()
	s.listener.accept.open()
	for _, c := range callers {
		c.wantAnswer("/new")
	}
	first.wantEnd()
}

// TestStopWaitsForAcceptBacklog guards against a process that ends while connections
// wait to be accepted, because none is open.
func TestStopWaitsForAcceptBacklog(t *testing.T) {
	s := newTestServer(t, longTimeouts)
	s.listener.accept.close()
	first := s.dial()
	s.listener.accept.awaitHeld(t, 1)
	_ = first.conn.Close()
	for s.tracker.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	c := s.dial()
	c.send("/new")
	s.close()
	if s.tracker.Done() {
		t.Error("the tracker is done while a connection waits to be accepted")
	}
	s.listener.accept.open()
	c.wantAnswer("/new")
	c.wantEnd()
	for deadline := time.Now().Add(answerTimeout); !s.tracker.Done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the tracker is not done after its last connection")
		}
	}
}

// TestCloseEndsIdleConnections guards against a close that leaves idle connections
// open, and against bytes without a request on them.
func TestCloseEndsIdleConnections(t *testing.T) {
	forEachServer(t, func(t *testing.T, s *testServer) {
		callers := append(s.keptCallers(5), s.dial())
		s.handler.close()
		busy := s.dial()
		busy.send("/busy")
		s.handler.awaitHeld(t, 1)
		s.close()
		for _, c := range callers {
			c.wantEnd()
		}
		if n := s.tracker.ClosedIdle.Value(); n != int64(len(callers)) {
			t.Errorf("%d connections counted as closed idle, want %d", n, len(callers))
		}
		if n := s.tracker.Open(); n != 1 {
			t.Errorf("%d connections are open, want that of the running request", n)
		}
		s.handler.open()
		busy.wantAnswer("/busy")
		busy.wantEnd()
		if _, err := net.Dial("tcp", s.listener.Addr().String()); err == nil {
			t.Error("the listener is still open")
		}
	})
}

// TestIdleTimeoutChangesWhileIdle guards against a connection that is closed after an
// idle timeout which the configuration has changed since the connection became idle.
func TestIdleTimeoutChangesWhileIdle(t *testing.T) {
	var idle atomic.Int64
	for name, times := range map[string][2]time.Duration{"longer": {400 * time.Millisecond, time.Minute}, "shorter": {time.Minute, 400 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			idle.Store(int64(times[0]))
			s := newTestServer(t, func() Timeouts { return Timeouts{Idle: time.Duration(idle.Load()), Read: time.Minute} })
			c := s.keptCallers(1)[0]
			s.awaitIdle()
			idle.Store(int64(times[1]))
			time.Sleep(800 * time.Millisecond)
			c.send("/next")
			c.wantAnswer("/next")
			if times[1] < time.Minute {
				c.wantEnd()
			}
		})
	}
}
