package connstate

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of sent bytes that the peer of the socket under conn
// has not acknowledged, zero for a connection without a socket.
func Unacknowledged(conn net.Conn) (int, error) {
	sc, ok := socket(conn).(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
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

// AckProgress follows how the peer of a connection acknowledges what is sent. It is not
// safe for concurrent use.
type AckProgress struct {
	// acknowledged counts the bytes that the peer had acknowledged at progressAt, when
	// the number was last seen to grow or nothing was on its way.
	acknowledged int64
	progressAt   time.Time
}

// NewAckProgress returns the progress of a connection to which written bytes have been
// written until now.
func NewAckProgress(written int64, now time.Time) AckProgress {
	return AckProgress{acknowledged: written, progressAt: now}
}

// Stalled reports whether the peer has acknowledged nothing for the timeout while bytes
// were on their way. written counts the bytes that have been written, unacknowledged those
// of them that are on their way.
func (p *AckProgress) Stalled(written int64, unacknowledged int, now time.Time, timeout time.Duration) bool {
	if acknowledged := written - int64(unacknowledged); unacknowledged == 0 || acknowledged > p.acknowledged {
		p.acknowledged, p.progressAt = acknowledged, now
	}
	return now.Sub(p.progressAt) >= timeout
}
