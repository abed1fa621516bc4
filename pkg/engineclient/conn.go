package engineclient

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/descriptors"
)

// progressTimeoutConn limits the time that one read or write may take without
// moving a byte, so that a dead connection is detected.
type progressTimeoutConn struct {
	net.Conn
	timeout time.Duration
	// onSilence is nil or called when a read has taken too long. It returns how much
	// longer to wait; zero fails the read. The readers of the answer and of TLS cannot
	// go on after an error, so it must not reach them before the engine is given up.
	onSilence func() time.Duration
	// mayRead is how many bytes may be read before the next event of a stream.
	mayRead int
	// open counts the open connections, among them this one until closed is set.
	open   *atomic.Int64
	closed atomic.Bool
}

// errEndless reports an engine that sends bytes without an event.
var errEndless = errors.New("the engine sends bytes without an event")

func (c *progressTimeoutConn) Read(p []byte) (int, error) {
	if c.mayRead <= 0 {
		return 0, errEndless
	}
	n, err := c.readOrWait(p)
	c.mayRead -= n
	return n, err
}

func (c *progressTimeoutConn) readOrWait(p []byte) (int, error) {
	wait := c.timeout
	for {
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || c.onSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if wait = c.onSilence(); wait <= 0 {
			return n, err
		}
	}
}

func (c *progressTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// NetConn returns the wrapped connection, for connstate.
func (c *progressTimeoutConn) NetConn() net.Conn { return c.Conn }

// pooledConn is one connection with its buffers.
type pooledConn struct {
	conn net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	// raw is the connection below TLS.
	raw *progressTimeoutConn
	// reused is set when the connection has carried an earlier request. If it
	// fails before the first byte of the answer, the peer has most likely
	// closed it because it was idle.
	reused    bool
	idleSince time.Time
}

// abort resets the connection. Bytes that wait in the send buffer, such as during a
// network partition, are dropped instead of sent once the engine can be reached again.
func (pc *pooledConn) abort() {
	_ = connstate.Reset(pc.raw)
}

// stale reports whether the engine has closed the connection or sent bytes that belong
// to no request.
func (pc *pooledConn) stale() bool {
	return pc.r.Buffered() > 0 || connstate.Of(pc.conn) != connstate.Idle
}

// pool keeps idle connections by address.
type pool struct {
	dialTimeout     time.Duration
	progressTimeout time.Duration
	idleTimeout     time.Duration
	maxIdle         int
	maxOpen         int
	tls             func() *tls.Config

	// open counts the open connections, in use or idle.
	open atomic.Int64

	mu sync.Mutex
	// idle is guarded by mu.
	idle map[string][]*pooledConn
	// closedForRoom counts the idle connections that were closed to open others.
	closedForRoom int64 // guarded by mu
}

func (p *pool) get(ctx context.Context, address string) (*pooledConn, error) {
	if pc := p.takeIdle(address); pc != nil {
		return pc, nil
	}
	dialer := &net.Dialer{Timeout: p.dialTimeout}
	p.makeRoom()
	conn, err := descriptors.Retry(p.closeLongestIdle, func() (net.Conn, error) { return dialer.DialContext(ctx, "tcp", address) })
	if err != nil {
		return nil, err
	}
	p.open.Add(1)
	raw := &progressTimeoutConn{Conn: conn, timeout: p.progressTimeout, mayRead: maxBytesPerEvent, open: &p.open}
	var c net.Conn = raw
	if p.tls != nil {
		c = tls.Client(c, p.tls())
	}
	return &pooledConn{conn: c, r: bufio.NewReaderSize(c, 4096), w: bufio.NewWriterSize(c, 4096), raw: raw}, nil
}

func (p *pool) takeIdle(address string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[address]); n > 0; n = len(p.idle[address]) {
		pc := p.idle[address][n-1]
		p.idle[address] = p.idle[address][:n-1]
		if time.Since(pc.idleSince) < p.idleTimeout && !pc.stale() {
			pc.reused = true
			return pc
		}
		_ = pc.conn.Close()
	}
	delete(p.idle, address)
	return nil
}

func (p *pool) put(address string, pc *pooledConn) {
	pc.idleSince = time.Now()
	pc.raw.onSilence = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil || len(p.idle[address]) >= p.maxIdle || p.maxOpen > 0 && p.open.Load() > int64(p.maxOpen) {
		_ = pc.conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], pc)
}

// dropIdle closes the idle connections to address. It is called after one
// connection to address timed out or a reused one failed, because the others
// are likely to have failed too.
func (p *pool) dropIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pc := range p.idle[address] {
		_ = pc.conn.Close()
	}
	delete(p.idle, address)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, pc := range conns {
			_ = pc.conn.Close()
		}
	}
	p.idle = nil
}
