// Package callerconn decides when a server closes the connections of its callers.
//
// A connection is closed as idle only while the server waits for the next request
// and has read no byte of it. A request that has been read in part or in whole keeps
// its connection, so that it is answered or refused.
package callerconn

import (
	"expvar"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/connstate"
)

const (
	// acceptDrainTime is how long a closing listener goes on accepting. The kernel
	// resets the connections that it has completed and nobody has accepted.
	acceptDrainTime = 200 * time.Millisecond
	// nextRequestTime is how long a closing tracker leaves a connection open after
	// its last answer or its opening. A caller that has just read an answer often
	// sends the next request at once.
	nextRequestTime = 250 * time.Millisecond
	// lastReadTime bounds the read of bytes that have arrived by the end of the wait.
	lastReadTime = 50 * time.Millisecond
)

// Timeouts bound the time that a connection may take.
type Timeouts struct {
	// Idle is the time between two requests. Read is that from the first byte of a
	// request to its end, unless the server sets another deadline meanwhile, and that
	// before the first request.
	Idle, Read time.Duration
}

// Tracker holds the open connections of one server. It is safe for concurrent use.
type Tracker struct {
	timeouts func() Timeouts
	closing  atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{} // guarded by mu
	// listening counts the listeners that accept.
	listening int // guarded by mu
	memory    memory

	// ClosedIdle counts the connections that were closed as idle, ReadInClose the
	// requests whose first byte was read after Close.
	ClosedIdle, ReadInClose expvar.Int

	limit limiter
}

// NewTracker returns a tracker without connections. The server must use Listener and
// OnStateChange and set no read or idle timeouts of its own. timeouts returns those in
// force.
func NewTracker(timeouts func() Timeouts) *Tracker {
	return &Tracker{timeouts: timeouts, conns: map[*conn]struct{}{}}
}

// Listener returns a listener whose connections are tracked.
// Accept must be called until it fails.
func (t *Tracker) Listener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listening++
	return &listener{Listener: l, tracker: t}
}

// OnStateChange is the server's callback for a change in a connection's state.
func (t *Tracker) OnStateChange(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	switch {
	case !ok:
	case state == fasthttp.StateActive:
		// The first bytes of a request may have been read with those of the last one.
		c.beginRequest()
	case state == fasthttp.StateIdle:
		c.awaitRequest()
	}
}

// Close closes the connections that have been idle for some time, and the others once
// they have been. l is the socket that callers connect to. It is closed after the
// connections that wait at it have been accepted. Close does not wait; see Done.
func (t *Tracker) Close(l net.Listener) {
	t.mu.Lock()
	t.closing.Store(true)
	open := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.mu.Unlock()
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok || d.SetDeadline(time.Now().Add(acceptDrainTime)) != nil {
		_ = l.Close()
	}
	for _, c := range open {
		c.updateWait()
	}
}

// Open returns the number of open connections.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Done reports whether the listeners and all connections are closed.
func (t *Tracker) Done() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listening == 0 && len(t.conns) == 0
}

func (t *Tracker) stopListening() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listening--
}

func (t *Tracker) add(nc net.Conn) *conn {
	c := &conn{Conn: nc, tracker: t}
	c.account = t.memory.open(c)
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	c.awaitRequest()
	return c
}

func (t *Tracker) remove(c *conn) {
	t.limit.unlist(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

type listener struct {
	net.Listener
	tracker *Tracker
	ended   sync.Once
}

// Accept returns io.EOF once the listener of a closed tracker has been drained.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	for err == nil && !l.tracker.makeRoom() {
		_ = nc.Close()
		nc, err = l.Listener.Accept()
	}
	if err != nil {
		drained := l.tracker.closing.Load() && isTimeout(err)
		if drained {
			_ = l.Listener.Close()
			err = io.EOF
		}
		if drained || !isTimeout(err) {
			l.ended.Do(l.tracker.stopListening)
		}
		return nil, err
	}
	return l.tracker.add(nc), nil
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	tracker *Tracker

	mu sync.Mutex
	// waiting says that no byte of the next request has been read. waitingSince is
	// when the wait began, waitLimit the longest time in force since then. kept says
	// that a request has been read before.
	waiting      bool          // guarded by mu
	waitingSince time.Time     // guarded by mu
	waitLimit    time.Duration // guarded by mu
	kept         bool          // guarded by mu

	limit   connLimit
	account account
	// readEvicted says that the request that is being read was evicted, lingers that a
	// request was refused whose rest may still arrive.
	readEvicted, lingers atomic.Bool
}

// NetConn returns the wrapped connection, for connstate.Of.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read returns io.EOF when the wait for the next request has ended.
func (c *conn) Read(p []byte) (int, error) {
	lastRead := false
	for {
		c.beforeRead()
		if err := c.account.beforeRead(len(p)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			if !c.received(p[:n]) {
				return 0, net.ErrClosed
			}
			c.account.afterRead(n)
			return n, err
		}
		if !isTimeout(err) {
			return n, err
		}
		again, err := c.waitTimedOut(err, lastRead)
		if err != nil {
			return 0, err
		}
		lastRead = !again
	}
}

// waitTimedOut decides what follows a read that has timed out with err. A nil error
// means that the read is to be repeated: for a wait that has been extended, or
// else for bytes that have arrived by its end, unless lastRead is set.
func (c *conn) waitTimedOut(err error, lastRead bool) (extended bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return false, err
	}
	now := time.Now()
	if end := c.waitEnd(); now.Before(end) {
		_ = c.SetReadDeadline(end)
		return true, nil
	}
	if !lastRead && connstate.Of(c.Conn) == connstate.Readable {
		_ = c.SetReadDeadline(now.Add(lastReadTime))
		return false, nil
	}
	c.tracker.ClosedIdle.Add(1)
	return false, io.EOF
}

// waitEnd returns the end of the wait for the next request. A timeout that has become
// shorter applies from the next wait on, because the caller may not know of it yet.
// c.mu must be held.
func (c *conn) waitEnd() time.Time {
	timeouts := c.tracker.timeouts()
	limit := timeouts.Read
	if c.kept {
		limit = timeouts.Idle
	}
	c.waitLimit = max(c.waitLimit, limit)
	if c.tracker.closing.Load() {
		return c.waitingSince.Add(min(c.waitLimit, nextRequestTime))
	}
	return c.waitingSince.Add(c.waitLimit)
}

func (c *conn) awaitRequest() {
	c.account.endRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.waitingSince, c.waitLimit = true, time.Now(), 0
	c.limit.head = headScanner{}
	_ = c.SetReadDeadline(c.waitEnd())
}

// updateWait applies a change of the time that the connection may be idle.
func (c *conn) updateWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		_ = c.SetReadDeadline(c.waitEnd())
	}
}

// beginRequest ends the wait for a request, whose first byte has been read.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		// The bytes were read with those of the last request and not scanned.
		c.limit.head.complete = true
		c.endWait()
	}
}

// endWait begins a request that has been waited for. c.mu must be held.
func (c *conn) endWait() {
	c.waiting, c.kept = false, true
	if c.tracker.closing.Load() {
		c.tracker.ReadInClose.Add(1)
	}
	_ = c.SetReadDeadline(time.Now().Add(c.tracker.timeouts().Read))
	c.account.beginRequest()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.linger()
	c.account.close()
	c.tracker.remove(c)
	return c.Conn.Close()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
