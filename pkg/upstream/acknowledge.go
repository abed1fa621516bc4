package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// ackTimeout is how long a peer may leave all bytes of a request that are on their
	// way unacknowledged. It ends before unackedTimeout: once the kernel has given up a
	// connection, the connection cannot be reset any more, and what the network holds up
	// reaches the peer later. It allows for the same number of retransmissions.
	ackTimeout = 2 * time.Second
	// ackChecks is the number of checks within ackTimeout.
	ackChecks = 8
)

// errUnacknowledged reports that the peer did not acknowledge the request.
var errUnacknowledged = errors.Wrap(ErrAnswerTimeout, "the request is not acknowledged")

// unacknowledged returns the number of sent bytes that the peer has not acknowledged.
func unacknowledged(nc net.Conn) (int, error) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return 0, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	queued := 0
	var queueErr error
	if err := raw.Control(func(fd uintptr) { queued, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0, err
	}
	return queued, queueErr
}

// ackWatch resets a connection whose peer does not acknowledge the request that is
// sent on it. It is safe for concurrent use.
type ackWatch struct {
	cn      *conn
	timeout time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	timer *time.Timer
	// sent says that the kernel has taken the whole request.
	sent    bool
	stopped bool
	// acknowledged counts the bytes that the peer had acknowledged at progressAt, when
	// the number was last seen to grow or nothing was on its way.
	acknowledged int64
	progressAt   time.Time
	// expired says that the connection was reset.
	expired bool
}

// watchAcks watches the request that is about to be sent on a connection.
func watchAcks(cn *conn, timeout time.Duration) *ackWatch {
	w := &ackWatch{cn: cn, timeout: timeout, acknowledged: cn.written.Load(), progressAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout/ackChecks, w.check)
	return w
}

func (w *ackWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	queued, err := unacknowledged(w.cn.Conn)
	if err != nil {
		return
	}
	now := time.Now()
	if acknowledged := w.cn.written.Load() - int64(queued); queued == 0 || acknowledged > w.acknowledged {
		w.acknowledged, w.progressAt = acknowledged, now
	}
	if now.Sub(w.progressAt) >= w.timeout {
		w.expired = true
		w.cn.abort()
		return
	}
	if w.sent && queued == 0 {
		return
	}
	w.timer.Reset(w.timeout / ackChecks)
}

// requestSent records that the kernel has taken the whole request.
func (w *ackWatch) requestSent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = true
}

// stop ends the watch. It reports whether the connection was reset.
func (w *ackWatch) stop() (expired bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.expired
}
