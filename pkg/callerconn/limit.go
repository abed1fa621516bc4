package callerconn

import (
	"container/list"
	"expvar"
	"net"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/logging"
)

// evictAttempts bounds the connections that are looked at before a new one is refused.
// A connection whose next request has arrived unread is passed over.
const evictAttempts = 16

// limiter bounds the open connections of a tracker. It lists the connections that may
// be closed to make room for another one.
type limiter struct {
	max      int
	log      log.Interface
	throttle logging.Throttle

	mu sync.Mutex
	// idle holds the connections of which the server has read all bytes and waits for the
	// first of a request, reading those with an incomplete head. The one that has been in
	// this state longest is in front. Both are guarded by mu.
	idle, reading list.List

	closedIdle, closedReading, refused expvar.Int
}

// connLimit is the state of a connection that the limiter needs.
type connLimit struct {
	// element is the entry in list; both are nil if the connection is not listed.
	element *list.Element // guarded by limiter.mu
	list    *list.List    // guarded by limiter.mu
	head    headScanner   // guarded by conn.mu
	// evicted is set when the connection has been closed to make room. No byte of it is
	// passed to the server afterwards, so that its request is not executed.
	evicted atomic.Bool // set while conn.mu is held
}

// Limit bounds the open connections to max; zero means no bound. It must be called
// before Listener. logger receives a line, at most once a second, when the bound is
// reached.
func (t *Tracker) Limit(max int, logger log.Interface) { t.limit.max, t.limit.log = max, logger }

// ClosedForRoom counts the connections that were closed to make room for others: idle
// ones, and those with an incomplete head.
func (t *Tracker) ClosedForRoom() (idle, reading *expvar.Int) {
	return &t.limit.closedIdle, &t.limit.closedReading
}

// Refused counts the connections that were closed when they were accepted, because no
// other one could be closed.
func (t *Tracker) Refused() *expvar.Int { return &t.limit.refused }

// CloseOne closes the connection that has been idle longest or, if there is none, that
// whose head has been incomplete longest. It reports whether there was one.
func (t *Tracker) CloseOne() bool {
	if t.evict(&t.limit.idle) {
		t.limit.closedIdle.Add(1)
		return true
	}
	if t.evict(&t.limit.reading) {
		t.limit.closedReading.Add(1)
		return true
	}
	return false
}

// makeRoom reports whether there is room for a new connection.
func (t *Tracker) makeRoom() bool {
	if t.limit.max <= 0 || t.Open() < t.limit.max {
		return true
	}
	room := t.CloseOne()
	if !room {
		t.limit.refused.Add(1)
	}
	if t.limit.log != nil && t.limit.throttle.Allow() {
		t.limit.log.WithFields(log.Fields{"limit": t.limit.max, "refused": t.limit.refused.Value(), "closed_idle": t.limit.closedIdle.Value(),
			"closed_reading": t.limit.closedReading.Value()}).Warn("caller_connections_at_limit")
	}
	return room
}

// evict closes a connection from the front of l.
func (t *Tracker) evict(l *list.List) bool {
	for range evictAttempts {
		c := t.limit.takeFront(l)
		if c == nil {
			return false
		}
		if c.closeForRoom(l == &t.limit.idle) {
			t.remove(c)
			return true
		}
	}
	return false
}

// takeFront removes the first connection from l and returns it, or nil.
func (l *limiter) takeFront(from *list.List) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	front := from.Front()
	if front == nil {
		return nil
	}
	c := from.Remove(front).(*conn)
	c.limit.element, c.limit.list = nil, nil
	return c
}

// enlist adds a connection to the end of a list, unless it is in it.
func (l *limiter) enlist(c *conn, to *list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.limit.list == to {
		return
	}
	if c.limit.list != nil {
		c.limit.list.Remove(c.limit.element)
	}
	c.limit.list, c.limit.element = to, to.PushBack(c)
}

func (l *limiter) unlist(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.limit.list != nil {
		c.limit.list.Remove(c.limit.element)
		c.limit.element, c.limit.list = nil, nil
	}
}

// beforeRead lists the connection if it may be closed while the server waits for bytes.
func (c *conn) beforeRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.limit.evicted.Load():
	case c.waiting:
		c.tracker.limit.enlist(c, &c.tracker.limit.idle)
	case !c.limit.head.complete:
		c.tracker.limit.enlist(c, &c.tracker.limit.reading)
	}
}

// received records bytes that have been read. It reports false if the connection has
// been evicted.
func (c *conn) received(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit.evicted.Load() {
		return false
	}
	began, incomplete := c.waiting, !c.limit.head.complete
	if began {
		c.endWait()
	}
	if c.limit.head.scan(p) && incomplete || began {
		c.tracker.limit.unlist(c)
	}
	return true
}

// closeForRoom closes the connection if it is still idle, or else if its head is still
// incomplete. An idle one is kept if bytes have arrived.
func (c *conn) closeForRoom(idle bool) bool {
	c.mu.Lock()
	eligible := c.waiting && connstate.Of(c.Conn) != connstate.Readable
	if !idle {
		eligible = !c.waiting && !c.limit.head.complete
	}
	if eligible {
		c.limit.evicted.Store(true)
	}
	c.mu.Unlock()
	if eligible {
		// The end of a TLS session would be written first, which may block.
		_ = socket(c.Conn).Close()
	}
	return eligible
}

// socket returns the connection below all wrappers.
func socket(nc net.Conn) net.Conn {
	for {
		inner, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nc
		}
		nc = inner.NetConn()
	}
}

// headScanner finds the empty line at the end of a request's head.
type headScanner struct {
	// began says that a byte other than those of a line end has been read, lineEmpty
	// that the current line has no such byte.
	began, lineEmpty, complete bool
}

// scan reads bytes of a head and reports whether it is complete.
func (s *headScanner) scan(p []byte) bool {
	for _, b := range p {
		switch {
		case s.complete:
			return true
		case b == '\n':
			s.complete = s.began && s.lineEmpty
			s.lineEmpty = true
		case b != '\r':
			s.began, s.lineEmpty = true, false
		}
	}
	return s.complete
}
