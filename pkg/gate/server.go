package gate

import (
	"bytes"
	"crypto/tls"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/acceptretry"
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

// The number of times that a body is held while its request is served. That of a model
// request is decoded, joined to a prompt and encoded for the engine; that of a service
// call is sent from the buffer that it was read into, and copied to be sent.
const (
	modelBodyCopies   = 4
	serviceBodyCopies = 2
)

// admitBody is the server's callback for a request whose head has been read.
func (g *Gate) admitBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	copies := serviceBodyCopies
	if path, _, _ := bytes.Cut(header.RequestURI(), []byte("?")); string(path) == chatPath {
		copies = modelBodyCopies
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: g.conns.AdmitBody(header, g.Limits.BodyBytes, copies)}
}

// Server returns the HTTP server for callers, which serves a listener of Listener.
func (g *Gate) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:        g.Handle,
		ErrorHandler:   g.handleReadError,
		ConnState:      g.conns.OnStateChange,
		HeaderReceived: g.admitBody,
		ReadBufferSize: g.Limits.HeaderBytes,
		// Without ReduceMemoryUsage each idle connection holds a buffer of this size.
		ReduceMemoryUsage: true,
		// A form would be read into temporary files and encoded again.
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           g.Limits.BodyBytes,
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
	g.writeRefusal(ctx, "none", g.conns.ReadRefusal(ctx, err))
	ctx.SetConnectionClose()
}
