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
	"github.com/clementineshed/clementineshed/pkg/httphead"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/retryafter"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// Defaults of Options.
const (
	// DefaultProgressTimeout is three missed comment lines: an engine that has
	// no token to send sends one every second.
	DefaultProgressTimeout = 3 * time.Second
	DefaultDialTimeout     = time.Second
	// DefaultIdleTimeout is below the idle timeout of common servers, so that
	// the engine rarely closes a connection while it is being reused.
	DefaultIdleTimeout = 10 * time.Second
	DefaultMaxIdle     = 64
)

const (
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 64 << 10
	// maxBytesPerEvent bounds what is read from one event to the next: other lines, the
	// framing, and what is read ahead.
	maxBytesPerEvent = 4 * maxEventBytes
)

// RefusedError reports that the engine refused the request before running it.
type RefusedError struct {
	Status int
	Code   string
	// RetryAfter is the time for which the engine wants no further requests; zero if
	// it did not say.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused the request: %s (status %d)", e.Code, e.Status)
}

// ConnectError reports that no connection could be opened or that the request
// could not be encoded. The engine has not seen the request.
type ConnectError struct{ Err error }

// Error implements the error interface.
func (e *ConnectError) Error() string { return "connect: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// BrokenError reports a stream that ended before its last event. The engine may
// have run the request.
type BrokenError struct {
	// TimedOut is set after the progress timeout and clear after any other
	// failure, such as a closed or reset connection.
	TimedOut bool
	Err      error
}

// Error implements the error interface.
func (e *BrokenError) Error() string {
	if e.TimedOut {
		return "stream made no progress: " + e.Err.Error()
	}
	return "stream broke: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// Options configure a Client; zero values take the defaults.
type Options struct {
	// ProgressTimeout bounds the time without a byte read or written.
	ProgressTimeout time.Duration
	DialTimeout     time.Duration
	IdleTimeout     time.Duration
	// MaxIdle bounds the idle connections per address.
	MaxIdle int
	// MaxOpen bounds the open connections: idle ones are closed, the longest idle first,
	// when there would be more. Zero means no bound.
	MaxOpen int
	// TLS enables TLS to engines when set. It is called for each new
	// connection, so that rotated keys take effect.
	TLS func() *tls.Config
}

// Client opens streams. It is safe for concurrent use.
type Client struct {
	pool *pool
}

// New returns a client.
func New(opts Options) *Client {
	return &Client{pool: &pool{
		dialTimeout:     cmp.Or(opts.DialTimeout, DefaultDialTimeout),
		progressTimeout: cmp.Or(opts.ProgressTimeout, DefaultProgressTimeout),
		idleTimeout:     cmp.Or(opts.IdleTimeout, DefaultIdleTimeout),
		maxIdle:         cmp.Or(opts.MaxIdle, DefaultMaxIdle),
		maxOpen:         opts.MaxOpen,
		tls:             opts.TLS,
		idle:            map[string][]*pooledConn{},
	}}
}

// Close closes the idle connections. Running streams continue.
func (c *Client) Close() { c.pool.close() }

// Stream is one running request. It is used by one goroutine; Cancel may be
// called from any.
type Stream struct {
	client            *Client
	address           string
	requestID         string
	pooled            *pooledConn
	resp              *fasthttp.Response
	lines             *bufio.Reader
	stopCloseOnCancel func() bool
	released          bool
}

// Generate starts a stream at the engine at address. It returns once the
// engine has accepted the request. Errors carry the step and the peer; the
// cause is *ConnectError, *RefusedError (both: not run) or *BrokenError. The
// stream ends when ctx does.
//
// onSilence is called when the engine has sent no byte for the progress timeout, and
// returns how much longer to wait for one; zero or nil breaks the stream.
func (c *Client) Generate(ctx context.Context, address string, request enginewire.GenerateRequest, onSilence func() time.Duration) (*Stream, error) {
	stream, err := c.generate(ctx, address, request, onSilence)
	return stream, steperr.Wrap(err, "generate", address)
}

func (c *Client) generate(ctx context.Context, address string, request enginewire.GenerateRequest, onSilence func() time.Duration) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &ConnectError{Err: errors.Wrap(err, "encode request")}
	}
	for {
		pc, err := c.pool.get(ctx, address)
		if err != nil {
			return nil, &ConnectError{Err: err}
		}
		if !pc.reused {
			pc.raw.onSilence = onSilence
		}
		stream, err := c.open(ctx, pc, address, request.RequestID, body)
		if err == nil {
			pc.raw.onSilence = onSilence
			return stream, nil
		}
		pc.abort()
		var broken *BrokenError
		if errors.As(err, &broken) && pc.reused && ctx.Err() == nil {
			// The engine most likely closed the idle connection, or wrote an earlier
			// answer once more. A generation has no effect outside the engine, so
			// sending it again on a new connection at worst wastes work.
			c.pool.dropIdle(address)
			continue
		}
		return nil, err
	}
}

