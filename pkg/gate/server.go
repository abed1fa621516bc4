package gate

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// writeLimitConn limits the time that one write may take without progress, so
// that a caller that reads nothing does not hold a request for ever. The
// server's own WriteTimeout covers a whole answer and would cut long streams.
type writeLimitConn struct {
	net.Conn
	limit time.Duration
}

// NetConn returns the wrapped connection.
func (c *writeLimitConn) NetConn() net.Conn { return c.Conn }

func (c *writeLimitConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

type writeLimitListener struct {
	net.Listener
	limit time.Duration
}

func (l *writeLimitListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeLimitConn{Conn: conn, limit: l.limit}, nil
}

// Listener wraps l with the gate's limits, and with TLS if config is set.
func (g *Gate) Listener(l net.Listener, config *tls.Config) net.Listener {
	l = &writeLimitListener{Listener: l, limit: g.Limits.WriteProgressTime}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return l
}

// Server returns the HTTP server for callers.
func (g *Gate) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               g.Handle,
		ErrorHandler:          g.readError,
		ReadBufferSize:        g.Limits.HeaderBytes,
		MaxRequestBodySize:    g.Limits.BodyBytes,
		ReadTimeout:           g.Limits.RequestReadTime,
		IdleTimeout:           g.Limits.IdleTime,
		Concurrency:           g.Limits.Concurrency,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                quietLogger{},
	}
}

// quietLogger drops the server's own messages about broken connections; the
// gate logs each refused request itself.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// readError answers a request that could not be read.
func (g *Gate) readError(ctx *fasthttp.RequestCtx, err error) {
	r := refusal.NotRun(400, refusal.CodeInvalidRequest, "the request could not be read")
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		r = refusal.NotRun(431, refusal.CodeHeadersTooLarge, "the request headers are too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = refusal.NotRun(413, refusal.CodeBodyTooLarge, "the request body is too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		r = refusal.NotRun(408, refusal.CodeRequestTimeout, "the request did not arrive in time")
	}
	g.writeRefusal(ctx, "none", r.WithCause(err))
	ctx.SetConnectionClose()
}
