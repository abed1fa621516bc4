package callerconn

import (
	"expvar"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// maxProgressInterval is the longest time between two checks for progress, and the time
// in which a shorter timeout takes effect.
const maxProgressInterval = time.Second

// WriteProgress bounds the time in which a connection takes no bytes, so that a caller
// that reads nothing does not hold it. A caller that reads slowly makes progress.
type WriteProgress struct {
	// Timeout returns the time in force.
	Timeout func() time.Duration
	// Stalled counts the connections that were reset for lack of progress.
	Stalled expvar.Int
}

// Listener returns a listener whose connections fail a write, and are reset, after the
// timeout without progress. It belongs below TLS, which cannot go on after a write that
// timed out. The connections set their own write deadlines.
func (w *WriteProgress) Listener(l net.Listener) net.Listener {
	return &progressListener{Listener: l, progress: w}
}

type progressListener struct {
	net.Listener
	progress *WriteProgress
}

// Accept implements net.Listener.
func (l *progressListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &progressConn{Conn: nc, progress: l.progress}, nil
}

type progressConn struct {
	net.Conn
	progress *WriteProgress
}

// NetConn returns the wrapped connection, for connstate.Of.
func (c *progressConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn. The kernel reports a full buffer as writable only after a
// third of it has been sent, which takes long at a slow caller. The bytes that wait in
// the buffer therefore count as well.
func (c *progressConn) Write(p []byte) (int, error) {
	written := 0
	progressAt, queued := time.Now(), -1
	for {
		interval := min(c.progress.Timeout()/4, maxProgressInterval)
		if err := c.SetWriteDeadline(time.Now().Add(interval)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now, left := time.Now(), unsent(c.Conn)
		if n > 0 || left < queued {
			progressAt = now
		}
		queued = left
		if now.Sub(progressAt) >= c.progress.Timeout() {
			c.progress.Stalled.Add(1)
			c.reset()
			return written, err
		}
	}
}

// reset closes the connection at once. Otherwise the kernel would hold the unsent bytes,
// and the end of a TLS session would wait for room in the buffer.
func (c *progressConn) reset() {
	if tcp, ok := socket(c.Conn).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// unsent returns the bytes in the send buffer that the peer has not acknowledged, or
// zero if they are not known.
func unsent(nc net.Conn) int {
	sc, ok := socket(nc).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	left := 0
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			left = n
		}
	})
	return left
}
