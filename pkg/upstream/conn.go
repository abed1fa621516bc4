package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/clementineshed/clementineshed/pkg/connstate"
)

const (
	// probeIdle and probeInterval detect a connection that has gone silent while
	// nothing is sent on it; one second is the least that the kernel takes.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedLimit ends a connection whose bytes the peer does not acknowledge.
	// It exceeds two retransmissions on a link that loses packets.
	unackedLimit = 2500 * time.Millisecond
	// readBufferBytes is enough for the head of an answer and a few events.
	readBufferBytes = 4096
)

// conn is one connection to a peer.
type conn struct {
	net.Conn
	address string
	r       *bufio.Reader
	// reused says that the connection has carried an earlier exchange.
	reused bool
	idleAt time.Time
	// idleLimit is how long the peer keeps the connection idle, if it said so.
	idleLimit time.Duration
}

func dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}

// stale reports whether the peer has closed the connection or sent bytes that
// belong to no request.
func (c *conn) stale() bool {
	if c.r.Buffered() > 0 {
		return true
	}
	return connstate.Of(c.Conn) != connstate.Quiet
}

// pool keeps idle connections by address. It is safe for concurrent use.
type pool struct {
	dialTimeout time.Duration
	idleLimit   time.Duration
	maxIdle     int

	mu     sync.Mutex
	idle   map[string][]*conn // guarded by mu
	closed bool               // guarded by mu
	dials  int64              // guarded by mu
}

func (p *pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	nc, err := dialer(p.dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, address: address, r: bufio.NewReaderSize(nc, readBufferBytes)}, nil
}

// takeIdle returns the connection that was used last, because the peer closes
// those that were idle for long.
func (p *pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[address]); n > 0; n = len(p.idle[address]) {
		c := p.idle[address][n-1]
		p.idle[address] = p.idle[address][:n-1]
		if time.Since(c.idleAt) < p.limit(c) && !c.stale() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, address)
	return nil
}

func (p *pool) limit(c *conn) time.Duration {
	if c.idleLimit > 0 && c.idleLimit < p.idleLimit {
		return c.idleLimit
	}
	return p.idleLimit
}

func (p *pool) put(c *conn) {
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// drop closes the idle connections to an address.
func (p *pool) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// sweep closes connections that have been idle past their limit.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if time.Since(c.idleAt) < p.limit(c) {
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
