package orders

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/standin/badhead"
)

// startReceiver starts a receiver that runs serve on its first connection and then closes
// it, and returns its address.
func startReceiver(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		serve(c, bufio.NewReader(c))
	}()
	return l.Addr().String()
}

// TestAnswerToAnEarlierOrderIsNotUsed guards against an answer that a receiver writes once
// more and that is taken as the answer to the next order on the connection.
func TestAnswerToAnEarlierOrderIsNotUsed(t *testing.T) {
	for _, late := range []bool{false, true} {
		address := startReceiver(t, func(c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
				if !late {
					answer += answer
				}
				_, _ = io.WriteString(c, answer)
				if late {
					time.Sleep(5 * time.Millisecond)
					_, _ = io.WriteString(c, answer)
				}
			}
		})
		conn, err := Dial(t.Context(), address, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(conn.Close)
		if err := conn.Post(t.Context(), "/", struct{}{}); err != nil {
			t.Errorf("late %v, first order: %v", late, err)
		}
		time.Sleep(30 * time.Millisecond)
		if err := conn.Post(t.Context(), "/", struct{}{}); err == nil {
			t.Errorf("late %v: the answer to the first order was taken for the second", late)
		}
	}
}

// TestInvalidHeadIsNoAnswer guards against an order that counts as executed or as refused
// because of an answer whose head has an invalid field name or status.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	for name, text := range badhead.Answers("Content-Type: application/json\r\n", "{}") {
		address := startReceiver(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, text)
		})
		conn, err := Dial(t.Context(), address, "h", nil)
		if err != nil {
			t.Fatal(err)
		}
		var refused *RefusedError
		if err := conn.Post(t.Context(), "/", struct{}{}); err == nil || errors.As(err, &refused) {
			t.Errorf("%s: got %v, want an unknown outcome", name, err)
		}
		conn.Close()
	}
}
