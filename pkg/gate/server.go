package gate

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/acceptretry"
	"github.com/clementineshed/clementineshed/pkg/callerconn"
)

// closePollInterval is the time between two checks for open connections in a stop.
const closePollInterval = 50 * time.Millisecond

// Listener wraps l with the gate's limits and timeouts, and with TLS if config is set.
func (g *Gate) Listener(l net.Listener, config *tls.Config) net.Listener {
	retrying := acceptretry.New(l, acceptretry.Options{Free: g.FreeDescriptor, Log: g.Log})
	g.accepting.Store(retrying)
	// The server's own WriteTimeout covers the complete answer and would cut off long
	// streams.
	l = g.writes.Listener(retrying)
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return g.conns.Listener(l)
}

// CloseConnections closes idle connections of callers, and the others once they are.
// l is the socket that callers connect to. It waits until all are closed.
func (g *Gate) CloseConnections(l net.Listener) {
	g.conns.Close(l)
	for !g.conns.Done() {
		time.Sleep(closePollInterval)
	}
}

// Server returns the HTTP server for callers, which serves a listener of Listener.
func (g *Gate) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            g.Handle,
		ErrorHandler:       g.handleReadError,
		ConnState:          g.conns.OnStateChange,
		ReadBufferSize:     g.Limits.HeaderBytes,
		MaxRequestBodySize: g.Limits.BodyBytes,
		// The tracker bounds the connections. One that it has closed counts here until its
		// worker has noticed.
		Concurrency:           2 * g.Limits.Concurrency,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// discardLogger drops the server's own messages about broken connections; the
// gate logs each refused request itself.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// handleReadError answers a request that could not be read.
func (g *Gate) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	g.writeRefusal(ctx, "none", callerconn.ReadRefusal(err))
	ctx.SetConnectionClose()
}
