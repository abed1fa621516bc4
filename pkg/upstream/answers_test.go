package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/standin/badhead"
)

// TestTruncatedHeadIsNoAnswer guards against an answer whose peer closes the connection
// within its head and that is taken as complete, with an empty or short body.
func TestTruncatedHeadIsNoAnswer(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nID: 1\r\nStamp: s\r\nContent-Type: text/plain\r\nContent-Length: 120\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nID: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nID: 1\r\n\r\n",
		"HTTP/1.0 200 OK\r\nID: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nID: 1\r\n\r\n",
	}
	for _, head := range heads {
		for cut := range len(head) {
			answer, body, err := newClient(t).Fetch(t.Context(), startPeer(t, respondOnce(head[:cut])), getRequest, 1000)
			if err == nil {
				t.Errorf("%q was taken as status %d with body %q", head[:cut], answer.Status, body)
			}
		}
	}
}

// TestTruncatedHeadInPiecesIsNoAnswer guards against the same if the head arrives line
// by line.
func TestTruncatedHeadInPiecesIsNoAnswer(t *testing.T) {
	lines := []string{"HTTP/1.1 200 OK\r\n", "ID: 1\r\n", "Content-Length: 5\r\n", "\r\n"}
	for n := range lines {
		address := startPeer(t, func(c net.Conn, r *bufio.Reader) {
			if !readRequest(r) {
				return
			}
			for _, line := range lines[:n] {
				_, _ = io.WriteString(c, line)
				time.Sleep(10 * time.Millisecond)
			}
		})
		if answer, _, err := newClient(t).Fetch(t.Context(), address, getRequest, 1000); err == nil {
			t.Errorf("%d lines of a head were taken as status %d", n, answer.Status)
		}
	}
}

// TestAnswerUntilTheClose guards against an answer without length and chunks that is
// not read to the end of its connection, and against a reset that is taken as its end.
func TestAnswerUntilTheClose(t *testing.T) {
	body := strings.Repeat("a line of the body\n", 2000)
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n"} {
		for _, reset := range []bool{false, true} {
			address := startPeer(t, func(c net.Conn, r *bufio.Reader) {
				if !readRequest(r) {
					return
				}
				_, _ = io.WriteString(c, head+body)
				if reset {
					time.Sleep(20 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			client := newClient(t)
			_, got, err := client.Fetch(t.Context(), address, getRequest, 1<<20)
			if reset && !errors.Is(err, ErrIncomplete) {
				t.Errorf("%q: a reset was taken as the end after %d bytes: %v", head, len(got), err)
			}
			if !reset && (err != nil || string(got) != body) {
				t.Errorf("%q: got %d of %d bytes, %v", head, len(got), len(body), err)
			}
			if _, _, err := client.Fetch(t.Context(), address, getRequest, 1<<20); !reset && err != nil {
				t.Errorf("%q: the connection was used again: %v", head, err)
			}
		}
	}
}

// TestInvalidHeadIsNoAnswer guards against an answer that is passed on, or whose body is
// framed, by a head with an invalid field name or status, and against a connection that is
// kept after it.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 5\r\n"} {
		for name, text := range badhead.Answers("Content-Type: text/plain\r\n"+framing, "hello") {
			closed := make(chan error, 1)
			address := startPeer(t, func(c net.Conn, r *bufio.Reader) {
				respondOnce(text)(c, r)
				if framing != "" {
					_, err := r.ReadByte()
					closed <- err
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			answer, body, err := newClient(t).Fetch(ctx, address, getRequest, 1000)
			if ctx.Err() != nil {
				t.Errorf("%s, %q: the client waits for more", name, framing)
			}
			if err == nil {
				t.Errorf("%s, %q: was taken as status %d with %v and body %q", name, framing, answer.Status, answer.Fields, body)
				continue
			}
			if framing == "" {
				continue
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Errorf("%s: the connection is kept", name)
			}
		}
	}
}
