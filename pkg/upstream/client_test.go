package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
)

// startPeer starts a server that runs serve on each connection, and returns its
// address.
func startPeer(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request without a body. It returns false at the end of the
// connection.
func readRequest(r *bufio.Reader) bool {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			return true
		}
	}
}

// respondOnce returns a serve function that answers one request with text.
func respondOnce(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = io.WriteString(c, text)
		}
	}
}

func newClient(t *testing.T) *Client {
	c := New(Options{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdle: 4})
	t.Cleanup(c.Close)
	return c
}

var getRequest = &Request{Method: "GET", Target: "/", Host: "h"}

// TestFraming guards against an answer that is taken as complete although it
// ended early, for each kind of framing.
func TestFraming(t *testing.T) {
	cases := map[string]struct {
		answer, body string
		broken       bool
	}{
		"length":               {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", false},
		"length, cut":          {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", "", true},
		"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", false},
		"chunks, cut":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", "", true},
		"chunks, no last one":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "", true},
		"chunks, no end":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "", true},
		"until the close":      {"HTTP/1.1 200 OK\r\n\r\nhello", "hello", false},
		"after an interim one": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false},
		"nothing in it":        {"HTTP/1.1 204 No Content\r\n\r\n", "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, body, err := newClient(t).Fetch(t.Context(), startPeer(t, respondOnce(c.answer)), getRequest, 1000)
			if (err != nil) != c.broken || string(body) != c.body {
				t.Errorf("got %q, %v", body, err)
			}
			if c.broken && !errors.Is(err, ErrIncomplete) {
				t.Errorf("error %v is not ErrIncomplete", err)
			}
		})
	}
}

// TestNoBytesAreNoAnswer guards against an empty or malformed head that is taken
// as an answer.
func TestNoBytesAreNoAnswer(t *testing.T) {
	for _, text := range []string{"", "garbage\r\n\r\n", "\x00\x01\x02"} {
		if _, _, err := newClient(t).Fetch(t.Context(), startPeer(t, respondOnce(text)), getRequest, 1000); err == nil {
			t.Errorf("%q was taken as an answer", text)
		}
	}
}

// TestExtraAnswerIsNotUsed guards against unrequested bytes: a second answer that
// follows the first must not be taken as the answer to the next request.
func TestExtraAnswerIsNotUsed(t *testing.T) {
	address := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		}
	})
	client := newClient(t)
	for range 3 {
		_, body, err := client.Fetch(t.Context(), address, getRequest, 1000)
		if err != nil || string(body) != "own" {
			t.Fatalf("got %q, %v", body, err)
		}
		time.Sleep(60 * time.Millisecond)
	}
}

// TestConnectionsAreKept guards against a new connection for each request, and
// against the reuse of one that the peer has closed.
func TestConnectionsAreKept(t *testing.T) {
	address := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for range 2 {
			if !readRequest(r) {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	client := newClient(t)
	for range 4 {
		if _, _, err := client.Fetch(t.Context(), address, getRequest, 1000); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := client.Dials(); n != 2 {
		t.Errorf("%d connections for 4 requests, want 2 with two requests each", n)
	}
}

// TestAnnouncedIdleTime guards against the reuse of a connection after the idle
// time that the peer announced in its Keep-Alive field.
func TestAnnouncedIdleTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5, max=100": 5*time.Second - keepAliveMargin, "max=3": 0, "": 0, "timeout=0": time.Millisecond,
	} {
		if got := announcedIdle(value); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

// TestUnreachedPeer guards against an error that leaves open whether the request
// was sent, although no connection was opened.
func TestUnreachedPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = newClient(t).Do(t.Context(), address, getRequest)
	var unsent *jsonhttp.NotSentError
	if !errors.As(err, &unsent) {
		t.Errorf("error %v", err)
	}
}

// TestSilentPeer guards against a request that waits without limit for a peer that
// does not answer, and against an error that says that it was not sent.
func TestSilentPeer(t *testing.T) {
	address := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		for readRequest(r) {
		}
	})
	_, err := newClient(t).Do(t.Context(), address, &Request{Method: "GET", Target: "/", HeadTimeout: 50 * time.Millisecond})
	var unsent *jsonhttp.NotSentError
	if !errors.Is(err, ErrAnswerTimeout) || errors.As(err, &unsent) {
		t.Errorf("error %v", err)
	}
}

