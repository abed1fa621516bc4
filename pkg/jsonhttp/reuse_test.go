package jsonhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/standin/badhead"
)

// startPeer starts a server that calls serve for each request, with the number of
// requests on all connections before it. The connection is closed once serve returns
// false.
func startPeer(t *testing.T, serve func(c net.Conn, earlier int) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	requests := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					mu.Lock()
					earlier := requests
					requests++
					mu.Unlock()
					if !serve(c, earlier) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestConnectionWithUnrequestedBytesIsNotReused guards against an answer to an earlier
// request, written once more on a kept connection, that is taken as the answer to the
// next one: an append that took effect then counted as refused.
func TestConnectionWithUnrequestedBytesIsNotReused(t *testing.T) {
	address := startPeer(t, func(c net.Conn, earlier int) bool {
		body := fmt.Sprintf(`{"n":%d}`, earlier)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}")
		return true
	})
	client := New(address, Options{})
	for i := range 6 {
		answer := struct{ N int }{-1}
		if err := client.Do(t.Context(), http.MethodPost, "/", struct{}{}, &answer); err != nil || answer.N != i {
			t.Errorf("request %d: got %d, %v", i, answer.N, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestClosedConnectionIsNotReused guards against a request that fails, with an unknown
// outcome, because the peer has closed the idle connection that it was sent on.
func TestClosedConnectionIsNotReused(t *testing.T) {
	address := startPeer(t, func(c net.Conn, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		return false
	})
	client := New(address, Options{})
	for i := range 4 {
		if err := client.Do(t.Context(), http.MethodPost, "/", struct{}{}, &struct{}{}); err != nil {
			t.Errorf("request %d: %v", i, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestTruncatedAnswerIsNoAnswer guards against a success or a refusal that is read from
// an answer whose peer closes the connection within the head or the body.
func TestTruncatedAnswerIsNoAnswer(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		for cut := range len(text) {
			address := startPeer(t, func(c net.Conn, _ int) bool {
				_, _ = io.WriteString(c, text[:cut])
				return false
			})
			err := New(address, Options{}).Do(t.Context(), http.MethodPost, "/", struct{}{}, nil)
			var status *StatusError
			if err == nil || errors.As(err, &status) {
				t.Errorf("%q: got %v", text[:cut], err)
			}
		}
	}
}

// TestStatus000IsNoAnswer guards against an answer with the status 000, which fasthttp
// takes for 200, and that counts as a success.
func TestStatus000IsNoAnswer(t *testing.T) {
	address := startPeer(t, func(c net.Conn, _ int) bool {
		for _, piece := range []string{"HTTP/1.1", " 0", "00 Unknown\r\nContent-Length: 2\r\n\r\n{}"} {
			_, _ = io.WriteString(c, piece)
			time.Sleep(5 * time.Millisecond)
		}
		return true
	})
	if err := New(address, Options{}).Do(t.Context(), http.MethodPost, "/", nil, nil); err == nil {
		t.Error("the answer counts as a success")
	}
}

// TestEndlessAnswerEnds guards against an answer without end that is kept until the process
// runs out of memory.
func TestEndlessAnswerEnds(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n"} {
		address := startPeer(t, func(c net.Conn, _ int) bool {
			block := make([]byte, 0x4000)
			_, err := io.WriteString(c, head)
			for err == nil {
				_, err = c.Write(block)
				if err == nil && head[9] == '5' {
					_, err = io.WriteString(c, "\r\n4000\r\n")
				}
			}
			return false
		})
		err := New(address, Options{Timeout: 20 * time.Second, MaxBody: 1 << 20}).Do(t.Context(), http.MethodGet, "/", nil, nil)
		if !errors.Is(err, fasthttp.ErrBodyTooLarge) {
			t.Errorf("%.12s: got %v, want %v", head, err, fasthttp.ErrBodyTooLarge)
		}
	}
}

// TestInvalidHeadIsNoAnswer guards against a success that is read from an answer whose head,
// or that of an interim answer before it, has an invalid field name or status, also if it
// arrives in pieces.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	for name, text := range badhead.Answers("Content-Type: application/json\r\n", "{}") {
		for _, piece := range []int{len(text), 7} {
			address := startPeer(t, func(c net.Conn, _ int) bool {
				for part := range slices.Chunk([]byte(text), piece) {
					_, _ = c.Write(part)
					if piece < len(text) {
						time.Sleep(time.Millisecond)
					}
				}
				return false
			})
			err := New(address, Options{}).Do(t.Context(), http.MethodPost, "/", struct{}{}, nil)
			var status *StatusError
			if err == nil || errors.As(err, &status) {
				t.Errorf("%s, in pieces of %d bytes: got %v", name, piece, err)
			}
		}
	}
}
