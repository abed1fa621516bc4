package gate

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// heldListener holds the goroutines that have read a request while hold is set. The
// server reads the first byte of a request by itself, so that it sends to held more than
// once.
type heldListener struct {
	*net.TCPListener
	hold, held, release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: conn.(*net.TCPConn), l: l}, nil
}

type heldConn struct {
	*net.TCPConn
	l *heldListener
}

func (c *heldConn) NetConn() net.Conn { return c.TCPConn }

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	select {
	case <-c.l.hold:
		if n > 0 {
			c.l.held <- struct{}{}
			<-c.l.release
		}
	default:
	}
	return n, err
}

// Guards against a stop that closes a connection whose next request has been read,
// which then ends without an answer or a refusal.
func TestRequestReadDuringStopIsAnswered(t *testing.T) {
	tg := New(newTestGate(t, DefaultLimits).Options)
	l := &heldListener{TCPListener: listen(t).(*net.TCPListener), hold: make(chan struct{}), held: make(chan struct{}, 8), release: make(chan struct{})}
	server := tg.Server()
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(tg.Listener(l, nil)) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	request := func() {
		if _, err := conn.Write([]byte("GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	answer := func() {
		t.Helper()
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		if resp.ContentLength <= 0 {
			t.Errorf("an answer without a body: %+v", resp)
		}
		_, _ = reader.Discard(int(resp.ContentLength))
	}
	request()
	answer()
	close(l.hold)
	request()
	<-l.held
	tg.BeginDrain()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		tg.CloseConnections(l)
		_ = server.Shutdown()
	}()
	time.Sleep(300 * time.Millisecond)
	close(l.release)
	answer()
	<-stopped
	<-served
}
