package upstream

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/descriptors"
)

const (
	// probeMargin is the least time between the latest reset of a request that is not
	// acknowledged and the end of the connection by keep-alive probes.
	probeMargin = time.Second
	probeCount  = 2
	// unackedTimeout ends a connection whose bytes the peer does not acknowledge.
	// It exceeds two retransmissions on a link that loses packets, and ackTimeout.
	unackedTimeout = 2500 * time.Millisecond
	// readBufferBytes is enough for the head of an answer and a few events.
	readBufferBytes = 4096
)

// cancelOnly hides the deadline of a context, which still ends at it. The deadline
// may be the time of another clock than the system's, with which a dialer would
// compare it.
type cancelOnly struct{ context.Context }

// Deadline implements context.Context.
func (cancelOnly) Deadline() (time.Time, bool) { return time.Time{}, false }

type conn struct {
	net.Conn
	address string
	r       *bufio.Reader
	// reused says that the connection has carried an earlier exchange.
	reused bool
	idleAt time.Time
	// idleTimeout is how long the connection may be idle according to the peer;
	// zero if it did not say.
	idleTimeout time.Duration
	// maxIdle bounds the idle connections to the address, zero if only the pool does.
	maxIdle int
	// written counts the bytes that the kernel has taken.
	written atomic.Int64
	// via names the host through which the connection goes; empty for a direct one.
	via string
	// onSilence is nil or called when the read deadline has passed, see Read.
	onSilence func() time.Duration
	// open counts the open connections, among them this one until closed is set.
	open   *atomic.Int64
	closed atomic.Bool
}

// NetConn returns the connection to the peer, for connstate.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements io.Reader. When the read deadline has passed, it asks onSilence how
// much longer to wait, and fails if that is zero. The readers of heads and bodies
// cannot go on after an error, so it must not reach them before the peer is given up.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		// A connection that the kernel gave up has a net.Error with Timeout as well.
		if n > 0 || c.onSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		wait := c.onSilence()
		if wait <= 0 {
			return n, err
		}
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return n, err
		}
	}
}

// dialer returns a dialer whose connections detect a dead peer. The kernel ends none that
// carries a request which is not acknowledged: a connection is idle for idleTimeout at most
// when it is used again, and the request is then given up after ackTimeout.
func dialer(timeout, idleTimeout time.Duration) *net.Dialer {
	probe := idleTimeout + ackTimeout + probeMargin
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}

// DialTCP opens a direct connection. idleTimeout is how long it may be idle between two
// requests.
func DialTCP(ctx context.Context, address string, timeout, idleTimeout time.Duration) (net.Conn, error) {
	return dialer(timeout, idleTimeout).DialContext(cancelOnly{ctx}, "tcp", address)
}

// abort closes the connection with a reset. Bytes that wait in the send buffer,
// such as during a network partition, are dropped instead of sent once the peer
// can be reached again.
func (c *conn) abort() {
	_ = connstate.Reset(c)
}

// stale reports whether the peer has closed the connection or sent bytes that
// belong to no request.
func (c *conn) stale() bool {
	if c.r.Buffered() > 0 {
		return true
	}
	return connstate.Of(c.Conn) != connstate.Idle
}

// pool keeps idle connections by address. It is safe for concurrent use.
type pool struct {
	dial        func(ctx context.Context, address string) (net.Conn, error)
	mayUseIdle  func(address string, idleAt time.Time) bool
	idleTimeout time.Duration
	maxIdle     int
	maxOpen     int
	// open counts the open connections, in use or idle.
	open atomic.Int64

	mu     sync.Mutex
	idle   map[string][]*conn // guarded by mu
	closed bool               // guarded by mu
	dials  int64              // guarded by mu
	// closedForRoom counts the idle connections that were closed to open others.
	closedForRoom int64 // guarded by mu
}

// get returns an idle connection to the address, or a new one if there is none or
// newConn is set.
func (p *pool) get(ctx context.Context, address string, newConn bool) (*conn, error) {
	if !newConn {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	p.makeRoom()
	nc, err := descriptors.Retry(p.closeLongestIdle, func() (net.Conn, error) {
		return p.dial(ctx, address)
	})
	if err != nil {
		return nil, err
	}
	p.open.Add(1)
	c := &conn{Conn: nc, address: address, open: &p.open}
	if indirect, ok := nc.(Indirect); ok {
		c.via = indirect.Via()
	}
	c.r = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// takeIdle returns the usable connection that was idle for the shortest time,
// which the peer is least likely to close, or nil. It closes unusable ones.
func (p *pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[address]); n > 0; n = len(p.idle[address]) {
		c := p.idle[address][n-1]
		p.idle[address] = p.idle[address][:n-1]
		if time.Since(c.idleAt) < p.idleLimit(c) && p.mayUseIdle(address, c.idleAt) && !c.stale() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, address)
	return nil
}

// idleLimit returns the shorter of the pool's and the peer's idle timeout.
func (p *pool) idleLimit(c *conn) time.Duration {
	if c.idleTimeout > 0 && c.idleTimeout < p.idleTimeout {
		return c.idleTimeout
	}
	return p.idleTimeout
}

// put keeps c for reuse, or closes it if the pool is closed or full.
func (p *pool) put(c *conn) {
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.maxIdle
	if c.maxIdle > 0 {
		limit = min(limit, c.maxIdle)
	}
	if p.closed || c.via != "" || len(p.idle[c.address]) >= limit || p.maxOpen > 0 && p.open.Load() > int64(p.maxOpen) {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if time.Since(c.idleAt) < p.idleLimit(c) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.idle, p.closed = nil, true
}
