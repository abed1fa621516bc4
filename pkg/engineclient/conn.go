package engineclient

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// progressConn limits the time that one read or write may take without moving
// a byte, so that a connection that goes silent for good is noticed.
type progressConn struct {
	net.Conn
	limit time.Duration
}

func (c *progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *progressConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// link is one connection with its buffers.
type link struct {
	conn net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	// reused is set when the connection has carried an earlier request. A
	// failure before the first byte of the answer is then likely to be the
	// peer's idle close.
	reused bool
	idleAt time.Time
}

// pool keeps idle connections by address.
type pool struct {
	dialTimeout time.Duration
	progress    time.Duration
	idleTimeout time.Duration
	maxIdle     int
	tls         func() *tls.Config

	mu sync.Mutex
	// idle is guarded by mu.
	idle map[string][]*link
}

func (p *pool) get(ctx context.Context, address string) (*link, error) {
	if l := p.takeIdle(address); l != nil {
		return l, nil
	}
	dialer := &net.Dialer{Timeout: p.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	var c net.Conn = &progressConn{Conn: conn, limit: p.progress}
	if p.tls != nil {
		c = tls.Client(c, p.tls())
	}
	return &link{conn: c, r: bufio.NewReaderSize(c, 4096), w: bufio.NewWriterSize(c, 4096)}, nil
}

func (p *pool) takeIdle(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[address]); n > 0; n = len(p.idle[address]) {
		l := p.idle[address][n-1]
		p.idle[address] = p.idle[address][:n-1]
		if time.Since(l.idleAt) < p.idleTimeout {
			l.reused = true
			return l
		}
		_ = l.conn.Close()
	}
	delete(p.idle, address)
	return nil
}

func (p *pool) put(address string, l *link) {
	l.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil || len(p.idle[address]) >= p.maxIdle {
		_ = l.conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], l)
}

// dropIdle closes the idle connections to address. It is called after one
// connection to it went silent, because the others are likely to be as well.
func (p *pool) dropIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle[address] {
		_ = l.conn.Close()
	}
	delete(p.idle, address)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, links := range p.idle {
		for _, l := range links {
			_ = l.conn.Close()
		}
	}
	p.idle = nil
}
