// Package jsonhttp is a small JSON-over-HTTP client for the platform's
// interfaces and for operator addresses. It never retries a request: only
// callers know which requests may be repeated.
package jsonhttp

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// DefaultTimeout is the default time limit of one request, from connecting to
// the last byte of the response.
const DefaultTimeout = 2 * time.Second

// DefaultMaxBody is the default bound of a response's body, in bytes. It exceeds the largest
// page of a log, 512 records of 256 KiB that are encoded twice in base64. Clients of peers
// that are trusted less, such as engines, set a lower one.
const DefaultMaxBody = 512 << 20

// NotSentError reports that the request was not sent, so that the peer cannot
// have seen it.
type NotSentError struct{ Err error }

// Error implements the error interface.
func (e *NotSentError) Error() string { return "connect: " + e.Err.Error() }

// Unwrap returns e.Err.
func (e *NotSentError) Unwrap() error { return e.Err }

// StatusError is a response with a status outside 200-299.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %.200s", e.Status, e.Body)
}

// Options configure a Client.
type Options struct {
	// Timeout bounds one request; DefaultTimeout if zero.
	Timeout time.Duration
	// TLS enables HTTPS when set. It is called for each new connection, so that
	// replaced keys take effect.
	TLS func() *tls.Config
	// MaxBody bounds the body of a response in bytes; DefaultMaxBody if zero. A larger one
	// is an error that wraps fasthttp.ErrBodyTooLarge.
	MaxBody int
	// FreshConnections opens a connection for each request. With a reused
	// connection that the peer has closed, it would be unknown whether the peer
	// has seen the request.
	FreshConnections bool
}

// Client sends requests to one address. It is safe for concurrent use.
type Client struct {
	address          string
	scheme           string
	timeout          time.Duration
	maxBody          int
	freshConnections bool
	tls              func() *tls.Config
	http             *fasthttp.HostClient

	mu sync.Mutex
	// idlePolls holds the polls that no request uses. It is guarded by mu.
	idlePolls []*poll
}

// New returns a client for address, "IP:port". It opens no connection.
func New(address string, opts Options) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.MaxBody == 0 {
		opts.MaxBody = DefaultMaxBody
	}
	scheme := "http"
	if opts.TLS != nil {
		scheme = "https"
	}
	c := &Client{address: address, scheme: scheme, timeout: opts.Timeout, maxBody: opts.MaxBody, freshConnections: opts.FreshConnections, tls: opts.TLS}
	c.http = c.newHostClient(c.dial, maxConnections)
	return c
}

// maxConnections bounds the connections of one client, except for long polls.
const maxConnections = 1024

func (c *Client) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > c.timeout {
		timeout = c.timeout
	}
	conn, err := dialTLS(addr, timeout, c.tls)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	return &reusableConn{Conn: conn}, nil
}

func (c *Client) newHostClient(dial fasthttp.DialFuncWithTimeout, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: c.address,
		// IsTLS must match the scheme of the requests. dial adds TLS itself,
		// because HostClient would keep one TLS configuration for all
		// connections.
		IsTLS:                     c.tls != nil,
		DialTimeout:               dial,
		MaxConns:                  connections,
		MaxResponseBodySize:       c.maxBody,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                NeverRetry,
		NoDefaultUserAgentHeader:  true,
	}
}

// dialTLS connects within timeout; config may be nil.
func dialTLS(addr string, timeout time.Duration, config func() *tls.Config) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout}
	if config == nil {
		return dialer.Dial("tcp", addr)
	}
	return tls.DialWithDialer(dialer, "tcp", addr, config())
}

// NeverRetry is a fasthttp retry predicate that turns off the client's automatic
// retries.
func NeverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// CloseIdle closes the connections without a request in progress. The client
// stays usable.
func (c *Client) CloseIdle() {
	c.http.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.idlePolls {
		p.http.CloseIdleConnections()
	}
}

// Do sends in as JSON (no body if nil) and decodes a 2xx response into out (the
// body is ignored if nil). The time limit is the client's timeout or the
// deadline of ctx, whichever is earlier; cancelling ctx does not interrupt the
// request. Errors carry the step (method and path) and the peer. The cause is a
// *NotSentError, a *StatusError or another error, after which it is unknown
// whether the peer acted on the request.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	return steperr.Wrap(c.do(ctx, method, path, in, out, c.http, c.timeout), method+" "+path, c.address)
}

// DoWait is Do for a long poll: the peer may hold the request for wait before it
// responds, so the timeout is extended by wait. It returns as soon as ctx ends,
// so that a stopping process does not wait for its polls.
func (c *Client) DoWait(ctx context.Context, method, path string, in, out any, wait time.Duration) error {
	p := c.acquirePoll()
	stop := context.AfterFunc(ctx, p.interrupt)
	err := c.do(ctx, method, path, in, out, p.http, c.timeout+wait)
	if stop() {
		c.releasePoll(p)
	}
	return steperr.Wrap(err, method+" "+path, c.address)
}

func (c *Client) do(ctx context.Context, method, path string, in, out any, hostClient *fasthttp.HostClient, timeout time.Duration) error {
	if err := ctx.Err(); err != nil {
		return &NotSentError{Err: err}
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(method)
	req.SetRequestURI(c.scheme + "://" + c.address + path)
	if c.freshConnections {
		req.SetConnectionClose()
	}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &NotSentError{Err: errors.Wrap(err, "encode request")}
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	err := hostClient.DoTimeout(req, resp, timeout)
	for errors.Is(err, errStaleConn) {
		// HostClient has closed that connection.
		err = hostClient.DoTimeout(req, resp, timeout)
	}
	if err != nil {
		return err
	}
	if code := resp.StatusCode(); code < 200 || code > 299 {
		return &StatusError{Status: code, Body: append([]byte(nil), resp.Body()...)}
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), out), "decode response")
}