// TestPauseLosesNoBytes guards against an answer that is lost or garbled because its
// peer paused inside the head or the frame of a chunk while it was waited for.
func TestPauseLosesNoBytes(t *testing.T) {
	const pause = 60 * time.Millisecond
	parts := []string{"HTTP/1.1 20", "0 OK\r\nTransfer-Enc", "oding: chunked\r\n\r\n", "0", "5\r", "\nhel", "lo\r\n0", "\r\n\r\n"}
	address := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		if !readRequest(r) {
			return
		}
		for _, part := range parts {
			time.Sleep(pause)
			_, _ = io.WriteString(c, part)
		}
	})
	asked := 0
	wait := func() time.Duration { asked++; return pause / 3 }
	req := *getRequest
	req.HeadTimeout, req.OnSilence = pause/3, wait
	answer, err := newClient(t).Do(t.Context(), address, &req)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	inHead := asked
	if err := answer.SetReadDeadline(time.Now().Add(pause/3), wait); err != nil {
		t.Fatal(err)
	}
	body, err := answer.ReadAll(1000)
	if err != nil || string(body) != "hello" || inHead == 0 || asked == inHead {
		t.Errorf("got %q, %v; asked %d times in the head and %d times in the body", body, err, inHead, asked-inHead)
	}
}

// TestCancelClosesTheConnection guards against work that goes on at a peer after
// the request was cancelled.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		for readRequest(r) {
		}
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := newClient(t).Do(ctx, address, getRequest); err == nil {
		t.Error("the cancelled request returned no error")
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open 2 s after the cancellation")
	}
}

// TestHopByHopFields guards against passing on fields that concern one connection
// only.
func TestHopByHopFields(t *testing.T) {
	in := Fields{{"Connection", "close, X-Private"}, {"X-Private", "1"}, {"Transfer-Encoding", "chunked"}, {"Content-Length", "3"}, {"X-Kept", "2"}}
	out := in.EndToEnd()
	if len(out) != 1 || out.Get("x-kept") != "2" {
		t.Errorf("passed on %v", out)
	}
	request := string((&Request{Method: "POST", Target: "/a?b", Host: "h", Fields: out, Body: []byte("abc")}).encode())
	if want := "POST /a?b HTTP/1.1\r\nHost: h\r\nX-Kept: 2\r\nContent-Length: 3\r\n\r\nabc"; request != want {
		t.Errorf("request %q", strings.ReplaceAll(request, "\r\n", "|"))
	}
}

// FuzzAnswer guards against answers that crash the process.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := net.Pipe()
		go func() {
			_, _ = a.Write(data)
			_ = a.Close()
		}()
		defer func() { _ = b.Close() }()
		cn := &conn{Conn: b, r: bufio.NewReader(b)}
		answer, err := readHead(cn, "GET")
		if err != nil {
			return
		}
		_, _ = answer.ReadAll(1 << 16)
	})
}

// otherClockContext has a deadline on another clock than the system's.
type otherClockContext struct {
	context.Context
	deadline time.Time
}

func (c otherClockContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestDeadlineOfAnotherClock guards against calls that fail at once after a step of
// the system clock: the deadline of a call under a steady clock then seems past.
func TestDeadlineOfAnotherClock(t *testing.T) {
	address := startPeer(t, respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	ctx := otherClockContext{context.Background(), time.Now().Round(0).Add(-4 * time.Second)}
	_, body, err := newClient(t).Fetch(ctx, address, getRequest, 100)
	if err != nil || string(body) != "ok" {
		t.Fatalf("got %q, %v", body, err)
	}
}

// TestAbandonedBytesAreDropped guards against a request that reaches its peer after
// its sender has given it up, such as when a network partition ends. A peer that
// reads nothing stands for the partition.
func TestAbandonedBytesAreDropped(t *testing.T) {
	read := make(chan error, 1)
	accepted, release := make(chan struct{}), make(chan struct{})
	address := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		close(accepted)
		<-release
		_, err := io.Copy(io.Discard, r)
		read <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// Given up only once the connection exists, and its buffers are full.
		<-accepted
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	request := &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 32<<20)}
	if _, err := newClient(t).Do(ctx, address, request); err == nil {
		t.Fatal("a request that was not read is answered")
	}
	close(release)
	select {
	case err := <-read:
		if err == nil {
			t.Error("the peer reads the rest of an abandoned request")
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open")
	}
}

// TestSilentPeerIsReset guards against a request that a partition has held up and that
// its peer gets after the partition, although its sender has given it up: a connection
// that is closed without a reset still delivers what it has sent.
func TestSilentPeerIsReset(t *testing.T) {
	ended := make(chan error, 1)
	address := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, err := r.ReadByte()
			ended <- err
		}
	})
	if _, err := newClient(t).Do(t.Context(), address, &Request{Method: "GET", Target: "/", HeadTimeout: 50 * time.Millisecond}); !errors.Is(err, ErrAnswerTimeout) {
		t.Fatalf("error %v", err)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}
