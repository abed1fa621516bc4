package upstream

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/connstate"
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

// ackWatch resets a connection whose peer does not acknowledge the request that is
// sent on it. It is safe for concurrent use.
type ackWatch struct {
	cn      *conn
	timeout time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	timer *time.Timer
	// sent says that the kernel has taken the whole request.
	sent     bool
	stopped  bool
	progress connstate.AckProgress
	// expired says that the connection was reset.
	expired bool
}

// watchAcks watches the request that is about to be sent on a connection.
func watchAcks(cn *conn, timeout time.Duration) *ackWatch {
	w := &ackWatch{cn: cn, timeout: timeout, progress: connstate.NewAckProgress(cn.written.Load(), time.Now())}
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
	queued, err := connstate.Unacknowledged(w.cn)
	if err != nil {
		return
	}
	if w.progress.Stalled(w.cn.written.Load(), queued, time.Now(), w.timeout) {
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
