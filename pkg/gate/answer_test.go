package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/standin/badhead"
)

// postBroken sends a request whose answer must be cut, so that its framing shows that it
// is incomplete, and returns what arrived of the body.
func (tg *testGate) postBroken(t *testing.T, path, key, body string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+tg.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	received, err := io.ReadAll(resp.Body)
	if err == nil {
		t.Errorf("the broken answer is framed as whole: %s", received)
	}
	return string(received)
}

// startService starts a service that runs serve on its first connection and then closes
// it, and returns its address.
func startService(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		serve(c)
	}()
	return l.Addr().String()
}

// TestServiceAnswerThatBreaksOffIsNoAnswer guards against a service's answer that breaks
// off within its head or body, or is reset, and is taken as whole. One that ends with its
// connection is whole.
func TestServiceAnswerThatBreaksOffIsNoAnswer(t *testing.T) {
	call := func(text string, reset bool) (ServiceAnswer, error) {
		address := startService(t, func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
			if reset {
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		return NewServiceClient(nil).Call(t.Context(), address, &ServiceRequest{Method: "GET", URI: "/"})
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		for cut := range len(text) {
			if answer, err := call(text[:cut], false); err == nil {
				t.Errorf("%q was taken as %d %q", text[:cut], answer.Status, answer.Body)
			}
		}
	}
	// Nothing but its last event shows that a stream is whole.
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for body, whole := range map[string]bool{"id: 1\ndata: a\n\n": true, "id: 1\r\ndata: a\r\n\r\n": true, "id: 1\ndata: a\n\nid: 2\nda": false, "id: 1\ndata: a\n": false} {
		if answer, err := call(stream+body, false); (err == nil) != whole {
			t.Errorf("stream %q: got %q, %v", body, answer.Body, err)
		}
	}
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		for cut := range len(head) {
			if answer, err := call(head[:cut], false); err == nil {
				t.Errorf("%q was taken as %d %q", head[:cut], answer.Status, answer.Body)
			}
		}
		if answer, err := call(head+"hello", false); err != nil || string(answer.Body) != "hello" {
			t.Errorf("%q: got %q, %v", head, answer.Body, err)
		}
		if answer, err := call(head+"hello", true); err == nil {
			t.Errorf("%q: a reset was taken as the end of %q", head, answer.Body)
		}
	}
}

// TestGivenUpCallIsReset guards against a call that reaches its service after its caller
// was told that it failed. A service that does not read stands in for a network that
// delivers nothing.
func TestGivenUpCallIsReset(t *testing.T) {
	for name, giveUp := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 100*time.Millisecond)
		},
		"caller gone": func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(100*time.Millisecond, cancel)
			return ctx, cancel
		},
	} {
		t.Run(name, func(t *testing.T) {
			proceed, read := make(chan struct{}), make(chan error, 1)
			address := startService(t, func(c net.Conn) {
				<-proceed
				_, err := io.Copy(io.Discard, c)
				read <- err
			})
			ctx, cancel := giveUp(t.Context())
			defer cancel()
			if _, err := NewServiceClient(nil).Call(ctx, address, &ServiceRequest{Method: "POST", URI: "/", Body: make([]byte, 64<<10)}); err == nil {
				t.Error("the call was answered")
			}
			close(proceed)
			if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the service read to the end with %v, want a reset", err)
			}
		})
	}
}

// TestStatus000IsNoAnswer guards against an answer of a service with a status below 100
// that reaches the caller: 000 as 200, another one as it is.
func TestStatus000IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "007"} {
		address := startService(t, func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Unknown\r\nContent-Length: 5\r\n\r\nhello")
		})
		if answer, err := NewServiceClient(nil).Call(t.Context(), address, &ServiceRequest{Method: "GET", URI: "/"}); err == nil {
			t.Errorf("%s was taken as %d %q", status, answer.Status, answer.Body)
		}
	}
}

// TestInvalidHeadIsNoAnswer guards against an answer of a service that reaches the caller,
// or whose body is framed, by a head with an invalid field name or status.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	for name, text := range badhead.Answers("Content-Type: text/plain\r\n", "hello") {
		address := startService(t, func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, text)
		})
		if answer, err := NewServiceClient(nil).Call(t.Context(), address, &ServiceRequest{Method: "GET", URI: "/"}); err == nil {
			t.Errorf("%s: was taken as %d %q", name, answer.Status, answer.Body)
		}
	}
}
