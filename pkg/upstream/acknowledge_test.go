package upstream

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// tcpOption returns a TCP option of a connection.
func tcpOption(t *testing.T, nc net.Conn, option int) int {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	var optionErr error
	if err := raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return value
}

// TestUnacknowledgedRequestIsReset guards against a request that reaches its peer after
// the caller was refused: the kernel gave up the connection first, without a reset, and
// the network delivered what it had held up. A peer that does not read stands in for a
// network that delivers nothing.
func TestUnacknowledgedRequestIsReset(t *testing.T) {
	proceed, read := make(chan struct{}), make(chan error, 1)
	address := startPeer(t, func(c net.Conn, _ *bufio.Reader) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		<-proceed
		_, err := io.Copy(io.Discard, c)
		read <- err
	})
	client := newClient(t)
	client.ackTimeout = 200 * time.Millisecond
	started := time.Now()
	_, err := client.Do(t.Context(), address, &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 16<<20)})
	if !errors.Is(err, errUnacknowledged) {
		t.Errorf("after %v: got %v, want %v", time.Since(started), err, errUnacknowledged)
	}
	close(proceed)
	if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer read to its end with %v, want a reset", err)
	}
}

// TestSlowReaderIsNotReset guards against a reset while a peer reads a long upload
// slowly.
func TestSlowReaderIsNotReset(t *testing.T) {
	const size = 4 << 20
	address := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
		readRequest(r)
		for left := int64(size); left > 0; {
			n, err := io.CopyN(io.Discard, r, min(left, 256<<10))
			if err != nil {
				return
			}
			left -= n
			time.Sleep(60 * time.Millisecond)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	client := newClient(t)
	client.ackTimeout = 400 * time.Millisecond
	answer, err := client.Do(t.Context(), address, &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, size)})
	if err != nil {
		t.Fatal(err)
	}
	answer.Close()
}

// TestKernelDoesNotGiveUpFirst guards against a connection that the kernel ends before the
// client can reset it: for want of acknowledgements, or of answers to its probes right
// after a request was sent on a connection that had been idle.
func TestKernelDoesNotGiveUpFirst(t *testing.T) {
	client := newClient(t)
	cn := client.pool.mustGet(t, listenOnly(t))
	defer func() { _ = cn.Close() }()
	// One check may come late.
	resetWithin := ackTimeout + ackTimeout/ackChecks
	if limit := time.Duration(tcpOption(t, cn.Conn, unix.TCP_USER_TIMEOUT)) * time.Millisecond; limit < resetWithin {
		t.Errorf("the kernel gives up after %v, the client after up to %v", limit, resetWithin)
	}
	// With TCP_USER_TIMEOUT the first probe without an answer ends the connection, and a
	// kernel may have begun to probe long before the connection was used again.
	reset := client.pool.idleTimeout + resetWithin
	for _, option := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL} {
		if probe := time.Duration(tcpOption(t, cn.Conn, option)) * time.Second; probe <= reset {
			t.Errorf("the kernel may give up an idle connection after %v, a request on it is given up after up to %v", probe, reset)
		}
	}
}
