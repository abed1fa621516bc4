package upstream

import (
	"context"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// keepAliveMargin is taken off the idle time that a peer announces: the request
// must arrive before the peer closes the connection.
const keepAliveMargin = 700 * time.Millisecond

var (
	// ErrNoAnswer reports a request that was sent and got no head of an answer
	// within its limit.
	ErrNoAnswer = errors.New("no answer within the limit")
	// ErrBroken reports an answer that ended or failed before its end.
	ErrBroken = errors.New("the answer is incomplete")
)

// Options configure a Client.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleLimit is how long an idle connection is kept if the peer announces
	// nothing shorter; MaxIdle bounds them per address.
	IdleLimit time.Duration
	MaxIdle   int
}

// Client exchanges requests with peers. It is safe for concurrent use.
type Client struct{ pool pool }

// New returns a client. The caller must Close it.
func New(opts Options) *Client {
	return &Client{pool: pool{dialTimeout: opts.DialTimeout, idleLimit: opts.IdleLimit, maxIdle: opts.MaxIdle, idle: map[string][]*conn{}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep() { c.pool.sweep() }

// Drop closes the idle connections to an address, when one connection to it has
// gone silent or the peer is gone.
func (c *Client) Drop(address string) { c.pool.drop(address) }

// Dials returns how many connections were opened or tried.
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
	// framed says that the end of the body is marked, other than by the close
	// of the connection.
	framed    bool
	keep      bool
	whole     bool
	conn      *conn
	pool      *pool
	stopWatch func() bool
	closed    atomic.Bool
}

// Do sends a request and returns the answer once its head has been read. When
// ctx ends, the connection is closed, which cancels the work at the peer. Errors
// carry the step and the peer.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Answer, error) {
	cn, err := c.pool.get(ctx, address, req.Fresh)
	if err != nil {
		return nil, steperr.Wrap(&jsonhttp.NotSentError{Err: err}, "connect", address)
	}
	if err := ctx.Err(); err != nil {
		_ = cn.Close()
		return nil, steperr.Wrap(&jsonhttp.NotSentError{Err: err}, "send request", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	answer, err := c.exchange(ctx, cn, req)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, steperr.Wrap(err, "exchange", address)
	}
	answer.stopWatch, answer.pool = stop, &c.pool
	return answer, nil
}

func (c *Client) exchange(ctx context.Context, cn *conn, req *Request) (*Answer, error) {
	deadline, bounded := ctx.Deadline()
	if err := cn.SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	if _, err := cn.Write(req.encode()); err != nil {
		return nil, errors.Wrap(err, "write request")
	}
	if limit := time.Now().Add(req.HeadLimit); req.HeadLimit > 0 && (!bounded || limit.Before(deadline)) {
		if err := cn.SetReadDeadline(limit); err != nil {
			return nil, errors.Wrap(err, "set limit")
		}
	}
	answer, err := readHead(cn, req.Method)
	if err != nil {
		return nil, err
	}
	if err := cn.SetReadDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	return answer, nil
}

// readHead reads the head of the final answer.
func readHead(cn *conn, method string) (*Answer, error) {
	var head fasthttp.ResponseHeader
	head.SetNoDefaultContentType(true)
	for {
		if err := head.Read(cn.r); err != nil {
			if isTimeout(err) {
				return nil, errors.Wrap(ErrNoAnswer, err.Error())
			}
			return nil, errors.Wrap(err, "read head")
		}
		if head.StatusCode() >= 200 {
			break
		}
	}
	a := &Answer{Status: head.StatusCode(), conn: cn, framed: true}
	for name, value := range head.All() {
		a.Fields = append(a.Fields, Field{string(name), string(value)})
	}
	a.keep = !head.ConnectionClose()
	cn.idleLimit = announcedIdle(a.Fields.Get("Keep-Alive"))
	a.frame(cn, method, &head)
	return a, nil
}

// isTimeout reports whether a read of a head ran out of time; the library has an
// error of its own for it, which is no net.Error.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &netErr) && netErr.Timeout()
}

func (a *Answer) frame(cn *conn, method string, head *fasthttp.ResponseHeader) {
	length := head.ContentLength()
	switch {
	case method == "HEAD" || a.Status == 204 || a.Status == 304:
		a.body, a.whole = eofReader{}, true
	case length >= 0:
		a.body = &fixedReader{r: cn.r, left: length}
	case length == -1:
		a.body = httputil.NewChunkedReader(cn.r)
	default:
		a.body, a.framed, a.keep = cn.r, false, false
	}
}

// announcedIdle reads the timeout parameter of a Keep-Alive field.
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

// Read reads the body. It returns io.EOF after the whole body only; an answer
// that breaks off ends with an error that wraps ErrBroken.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if a.framed && !a.whole && isChunked(a.body) {
			if trailerErr := skipTrailer(a.conn); trailerErr != nil {
				return n, errors.Wrap(ErrBroken, trailerErr.Error())
			}
		}
		a.whole = true
		return n, io.EOF
	default:
		return n, errors.Wrap(ErrBroken, err.Error())
	}
	return n, nil
}

// SetReadLimit bounds the next reads; they fail once limit has passed.
func (a *Answer) SetReadLimit(limit time.Time) error { return a.conn.SetReadDeadline(limit) }

// ReadAll reads the whole body, at most limit bytes.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, errors.Wrapf(ErrBroken, "body exceeds %d bytes", limit)
	}
	return body, nil
}

// Close ends the exchange. After a whole answer the connection is kept for the
// next one, otherwise it is closed, which cancels the work at the peer.
func (a *Answer) Close() {
	if a.closed.Swap(true) {
		return
	}
	if !a.stopWatch() || !a.whole || !a.keep || a.conn.r.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	if a.conn.SetDeadline(time.Time{}) != nil {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.conn)
}

// Fetch sends a request and reads the whole answer, at most limit bytes.
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

// fixedReader reads a body of known length and fails on an early end.
type fixedReader struct {
	r    io.Reader
	left int
}

func (f *fixedReader) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	n, err := f.r.Read(p[:min(len(p), f.left)])
	f.left -= n
	if errors.Is(err, io.EOF) && f.left > 0 {
		return n, io.ErrUnexpectedEOF
	}
	if f.left == 0 {
		return n, io.EOF
	}
	return n, err
}

func isChunked(r io.Reader) bool {
	switch r.(type) {
	case *fixedReader, eofReader:
		return false
	}
	return true
}

// skipTrailer reads the trailer section after the last chunk.
func skipTrailer(cn *conn) error {
	for {
		line, err := cn.r.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.TrimRight(line, "\r\n") == "" {
			return nil
		}
	}
}

// Poison has Close end the connection, because the peer broke the protocol.
func (a *Answer) Poison() { a.keep = false }