func (c *Client) open(ctx context.Context, pc *pooledConn, address, requestID string, body []byte) (*Stream, error) {
	s := &Stream{client: c, address: address, requestID: requestID, pooled: pc}
	s.stopCloseOnCancel = context.AfterFunc(ctx, pc.abort)
	pc.raw.mayRead = maxBytesPerEvent

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + enginewire.PathGenerate)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := req.Write(pc.w); err != nil {
		return nil, s.broken(err)
	}
	if err := pc.w.Flush(); err != nil {
		return nil, s.broken(err)
	}

	s.resp = fasthttp.AcquireResponse()
	s.resp.StreamBody = true
	if err := httphead.ReadFinal(pc.r, &s.resp.Header); err != nil {
		return nil, s.broken(err)
	}
	// It only attaches the body's reader.
	if err := s.resp.ReadBody(pc.r, 0); err != nil {
		return nil, s.broken(err)
	}
	if status := s.resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, s.refused(status)
	}
	s.lines = bufio.NewReaderSize(s.resp.BodyStream(), 4096)
	return s, nil
}

func (s *Stream) refused(status int) error {
	var body enginewire.Refusal
	data := make([]byte, 4096)
	n, _ := s.resp.BodyStream().Read(data)
	_ = json.Unmarshal(data[:n], &body)
	s.release(false)
	if (status < 400 || status >= 500) && body.Code == "" {
		return &BrokenError{Err: errors.Errorf("status %d without a refusal code", status)}
	}
	if !refusal.Attributable(body.RequestID, s.requestID, s.pooled.reused) {
		return &BrokenError{Err: errors.Errorf("refusal of request %q", body.RequestID)}
	}
	return &RefusedError{Status: status, Code: body.Code, RetryAfter: retryafter.OfResponse(s.resp, time.Now())}
}

func (s *Stream) broken(err error) error {
	s.release(false)
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	if timedOut {
		s.client.pool.dropIdle(s.address)
	}
	return &BrokenError{TimedOut: timedOut, Err: err}
}

// Next returns the next event. It must not be called after the last event.
// Errors carry the step and the peer; the cause is a *BrokenError.
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
		s.pooled.raw.mayRead = maxBytesPerEvent
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

// drain reads the rest of the answer, so that the connection can be reused.
func (s *Stream) drain() {
	for {
		if _, err := s.readLine(); err != nil {
			s.release(errors.Is(err, io.EOF))
			return
		}
	}
}

// Cancel resets the connection, which tells the engine to stop the request and drops
// what has not reached it.
func (s *Stream) Cancel() { s.pooled.abort() }

// Close releases the stream and cancels it if the last event was not read.
func (s *Stream) Close() { s.release(false) }

func (s *Stream) release(reusable bool) {
	if s.released {
		return
	}
	s.released = true
	notCancelled := s.stopCloseOnCancel == nil || s.stopCloseOnCancel()
	switch {
	case !reusable:
		s.pooled.abort()
	case notCancelled && !s.resp.Header.ConnectionClose():
		s.client.pool.put(s.address, s.pooled)
	default:
		_ = s.pooled.conn.Close()
	}
	// The response is not returned to its pool: a reader that Cancel
	// interrupted may still reference its body stream.
}
