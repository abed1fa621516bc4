package callerconn

import (
	"net"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/membudget"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

const (
	// admitWait is how long a request waits, with its body unread, for other requests
	// to release memory. It is shorter than membudget.EvictAge, so that a request is
	// not evicted because it waits.
	admitWait         = 250 * time.Millisecond
	admitPollInterval = 20 * time.Millisecond
	// pooledBodyBytes is the largest buffer of a body that the server keeps for other
	// requests. Larger ones would be memory that no request is charged for.
	pooledBodyBytes = 64 << 10
	// chunkedAdvance is the divisor of what is charged in advance for a chunked body.
	// Without it 300 callers that sent the size of a large chunk at once took a host to
	// 148 MB that has 144, because the buffers were allocated before they were charged.
	chunkedAdvance = 4
	// servingBytes is what a request in flight holds besides its body: its parsed head
	// and the buffers of its endpoint's connection.
	servingBytes = 16 << 10
	// writePieceBytes is the size of the pieces in which an answer is written, to see
	// whether the caller reads it.
	writePieceBytes = 64 << 10
)

// errNoMemory ends the read of a request that was refused for lack of memory. The
// server may hide it; the account knows of the refusal as well.
var errNoMemory = errors.New("the host has no memory for the request")

// memory is the accounting of a tracker's connections.
type memory struct {
	budget *membudget.Budget
	// readBuffer is the size of the buffer that a request is read into.
	readBuffer int64
	lingering  atomic.Int64
}

// UseBudget makes the connections charge what they hold to b. readBuffer is the
// server's ReadBufferSize. The server must have ReduceMemoryUsage set, call AdmitBody
// from HeaderReceived and ReadRefusal from ErrorHandler, and its handler must begin with
// BeginServe and end with EndServe. UseBudget must be called before Listener.
func (t *Tracker) UseBudget(b *membudget.Budget, readBuffer int) {
	t.memory.budget, t.memory.readBuffer = b, int64(readBuffer)
	fasthttp.SetBodySizePoolLimit(pooledBodyBytes, pooledBodyBytes)
}

func (m *memory) open(c *conn) account {
	return account{memory: m, share: m.budget.Open(c.evict)}
}

// AdmitBody is called with the head of a request, before its body is read. copies is
// how many times a served body is held in memory, limit the largest body. The request
// waits for memory for a short time. AdmitBody returns the limit to apply, below the
// length of the body if the request is refused.
func (t *Tracker) AdmitBody(h *fasthttp.RequestHeader, limit, copies int) int {
	if t.memory.budget == nil {
		return limit
	}
	c, ok := connOf(h).(*conn)
	if !ok {
		return limit
	}
	a := &c.account
	a.copies = int64(copies)
	switch length := h.ContentLength(); {
	case length > limit:
		return limit
	case length > 0:
		if !a.grow(a.memory.readBuffer + a.copies*bufferSize(int64(length))) {
			return 1
		}
	case length < 0 && length != -2:
		// A chunked body. The part that arrived with the head is in the read buffer.
		a.chunked = true
		a.body = max(0, a.read-int64(len(h.RequestURI())+len(h.RawHeaders())))
		return a.limitChunks(limit)
	}
	return limit
}

// limitChunks returns the largest chunked body that there is memory for now, at least
// pooledBodyBytes. The server allocates the buffer for a chunk before it reads the chunk,
// so that it can be charged only when it has been allocated. A part of it is charged in
// advance, so that many requests that begin at once do not all get the same room.
func (a *account) limitChunks(limit int) int {
	now := time.Now()
	a.wanted = a.chunkedTotal(int64(limit))
	room := a.memory.budget.Room(a.wanted, now)
	length := int64(limit)
	if a.wanted > room {
		length = pooledBodyBytes
		for length < int64(limit) && a.chunkedTotal(2*length) <= room {
			length *= 2
		}
	}
	if length > pooledBodyBytes && !a.share.Grow(a.chunkedTotal(length)/chunkedAdvance, now) {
		length = pooledBodyBytes
	}
	a.limited = length < int64(limit)
	return int(min(length, int64(limit)))
}

// chunkedTotal returns the charge of a request with a chunked body of n bytes.
func (a *account) chunkedTotal(n int64) int64 {
	return a.memory.readBuffer + max(chunkedCharge(n), a.copies*bufferSize(n))
}

// connOf returns the connection of the request whose head the server passes to
// HeaderReceived. The head is part of the request's context, which has the connection.
// TestHeadOfConnection checks this for the version in use.
func connOf(h *fasthttp.RequestHeader) net.Conn {
	const offset = unsafe.Offsetof(fasthttp.RequestCtx{}.Request) + unsafe.Offsetof(fasthttp.Request{}.Header)
	return (*fasthttp.RequestCtx)(unsafe.Add(unsafe.Pointer(h), -int(offset))).Conn()
}

// BeginServe is called when a request has been read. It returns the refusal to answer
// with, or nil if the request may be served.
func (t *Tracker) BeginServe(ctx *fasthttp.RequestCtx) *refusal.Refusal {
	c, ok := ctx.Conn().(*conn)
	if !ok || t.memory.budget == nil {
		return nil
	}
	a := &c.account
	held := servingBytes + max(a.copies, 1)*int64(cap(ctx.Request.Body()))
	if !a.share.EndRead(held, time.Now()) || a.refused {
		ctx.SetConnectionClose()
		return a.refusal()
	}
	return nil
}

// EndServe is called when a request has been served. Nothing may refer to its body
// from then on, unless the answer is a stream.
func (t *Tracker) EndServe(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !ok || t.memory.budget == nil || ctx.Response.IsBodyStream() {
		return
	}
	ctx.Request.ReleaseBody(pooledBodyBytes)
	c.account.share.Set(servingBytes+int64(cap(ctx.Response.Body())), time.Now())
}

// ReadRefusal returns the refusal of a request that could not be read because of err.
func (t *Tracker) ReadRefusal(ctx *fasthttp.RequestCtx, err error) *refusal.Refusal {
	r := ReadRefusal(err)
	c, ok := ctx.Conn().(*conn)
	if !ok {
		return r
	}
	a := &c.account
	if !a.share.EndRead(0, time.Now()) || a.refused || a.limited && r.Status == 413 {
		r = a.refusal()
	}
	c.lingers.Store(r.Status == 413 || r.Status == 503)
	return r
}

// account is what one connection holds. Only the goroutine that serves the connection
// uses it, except for share.
type account struct {
	memory *memory
	share  *membudget.Share
	// read counts the bytes of the current request, body those of a chunked body.
	read, body int64
	chunked    bool
	// copies is how many times the body is held.
	copies int64
	// refused says that the current request is refused for lack of memory, wanted how
	// much it would have needed.
	refused bool
	wanted  int64
	// limited says that a chunked body is refused below the limit of the configuration.
	limited bool
}

// headCopies is how many times a head that is being read may be held: the server parses
// what has arrived of it, so that the fields take about as much as the buffer.
const headCopies = 2

func (a *account) beginRequest() {
	a.read, a.body, a.chunked, a.refused, a.limited, a.copies = 0, 0, false, false, false, 1
	// No request has been read yet, so the connection may as well be closed at once.
	a.wanted = headCopies * a.memory.readBuffer
	a.refused = !a.share.BeginRead(a.wanted, time.Now())
}

func (a *account) endRequest() {
	// The wait for the next request is not charged.
	a.chunked = false
	if a.share != nil {
		a.share.Clear(time.Now())
	}
}

func (a *account) close() {
	if a.share != nil {
		a.share.Close(time.Now())
	}
}

// beforeRead charges for a read of up to size bytes. A read that is larger than the
// read buffer goes to the buffer of the body, which has been allocated for it.
func (a *account) beforeRead(size int) error {
	if a.refused || a.share.Evicted() {
		return errNoMemory
	}
	if !a.chunked {
		return nil
	}
	length := a.body
	if int64(size) >= a.memory.readBuffer {
		length += int64(size)
	}
	total := a.chunkedTotal(length)
	if int64(size) < a.memory.readBuffer {
		if !a.grow(total) {
			return errNoMemory
		}
		return nil
	}
	// The buffer must not be held, not charged yet, while the request waits.
	if !a.share.Grow(total, time.Now()) {
		a.refused, a.wanted = true, total
		return errNoMemory
	}
	return nil
}

func (a *account) afterRead(n int) {
	a.read += int64(n)
	if a.chunked {
		a.body += int64(n)
	}
}

// grow raises the charge of the request, and waits for memory for a short time. A
// request that gets none is refused.
func (a *account) grow(total int64) bool {
	for until := time.Now().Add(admitWait); ; time.Sleep(admitPollInterval) {
		now := time.Now()
		if a.share.Grow(total, now) {
			return true
		}
		if a.share.Evicted() || now.After(until) {
			a.refused, a.wanted = true, total
			return false
		}
	}
}

// refusal returns the refusal of a request for lack of memory.
func (a *account) refusal() *refusal.Refusal {
	a.share.Refused()
	return refusal.NotRun(503, refusal.CodeOverloaded, "the host has no memory for the request").
		WithRetryAfter(a.memory.budget.RetryAfter(a.wanted, time.Now())).WithCause(errNoMemory)
}

// bufferSize returns the capacity that the server allocates for n bytes of a body, the
// next power of two.
func bufferSize(n int64) int64 {
	const largestRounded = 100 << 20
	if n <= 0 || n > largestRounded {
		return n
	}
	size := int64(1)
	for size < n {
		size *= 2
	}
	return size
}

// chunkedCharge returns what n bytes of a chunked body may take: the buffer, and the
// one of half its size from which it has grown, until that is collected.
func chunkedCharge(n int64) int64 { return bufferSize(n) * 3 / 2 }

// SetReadDeadline implements net.Conn. The deadline of an evicted request stays in the
// past.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.readEvicted.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// evict ends the read of the request, or breaks off the answer.
func (c *conn) evict(reading bool) {
	if reading {
		c.readEvicted.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if tcp := tcpOf(c.Conn); tcp != nil {
		// A reset tells the caller that the answer is incomplete.
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

// tcpOf returns the TCP connection that nc wraps, or nil.
func tcpOf(nc net.Conn) *net.TCPConn {
	for {
		switch v := nc.(type) {
		case *net.TCPConn:
			return v
		case interface{ NetConn() net.Conn }:
			nc = v.NetConn()
		default:
			return nil
		}
	}
}

// Write implements net.Conn. It records the progress of the answer.
func (c *conn) Write(p []byte) (int, error) {
	if c.account.share == nil {
		return c.Conn.Write(p)
	}
	written := 0
	defer func() { c.account.share.Written(time.Now()) }()
	for {
		c.account.share.Writing(time.Now())
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}
