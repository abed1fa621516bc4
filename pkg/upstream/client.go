package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/httphead"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/membudget"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// keepAliveMargin is subtracted from the idle time that a peer announces: a
// request must arrive before the peer closes the connection.
const keepAliveMargin = 700 * time.Millisecond

var (
	// ErrAnswerTimeout reports that a request was sent and the head of its answer did
	// not arrive within the limit.
	ErrAnswerTimeout = errors.New("no answer within the limit")
	// ErrIncomplete reports an answer that broke off or exceeds a limit.
	ErrIncomplete = errors.New("the answer is incomplete")
	// ErrNoPath reports that neither this host nor another one that it could ask has a path
	// to the peer.
	ErrNoPath = errors.New("no host that was asked has a path to the peer")
)

// Options configure a Client.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the peer does not
	// announce a shorter time. MaxIdle bounds the idle connections per address.
	IdleTimeout time.Duration
	MaxIdle     int
	// MaxOpen bounds the open connections: idle ones are closed, the longest idle first,
	// when there would be more. Zero means no bound.
	MaxOpen int
	// Memory bounds the bytes of all bodies that are read at the same time; nil means
	// no bound.
	Memory *membudget.Budget
	// Dial opens connections; nil means direct ones by TCP, within DialTimeout. An error
	// must mean that no byte has reached the peer. It wraps ErrNoPath if it says nothing
	// about the peer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MayUseIdle reports whether a connection that has been idle since a time may be used
	// again; nil means yes. It must not call methods of the Client.
	MayUseIdle func(address string, idleAt time.Time) bool
	// OnSent and OnAnswered, if set, are called for each request that is sent on a direct
	// connection, and when the head of its answer has arrived.
	OnSent, OnAnswered func(address string)
}

// Indirect is implemented by connections that Options.Dial has opened through another
// host. They are not used again.
type Indirect interface {
	// Via returns the name of that host.
	Via() string
}

// Client sends requests to peers. It is safe for concurrent use.
type Client struct {
	pool   pool
	bodies *membudget.Answers
	// ackTimeout is ackTimeout except in tests.
	ackTimeout         time.Duration
	onSent, onAnswered func(address string)
}

// New returns a client. The caller must Close it.
func New(opts Options) *Client {
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return DialTCP(ctx, address, opts.DialTimeout, opts.IdleTimeout)
		}
	}
	if opts.MayUseIdle == nil {
		opts.MayUseIdle = func(string, time.Time) bool { return true }
	}
	return &Client{ackTimeout: ackTimeout, onSent: opts.OnSent, onAnswered: opts.OnAnswered, bodies: membudget.NewAnswers(opts.Memory), pool: pool{dial: opts.Dial, mayUseIdle: opts.MayUseIdle, idleTimeout: opts.IdleTimeout, maxIdle: opts.MaxIdle, maxOpen: opts.MaxOpen, idle: map[string][]*conn{}}}
}

// Close closes the idle connections. Those in use are closed when their answers
// are.
func (c *Client) Close() { c.pool.close() }

// Sweep closes the connections that have been idle for too long. The owner of the
// client calls it regularly.
func (c *Client) Sweep() { c.pool.sweep() }

// CloseIdle closes the idle connections to an address. It is called when the peer
// is gone or has not answered on another connection.
func (c *Client) CloseIdle(address string) { c.pool.closeIdle(address) }

// ProcessEnded reports whether nothing listens at an address: a new connection is
// refused. An address that does not answer is no proof.
func (c *Client) ProcessEnded(ctx context.Context, address string) bool {
	cn, err := c.pool.get(ctx, address, true)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = cn.Close()
	return false
}

// Dials returns how many connections the client has tried to open.
func (c *Client) Dials() int64 {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.dials
}

// Answer is an answer whose head has been read. The caller must Close it.
type Answer struct {
	Status int
	Fields Fields
	body   io.Reader
	// framed says that the end of the body is marked other than by the close of
	// the connection.
	framed bool
	// reusable says that the peer keeps the connection open.
	reusable bool
	// complete says that the body has been read to its end.
	complete bool
	conn     *conn
	pool     *pool
	// bodies bounds the bodies in memory, see ReadAll. done ends the wait for memory.
	bodies *membudget.Answers
	done   <-chan struct{}
	// stopCtxWatch keeps the end of the request's context from closing the
	// connection. It returns false if the context has ended already.
	stopCtxWatch func() bool
	closed       atomic.Bool
}

