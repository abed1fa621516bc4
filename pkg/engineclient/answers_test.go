package engineclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/standin/badhead"
)

// startEngine starts an engine that calls serve for each request, with the number of
// requests that the connection carried before. The connection is closed once serve
// returns false.
func startEngine(t *testing.T, serve func(c net.Conn, earlier int, id string) bool) string {
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
				r := bufio.NewReader(c)
				for earlier := 0; ; earlier++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(req.Body)
					_, id, _ := strings.Cut(string(body), `"request_id":"`)
					id, _, _ = strings.Cut(id, `"`)
					if !serve(c, earlier, id) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newClient(t *testing.T) *Client {
	c := New(Options{ProgressTimeout: time.Second})
	t.Cleanup(c.Close)
	return c
}

// wholeStream returns a complete stream with one token.
func wholeStream(id string) string {
	events := fmt.Sprintf("data: {\"request_id\":%q,\"index\":0,\"token\":\"t\"}\n\ndata: {\"request_id\":%q,\"done\":true}\n\n", id, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events)
}

func refusalText(body string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// readWhole runs a request to its last event and returns the number of tokens.
func readWhole(t *testing.T, c *Client, address, id string) (int, error) {
	t.Helper()
	s, err := c.Generate(t.Context(), address, enginewire.GenerateRequest{RequestID: id}, nil)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for tokens := 0; ; tokens++ {
		event, err := s.Next()
		if err != nil || event.Done {
			return tokens, err
		}
	}
}

// TestRepeatedRefusalIsNoProof guards against a refusal of an earlier request that an
// engine writes once more on a kept connection and that counts as proof that the next
// request has not run.
func TestRepeatedRefusalIsNoProof(t *testing.T) {
	for _, body := range []string{`{"code":"overloaded"}`, `{"code":"overloaded","request_id":"r-0"}`} {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, before the next request %v", body, early), func(t *testing.T) {
				address := startEngine(t, func(c net.Conn, earlier int, id string) bool {
					if earlier > 0 && !early {
						_, _ = io.WriteString(c, refusalText(body))
					}
					_, _ = io.WriteString(c, wholeStream(id))
					if early {
						time.Sleep(time.Millisecond)
						_, _ = io.WriteString(c, refusalText(body))
					}
					return true
				})
				client := newClient(t)
				for i := range 6 {
					tokens, err := readWhole(t, client, address, fmt.Sprint("r-", i+1))
					if err != nil || tokens != 1 {
						t.Errorf("request %d: %d tokens, %v", i+1, tokens, err)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
}

// TestRefusalThatNamesItsRequestCounts guards against a refusal on a reused connection
// that is not believed although it names the request, so that it is sent again.
func TestRefusalThatNamesItsRequestCounts(t *testing.T) {
	var mu sync.Mutex
	sends := 0
	address := startEngine(t, func(c net.Conn, earlier int, id string) bool {
		mu.Lock()
		defer mu.Unlock()
		sends++
		if earlier == 0 {
			_, _ = io.WriteString(c, wholeStream(id))
		} else {
			_, _ = io.WriteString(c, refusalText(fmt.Sprintf(`{"code":"overloaded","request_id":%q}`, id)))
		}
		return true
	})
	client := newClient(t)
	if _, err := readWhole(t, client, address, "r-1"); err != nil {
		t.Fatal(err)
	}
	_, err := readWhole(t, client, address, "r-2")
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Code != enginewire.CodeOverloaded {
		t.Errorf("got %v, want a refusal", err)
	}
	mu.Lock()
	defer mu.Unlock()
	if sends != 2 {
		t.Errorf("%d sends, want 2", sends)
	}
}

// TestTruncatedStreamIsBroken guards against a stream that is taken as complete, or as
// refused, although its engine stopped within the head or before the last event.
func TestTruncatedStreamIsBroken(t *testing.T) {
	whole := wholeStream("r-1")
	last := strings.Index(whole, `data: {"request_id":"r-1","done"`)
	unframed := "HTTP/1.1 200 OK\r\n\r\ndata: {\"request_id\":\"r-1\",\"index\":0,\"token\":\"t\"}\n\n"
	refusal := refusalText(`{"code":"overloaded","request_id":"r-1"}`)
	for text, ends := range map[string]int{whole: last, unframed: len(unframed), refusal: len(refusal) - 1} {
		for cut := range ends + 1 {
			address := startEngine(t, func(c net.Conn, _ int, _ string) bool {
				_, _ = io.WriteString(c, text[:cut])
				return false
			})
			_, err := readWhole(t, newClient(t), address, "r-1")
			var broken *BrokenError
			if !errors.As(err, &broken) {
				t.Errorf("%d bytes of %.20q...: got %v, want a broken stream", cut, text, err)
			}
		}
	}
}

// TestConnectionWithUnrequestedBytesIsNotReused guards against a second answer that
// follows a complete one and fails the next request on the connection.
func TestConnectionWithUnrequestedBytesIsNotReused(t *testing.T) {
	for _, late := range []bool{false, true} {
		address := startEngine(t, func(c net.Conn, _ int, id string) bool {
			text := wholeStream(id)
			if !late {
				text += wholeStream(id)
			}
			_, _ = io.WriteString(c, text)
			if late {
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(c, wholeStream(id))
			}
			return true
		})
		client := newClient(t)
		for i := range 4 {
			tokens, err := readWhole(t, client, address, fmt.Sprint("r-", i+1))
			if err != nil || tokens != 1 {
				t.Errorf("late %v, request %d: %d tokens, %v", late, i+1, tokens, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestConnectionsAreKept guards against a connection that is closed after each request,
// because it seems to have unrequested bytes, and a closed one that is used again.
func TestConnectionsAreKept(t *testing.T) {
	var mu sync.Mutex
	dials := 0
	address := startEngine(t, func(c net.Conn, earlier int, id string) bool {
		mu.Lock()
		defer mu.Unlock()
		if earlier == 0 {
			dials++
		}
		_, _ = io.WriteString(c, wholeStream(id))
		return earlier < 1
	})
	client := newClient(t)
	for i := range 4 {
		if _, err := readWhole(t, client, address, fmt.Sprint("r-", i)); err != nil {
			t.Error(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if dials != 2 {
		t.Errorf("%d connections for 4 requests, want 2", dials)
	}
}

// TestAbandonedStreamIsReset guards against a request that reaches an engine after the
// end of a partition although it was given up, because it timed out or was cancelled.
func TestAbandonedStreamIsReset(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"timed out": 50 * time.Millisecond, "cancelled": time.Minute} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			address := startEngine(t, func(c net.Conn, _ int, _ string) bool {
				_, err := c.Read(make([]byte, 1))
				ended <- err
				return false
			})
			c := New(Options{ProgressTimeout: timeout})
			t.Cleanup(c.Close)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if timeout == time.Minute {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			if _, err := c.Generate(ctx, address, enginewire.GenerateRequest{RequestID: "r"}, nil); err == nil {
				t.Fatal("a request without an answer returned no error")
			}
			if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the connection ended with %v, want a reset", err)
			}
		})
	}
}

// lastEvent is the last event of the stream r-1.
const lastEvent = "data: {\"request_id\":\"r-1\",\"done\":true}\n\n"

// generateOnce opens the stream r-1 at an engine that answers with the status line and
// lastEvent, and returns the first error.
func generateOnce(t *testing.T, statusLine string) error {
	t.Helper()
	return generateFrom(t, fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", statusLine, len(lastEvent), lastEvent))
}

// generateFrom opens the stream r-1 at an engine that sends the bytes of answer, and returns
// the first error.
func generateFrom(t *testing.T, answer string) error {
	t.Helper()
	address := startEngine(t, func(c net.Conn, _ int, _ string) bool {
		_, _ = io.WriteString(c, answer)
		return false
	})
	s, err := newClient(t).Generate(t.Context(), address, enginewire.GenerateRequest{RequestID: "r-1"}, nil)
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.Next()
	return err
}

// TestStatus000IsNoStream guards against a stream with the status 000, which fasthttp takes
// for 200, or another one below 100.
func TestStatus000IsNoStream(t *testing.T) {
	if err := generateOnce(t, "HTTP/1.1 200 OK"); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"HTTP/1.1 000 Unknown", "HTTP/1.1 099 Unknown"} {
		var broken *BrokenError
		if err := generateOnce(t, line); !errors.As(err, &broken) {
			t.Errorf("%s: got %v, want a broken answer", line, err)
		}
	}
}

// TestAnswerWithoutBodyEndsNoProcess guards against a status without a body, for which the
// client had no reader: it panicked.
func TestAnswerWithoutBodyEndsNoProcess(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified"} {
		if err := generateOnce(t, line); err == nil {
			t.Errorf("%s: was taken for a stream", line)
		}
	}
}

// TestOddSuccessProvesNothing guards against a status below 400 that counts as the engine's
// statement that it has not run the request.
func TestOddSuccessProvesNothing(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 202 Accepted", "HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified"} {
		var refused *RefusedError
		if err := generateOnce(t, line); errors.As(err, &refused) {
			t.Errorf("%s: got %v, which says that it did not run", line, err)
		}
	}
}

// TestInvalidHeadIsNoStream guards against a stream whose head has an invalid field name or
// status.
func TestInvalidHeadIsNoStream(t *testing.T) {
	for name, text := range badhead.Answers("", lastEvent) {
		var broken *BrokenError
		if err := generateFrom(t, text); !errors.As(err, &broken) {
			t.Errorf("%s: got %v, want a broken answer", name, err)
		}
	}
}
