package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestAnswerResetDuringUploadIsNoAnswer guards against an answer without a length that is
// reset while the request is still being sent, and whose first part is taken as whole.
func TestAnswerResetDuringUploadIsNoAnswer(t *testing.T) {
	for name, body := range map[string]int{"in a write": 32 << 20, "in the send buffer": 256 << 10} {
		t.Run(name, func(t *testing.T) {
			address := startPeer(t, func(c net.Conn, _ *bufio.Reader) {
				_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the answer")
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			_, read, err := newClient(t).Fetch(t.Context(), address, &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, body)}, 1<<20)
			if err == nil {
				t.Errorf("a reset was taken as the end of %q", read)
			}
		})
	}
}