// Do sends a request and returns the answer once its head has been read. When ctx
// ends before the answer is closed, or no answer arrives in time, the connection is
// reset, which cancels the work at the peer and drops what has not reached it. Errors
// name the step and the peer.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Answer, error) {
	cn, err := c.pool.get(ctx, address, req.NewConn)
	if err != nil {
		return nil, steperr.Wrap(&jsonhttp.NotSentError{Err: err}, "connect", address)
	}
	if err := ctx.Err(); err != nil {
		_ = cn.Close()
		return nil, steperr.Wrap(&jsonhttp.NotSentError{Err: err}, "send request", address)
	}
	cn.maxIdle = req.MaxIdle
	stop := context.AfterFunc(ctx, cn.abort)
	answer, err := c.observedExchange(cn, req)
	if err != nil {
		stop()
		cn.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = errors.Wrap(cause, err.Error())
		}
		return nil, steperr.Wrap(err, "exchange", address)
	}
	answer.stopCtxWatch, answer.pool, answer.done = stop, &c.pool, ctx.Done()
	return answer, nil
}

// observedExchange is exchange with the calls of OnSent and OnAnswered.
func (c *Client) observedExchange(cn *conn, req *Request) (*Answer, error) {
	if cn.via != "" || c.onSent == nil {
		return c.exchange(cn, req)
	}
	c.onSent(cn.address)
	answer, err := c.exchange(cn, req)
	if err == nil {
		c.onAnswered(cn.address)
	}
	return answer, err
}

// exchange sends a request on a connection and reads the head of the answer. The
// end of the request's context aborts the connection. Its deadline is not set on
// the connection, because it may be the time of another clock than the system's.
func (c *Client) exchange(cn *conn, req *Request) (*Answer, error) {
	acks := watchAcks(cn, c.ackTimeout)
	answer, err := c.sendAndAwait(cn, req, acks)
	if acks.stop() {
		return nil, errUnacknowledged
	}
	return answer, err
}

// sendAndAwait is exchange without the check of what the peer has acknowledged.
func (c *Client) sendAndAwait(cn *conn, req *Request, acks *ackWatch) (*Answer, error) {
	if err := req.writeTo(cn); err != nil {
		return nil, errors.Wrap(err, "write request")
	}
	acks.requestSent()
	if req.HeadTimeout > 0 {
		cn.onSilence = req.OnSilence
		if err := cn.SetReadDeadline(time.Now().Add(req.HeadTimeout)); err != nil {
			return nil, errors.Wrap(err, "set read deadline")
		}
	}
	answer, err := c.awaitAnswer(cn, req)
	if err != nil {
		return nil, err
	}
	cn.onSilence = nil
	if err := cn.SetReadDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "reset read deadline")
	}
	return answer, nil
}

// awaitAnswer reads the head of the answer that belongs to the request. It skips
// answers to earlier requests on a connection that is in use again; such a connection
// is not used another time.
func (c *Client) awaitAnswer(cn *conn, req *Request) (*Answer, error) {
	for strays := 0; ; strays++ {
		answer, err := readHead(cn, req.Method)
		if err != nil {
			return nil, err
		}
		answer.bodies = c.bodies
		if strays > 0 {
			answer.reusable = false
		}
		if req.Belongs == nil || req.Belongs(answer) || !cn.reused || !answer.framed || strays >= maxStrayAnswers {
			return answer, nil
		}
		if _, err := readBounded(answer, maxStrayBytes, c.bodies, nil); err != nil {
			return nil, errors.Wrap(err, "skip an answer to an earlier request")
		}
	}
}

// readHead reads the head of the final answer and skips interim (1xx) ones.
func readHead(cn *conn, method string) (*Answer, error) {
	var head fasthttp.ResponseHeader
	a, err := parseHead(cn.r, &head)
	if err != nil {
		if isTimeout(err) {
			return nil, errors.Wrap(ErrAnswerTimeout, err.Error())
		}
		return nil, errors.Wrap(err, "read head")
	}
	a.conn, a.framed = cn, true
	a.reusable = !head.ConnectionClose()
	cn.idleTimeout = announcedIdle(a.Fields.Get("Keep-Alive"))
	a.frame(cn, method, &head)
	return a, nil
}

func parseHead(r *bufio.Reader, head *fasthttp.ResponseHeader) (*Answer, error) {
	head.SetNoDefaultContentType(true)
	if err := httphead.ReadFinal(r, head); err != nil {
		return nil, err
	}
	a := &Answer{Status: head.StatusCode()}
	for name, value := range head.All() {
		a.Fields = append(a.Fields, Field{string(name), string(value)})
	}
	return a, nil
}

