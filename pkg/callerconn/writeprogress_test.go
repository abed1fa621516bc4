package callerconn

import (
	"net"
	"testing"
	"time"
)

const testWriteTimeout = 800 * time.Millisecond

// writeToPeer writes size bytes to a peer on loopback with a small send buffer, and
// returns the error of the write. read runs with the peer's end.
func writeToPeer(t *testing.T, size int, read func(net.Conn)) (progress *WriteProgress, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	if err := peer.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	progress = &WriteProgress{Timeout: func() time.Duration { return testWriteTimeout }}
	conn, err := progress.Listener(l).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := socket(conn).(*net.TCPConn).SetWriteBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	go read(peer)
	n, err := conn.Write(make([]byte, size))
	if err == nil && n != size {
		t.Errorf("%d of %d bytes written without an error", n, size)
	}
	return progress, err
}

// TestWriteWithoutProgressIsAborted guards against a caller that reads nothing and holds
// a connection for ever.
func TestWriteWithoutProgressIsAborted(t *testing.T) {
	began := time.Now()
	progress, err := writeToPeer(t, 8<<20, func(net.Conn) {})
	if !isTimeout(err) || progress.Stalled.Value() != 1 {
		t.Errorf("error %v, %d stalled connections counted", err, progress.Stalled.Value())
	}
	if took := time.Since(began); took < testWriteTimeout {
		t.Errorf("aborted after %v, before the timeout of %v", took, testWriteTimeout)
	}
}

// TestSlowReaderMakesProgress guards against a write that is aborted after the timeout
// in total, or because the kernel has taken no further bytes, although its caller reads.
func TestSlowReaderMakesProgress(t *testing.T) {
	// The rate frees too little of the send buffer within the timeout for the kernel to
	// take further bytes.
	const size, bytesPerSecond = 300 << 10, 55_000
	began := time.Now()
	progress, err := writeToPeer(t, size, func(peer net.Conn) {
		buffer := make([]byte, bytesPerSecond/50)
		for read := 0; ; time.Sleep(5 * time.Millisecond) {
			for float64(read) < bytesPerSecond*time.Since(began).Seconds() {
				n, err := peer.Read(buffer)
				if err != nil {
					return
				}
				read += n
			}
		}
	})
	if err != nil || progress.Stalled.Value() != 0 {
		t.Errorf("error %v, %d stalled connections counted", err, progress.Stalled.Value())
	}
	if took := time.Since(began); took < 2*testWriteTimeout {
		t.Errorf("written after %v, which does not test the timeout of %v", took, testWriteTimeout)
	}
}
