package callerconn

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// newLimitedServer returns a server that has at most max connections.
func newLimitedServer(t *testing.T, max int, reduceMemory bool) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, handler: newGate(), tracker: NewTracker(longTimeouts),
		listener: &gatedListener{TCPListener: l.(*net.TCPListener), accept: newGate(), beforeRead: newGate(), afterRead: newGate()}}
	s.tracker.Limit(max, nil)
	server := &fasthttp.Server{ConnState: s.tracker.OnStateChange, ReduceMemoryUsage: reduceMemory, Handler: func(ctx *fasthttp.RequestCtx) {
		if strings.HasPrefix(string(ctx.Path()), "/busy") {
			s.handler.pass()
		}
		ctx.SetBodyString("answer to " + string(ctx.Path()))
	}}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(s.tracker.Listener(s.listener))
	}()
	t.Cleanup(func() {
		for _, g := range []*gate{s.listener.beforeRead, s.listener.afterRead, s.handler} {
			g.open()
		}
		s.close()
		<-served
	})
	return s
}

func (c *caller) write(text string) {
	c.t.Helper()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

// awaitListed waits until the lists of idle connections and of those with an incomplete
// head have these lengths.
func (s *testServer) awaitListed(idle, reading int) {
	s.t.Helper()
	l := &s.tracker.limit
	for deadline := time.Now().Add(answerTimeout); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		gotIdle, gotReading := l.idle.Len(), l.reading.Len()
		l.mu.Unlock()
		if gotIdle == idle && gotReading == reading {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%d idle and %d reading connections, want %d and %d", gotIdle, gotReading, idle, reading)
		}
	}
}

func (s *testServer) wantCounts(idle, reading, refused int64) {
	s.t.Helper()
	gotIdle, gotReading := s.tracker.ClosedForRoom()
	if gotIdle.Value() != idle || gotReading.Value() != reading || s.tracker.Refused().Value() != refused {
		s.t.Errorf("closed %d idle and %d reading, refused %d, want %d, %d, %d", gotIdle.Value(), gotReading.Value(), s.tracker.Refused().Value(), idle, reading, refused)
	}
}

// TestLongestIdleIsClosedFirst guards against a connection in recent use that is closed
// while another one has been idle for longer.
func TestLongestIdleIsClosedFirst(t *testing.T) {
	s := newLimitedServer(t, 3, true)
	var callers []*caller
	for i := range 3 {
		callers = append(callers, s.keptCallers(1)...)
		// The answer is read before the server waits for the next request.
		s.awaitListed(i+1, 0)
	}
	callers[0].send("/again")
	callers[0].wantAnswer("/again")
	s.awaitListed(3, 0)
	newCaller := s.dial()
	newCaller.send("/new")
	newCaller.wantAnswer("/new")
	callers[1].wantEnd()
	for _, c := range []*caller{callers[2], callers[0]} {
		c.send("/later")
		c.wantAnswer("/later")
	}
	s.wantCounts(1, 0, 0)
	if n := s.tracker.Open(); n != 3 {
		t.Errorf("%d connections are open, want 3", n)
	}
}

// TestOrderOfClosing guards against a request that is cut off while a connection
// without one is open, against heads that hold connections by sending a byte now and then,
// and against a new caller that waits when nothing can be closed.
func TestOrderOfClosing(t *testing.T) {
	s := newLimitedServer(t, 5, true)
	s.handler.close()
	var slow []*caller
	for i := range 2 {
		c := s.dial()
		c.write("GET /slow HTTP/1.1\r\nHost: h\r\n")
		slow = append(slow, c)
		s.awaitListed(0, i+1)
	}
	idle := s.dial()
	s.awaitListed(1, 2)
	slow[0].write("Note: n\r\n")
	body := s.dial()
	body.write("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345")
	busy := s.dial()
	busy.send("/busy")
	s.handler.awaitHeld(t, 1)
	s.awaitListed(1, 2)

	for i, closed := range []*caller{idle, slow[0], slow[1]} {
		c := s.dial()
		c.send("/busy")
		s.handler.awaitHeld(t, 1)
		closed.wantEnd()
		s.wantCounts(1, int64(i), 0)
	}
	refused := s.dial()
	refused.wantEnd()
	s.wantCounts(1, 2, 1)
	body.write("67890")
	body.wantAnswer("/body")
	s.handler.open()
	busy.wantAnswer("/busy")
}

// TestEvictedRequestIsNotExecuted guards against a request that is executed although its
// connection was closed as idle, because the server had read it before.
func TestEvictedRequestIsNotExecuted(t *testing.T) {
	// This server reads the whole request at once.
	s := newLimitedServer(t, 1, false)
	s.handler.close()
	s.listener.afterRead.close()
	c := s.dial()
	c.send("/busy")
	s.listener.afterRead.awaitHeld(t, 1)
	if !s.tracker.CloseOne() {
		t.Fatal("no connection was closed")
	}
	s.listener.afterRead.open()
	c.wantEnd()
	select {
	case <-s.handler.held:
		t.Error("the request of the closed connection was executed")
	case <-time.After(100 * time.Millisecond):
	}
	if n := s.tracker.Open(); n != 0 {
		t.Errorf("%d connections are open, want none", n)
	}
}

// TestUnreadRequestIsKept guards against a reset of a connection whose request has
// arrived and is not read yet.
func TestUnreadRequestIsKept(t *testing.T) {
	s := newLimitedServer(t, 1, true)
	s.listener.beforeRead.close()
	c := s.dial()
	c.send("/next")
	s.listener.beforeRead.awaitHeld(t, 1)
	s.awaitListed(1, 0)
	s.dial().wantEnd()
	s.wantCounts(0, 0, 1)
	s.listener.beforeRead.open()
	c.wantAnswer("/next")
}

// TestHeadScanner guards against a request that counts as incomplete after its head.
func TestHeadScanner(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "GET / HTTP/1.1\r\n": false, "GET / HTTP/1.1\r\nHost: h\r\n\r": false, "\r\n\r\n": false,
		"GET / HTTP/1.1\r\n\r\n": true, "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n": true, "GET / HTTP/1.1\n\n": true, "GET / HTTP/1.1\r\n\r\nbody": true,
	} {
		var whole, bytewise headScanner
		whole.scan([]byte(text))
		for i := range len(text) {
			bytewise.scan([]byte{text[i]})
		}
		if whole.complete != want || bytewise.complete != want {
			t.Errorf("%q: complete %v, byte by byte %v, want %v", text, whole.complete, bytewise.complete, want)
		}
	}
}
