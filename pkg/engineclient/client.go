package engineclient

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// Defaults of Options.
const (
	// DefaultProgressLimit is three missed comment lines of an engine, which
	// sends one a second.
	DefaultProgressLimit = 3 * time.Second
	DefaultDialTimeout   = time.Second
	// DefaultIdleTimeout is below the idle timeout of common servers, so that a
	// reused connection is rarely one that the engine is just closing.
	DefaultIdleTimeout = 10 * time.Second
	DefaultMaxIdle     = 64
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 64 << 10

// RefusedError reports that the engine refused the request before running it.
type RefusedError struct {
	Status int
	Code   string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused the request: %s (status %d)", e.Code, e.Status)
}

// ConnectError reports that no connection could be opened, so that the engine
// has not seen the request.
type ConnectError struct{ Err error }

// Error implements the error interface.
func (e *ConnectError) Error() string { return "connect: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// BrokenError reports a stream that ended before its closing event.
type BrokenError struct {
	// Silent is set when the limit on the time without progress ran out, and
	// clear when the connection was closed or reset.
	Silent bool
	Err    error
}

// Error implements the error interface.
func (e *BrokenError) Error() string {
	if e.Silent {
		return "stream made no progress: " + e.Err.Error()
	}
	return "stream broke: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// Options configure a Client; zero values take the defaults.
type Options struct {
	ProgressLimit time.Duration
	DialTimeout   time.Duration
	IdleTimeout   time.Duration
	MaxIdle       int
	// TLS enables TLS towards engines when set. It is called for each new
	// connection, so that replaced keys are used.
	TLS func() *tls.Config
}

// Client opens streams. It is safe for concurrent use.
type Client struct {
	pool *pool
}

// New returns a client.
func New(opts Options) *Client {
	return &Client{pool: &pool{
		dialTimeout: cmp.Or(opts.DialTimeout, DefaultDialTimeout),
		progress:    cmp.Or(opts.ProgressLimit, DefaultProgressLimit),
		idleTimeout: cmp.Or(opts.IdleTimeout, DefaultIdleTimeout),
		maxIdle:     cmp.Or(opts.MaxIdle, DefaultMaxIdle),
		tls:         opts.TLS,
		idle:        map[string][]*link{},
	}}
}

// Close closes the idle connections; streams that run go on.
func (c *Client) Close() { c.pool.close() }

// Stream is one running request. It is used by one goroutine; Cancel may be
// called from any.
type Stream struct {
	client    *Client
	address   string
	requestID string
	link      *link
	resp      *fasthttp.Response
	lines     *bufio.Reader
	stopWatch func() bool
	finished  bool
}

// Generate starts a stream at the engine at address. It returns once the
// engine has accepted the request. Errors carry the step and the peer; the
// cause is *ConnectError, *RefusedError (both: not run) or *BrokenError. The
// stream ends when ctx does.
func (c *Client) Generate(ctx context.Context, address string, request enginewire.GenerateRequest) (*Stream, error) {
	stream, err := c.generate(ctx, address, request)
	return stream, steperr.Wrap(err, "generate", address)
}

func (c *Client) generate(ctx context.Context, address string, request enginewire.GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &ConnectError{Err: errors.Wrap(err, "encode request")}
	}
	for {
		l, err := c.pool.get(ctx, address)
		if err != nil {
			return nil, &ConnectError{Err: err}
		}
		stream, err := c.open(ctx, l, address, request.RequestID, body)
		if err == nil {
			return stream, nil
		}
		_ = l.conn.Close()
		var broken *BrokenError
		if errors.As(err, &broken) && l.reused && ctx.Err() == nil {
			// The engine most likely closed the idle connection. A generation
			// has no effect outside the engine, so that opening it again on a
			// new connection wastes work at worst.
			c.pool.dropIdle(address)
			continue
		}
		return nil, err
	}
}

func (c *Client) open(ctx context.Context, l *link, address, requestID string, body []byte) (*Stream, error) {
	s := &Stream{client: c, address: address, requestID: requestID, link: l}
	s.stopWatch = context.AfterFunc(ctx, func() { _ = l.conn.Close() })

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + enginewire.PathGenerate)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := req.Write(l.w); err != nil {
		return nil, s.broken(err)
	}
	if err := l.w.Flush(); err != nil {
		return nil, s.broken(err)
	}

	s.resp = fasthttp.AcquireResponse()
	s.resp.StreamBody = true
	if err := s.resp.Read(l.r); err != nil {
		return nil, s.broken(err)
	}
	if status := s.resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, s.refused(status)
	}
	s.lines = bufio.NewReaderSize(s.resp.BodyStream(), 4096)
	return s, nil
}

func (s *Stream) refused(status int) error {
	var refusal enginewire.Refusal
	body := make([]byte, 4096)
	n, _ := s.resp.BodyStream().Read(body)
	_ = json.Unmarshal(body[:n], &refusal)
	s.release(false)
	if status >= 500 && refusal.Code == "" {
		return &BrokenError{Err: errors.Errorf("status %d", status)}
	}
	return &RefusedError{Status: status, Code: refusal.Code}
}

func (s *Stream) broken(err error) error {
	s.release(false)
	var netErr net.Error
	silent := errors.As(err, &netErr) && netErr.Timeout()
	if silent {
		s.client.pool.dropIdle(s.address)
	}
	return &BrokenError{Silent: silent, Err: err}
}

// Next returns the next event. After the closing event the stream is finished
// and must not be read again. Errors carry the step and the peer; the cause is
// a *BrokenError.
func (s *Stream) Next() (enginewire.Event, error) {
	event, err := s.next()
	return event, steperr.Wrap(err, "read stream", s.address)
}

func (s *Stream) next() (enginewire.Event, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return enginewire.Event{}, s.broken(err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		var event enginewire.Event
		if err := json.Unmarshal(data, &event); err != nil {
			return enginewire.Event{}, s.broken(errors.Wrap(err, "decode event"))
		}
		if event.RequestID != s.requestID {
			return enginewire.Event{}, s.broken(errors.Errorf("event of another request %q", event.RequestID))
		}
		if event.Done {
			s.drain()
		}
		return event, nil
	}
}

func (s *Stream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, isPrefix, err := s.lines.ReadLine()
		if err != nil {
			return nil, err
		}
		if line == nil && !isPrefix {
			return part, nil
		}
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if !isPrefix {
			return line, nil
		}
	}
}

// drain reads to the end of the answer, so that the connection can be reused.
func (s *Stream) drain() {
	for {
		if _, err := s.readLine(); err != nil {
			s.release(errors.Is(err, io.EOF))
			return
		}
	}
}

// Cancel ends the stream: the connection is closed, by which the engine knows
// that nobody reads the answer.
func (s *Stream) Cancel() { _ = s.link.conn.Close() }

// Close releases the stream. A stream that is not finished is cancelled.
func (s *Stream) Close() { s.release(false) }

func (s *Stream) release(reusable bool) {
	if s.finished {
		return
	}
	s.finished = true
	notCancelled := s.stopWatch == nil || s.stopWatch()
	if reusable && notCancelled && !s.resp.Header.ConnectionClose() {
		s.client.pool.put(s.address, s.link)
	} else {
		_ = s.link.conn.Close()
	}
	// The response is not given back to its pool: its body stream may still be
	// referenced by a reader that was interrupted by Cancel.
}