// ParseHead returns the status and the fields of the final answer that begins with data. It
// reports false if its head is not complete or not valid. The answer has no body.
func ParseHead(data []byte) (*Answer, bool) {
	var head fasthttp.ResponseHeader
	a, err := parseHead(bufio.NewReaderSize(bytes.NewReader(data), len(data)+1), &head)
	return a, err == nil
}

// isTimeout reports whether a read of a head timed out. fasthttp.ErrTimeout is not
// a net.Error.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &netErr) && netErr.Timeout()
}

// frame chooses the reader of the body by the head (RFC 9112, 6.3).
func (a *Answer) frame(cn *conn, method string, head *fasthttp.ResponseHeader) {
	length := head.ContentLength()
	switch {
	case method == "HEAD" || a.Status == 204 || a.Status == 304:
		a.body, a.complete = eofReader{}, true
	case length >= 0:
		a.body = &fixedReader{r: cn.r, remaining: length}
	case length == -1:
		a.body = httputil.NewChunkedReader(cn.r)
	default:
		a.body, a.framed, a.reusable = cn.r, false, false
	}
}

// announcedIdle returns the timeout parameter of a Keep-Alive field less
// keepAliveMargin, at least 1 ms, or zero if there is none.
func announcedIdle(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(number)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, time.Millisecond)
		}
	}
	return 0
}

// Read reads the body. It returns io.EOF only after the whole body; an answer that
// breaks off ends with an error that wraps ErrIncomplete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if a.framed && !a.complete && isChunked(a.body) {
			if trailerErr := skipTrailer(a.conn.r); trailerErr != nil {
				return n, errors.Wrap(ErrIncomplete, trailerErr.Error())
			}
		}
		a.complete = true
		return n, io.EOF
	default:
		return n, errors.Wrap(ErrIncomplete, err.Error())
	}
	return n, nil
}

// SetReadDeadline sets the time after which reads call onSilence, which returns how
// much longer to wait. They fail if it returns zero or is nil.
func (a *Answer) SetReadDeadline(deadline time.Time, onSilence func() time.Duration) error {
	a.conn.onSilence = onSilence
	return a.conn.SetReadDeadline(deadline)
}

// ReadAll reads the whole body. A body of more than limit bytes is an error that
// wraps ErrIncomplete. While too many bytes are held for others, it waits until the
// request's context ends, and then fails with ErrOverBudget.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	return readBounded(a, limit, a.bodies, a.done)
}

// Close ends the exchange. The connection is kept for the next one if the whole
// answer has been read. Otherwise it is closed, which cancels the work at the
// peer. Further calls do nothing.
func (a *Answer) Close() {
	if a.closed.Swap(true) {
		return
	}
	if !a.stopCtxWatch() || !a.complete || !a.reusable || a.conn.r.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.onSilence = nil
	if a.conn.SetDeadline(time.Time{}) != nil {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.conn)
}

// Fetch sends a request and reads the complete answer. A body of more than
// limit bytes is an error that wraps ErrIncomplete. The returned answer is
// closed.
func (c *Client) Fetch(ctx context.Context, address string, req *Request, limit int) (*Answer, []byte, error) {
	answer, err := c.Do(ctx, address, req)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Close()
	body, err := answer.ReadAll(limit)
	if err != nil {
		return nil, nil, steperr.Wrap(err, "read answer", address)
	}
	return answer, body, nil
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// fixedReader reads a body of known length and fails if it ends early.
type fixedReader struct {
	r         io.Reader
	remaining int
}

func (f *fixedReader) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		return 0, io.EOF
	}
	n, err := f.r.Read(p[:min(len(p), f.remaining)])
	f.remaining -= n
	if errors.Is(err, io.EOF) && f.remaining > 0 {
		return n, io.ErrUnexpectedEOF
	}
	if f.remaining == 0 {
		return n, io.EOF
	}
	return n, err
}

// isChunked reports whether a body is chunked, given that it is framed.
func isChunked(r io.Reader) bool {
	switch r.(type) {
	case *fixedReader, eofReader:
		return false
	}
	return true
}

// EndsWithConn reports whether only the close of the connection ends the body.
func (a *Answer) EndsWithConn() bool { return !a.framed }

// OnReusedConn reports whether the answer came on a connection that had carried an
// earlier exchange. Without an id it may then be a repeated answer to that exchange.
func (a *Answer) OnReusedConn() bool { return a.conn.reused }

// Via names the host through which the exchange went; empty if it was direct.
func (a *Answer) Via() string { return a.conn.via }

// DisableReuse makes Close close the connection. It is for a peer that broke the
// protocol.
func (a *Answer) DisableReuse() { a.reusable = false }
