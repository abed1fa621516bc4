package httpd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/acceptretry"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// ShutdownTimeout bounds how long Close waits for running requests.
const ShutdownTimeout = time.Second

// MaxRequestBytes bounds a request body. It leaves room for prompts of 100,000
// tokens.
const MaxRequestBytes = 16 << 20

// Server is an HTTP server that tracks its connections. It is safe for
// concurrent use.
type Server struct {
	name    string
	log     log.Interface
	http    *fasthttp.Server
	closing chan struct{}
	done    chan struct{}

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	conns    map[*conn]struct{}
	// holders maps each connection that carries orders to its holder. An entry
	// remains until the connection's handler has returned, even if the
	// connection was reset.
	holders map[net.Conn]string
}

// New returns a server that is not listening yet. name is used in log lines,
// which are dropped if logger is nil.
func New(name string, logger log.Interface, handler fasthttp.RequestHandler) *Server {
	if logger == nil {
		logger = logging.Discard()
	}
	s := &Server{
		name:    name,
		log:     logger,
		closing: make(chan struct{}),
		done:    make(chan struct{}),
		conns:   map[*conn]struct{}{},
		holders: map[net.Conn]string{},
	}
	s.http = &fasthttp.Server{
		Handler:               handler,
		Name:                  name,
		MaxRequestBodySize:    MaxRequestBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		ConnState:             s.connState,
	}
	return s
}

// discardLogger drops fasthttp's log lines, because the faults of a stand-in
// cause connection errors on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Listen binds address ("IP:port", port 0 for any free port) and serves in a
// goroutine that Close waits for. It fails on a server that is closed or already
// listening.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return steperr.Wrap(err, "listen", address)
	}
	s.mu.Lock()
	if s.closed || s.listener != nil {
		s.mu.Unlock()
		_ = listener.Close()
		return steperr.Wrap(errors.New("server is closed or already listening"), "listen", address)
	}
	s.listener = listener
	s.mu.Unlock()
	s.log.WithFields(log.Fields{"standin": s.name, "address": listener.Addr().String()}).Info("listening")
	go func() {
		defer close(s.done)
		_ = s.http.Serve(&trackingListener{Listener: acceptretry.New(listener, acceptretry.Options{Log: s.log}), server: s})
	}()
	return nil
}

// Address returns the bound address, or "" before Listen.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Closing returns a channel that is closed when Close starts, so that waiting
// handlers can return.
func (s *Server) Closing() <-chan struct{} { return s.closing }

// Close stops accepting, waits up to ShutdownTimeout for running requests and
// resets the remaining connections. Further calls have no effect.
func (s *Server) Close() error {
	s.mu.Lock()
	listener := s.listener
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.closing)
	if listener == nil {
		return nil
	}
	// ShutdownWithContext does not end a Serve call that has not registered its
	// listener yet. Closing the listener does.
	_ = listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), ShutdownTimeout)
	defer cancel()
	err := s.http.ShutdownWithContext(ctx)
	for _, c := range s.connsMatching(anyConn) {
		c.reset()
	}
	<-s.done
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "shut down server")
}

// ResetAll resets every open connection except control connections, like the
// crash of a process.
func (s *Server) ResetAll() {
	for _, c := range s.connsMatching(notControl) {
		c.reset()
	}
}

// MuteOpen permanently discards what is written to the open connections, except
// control connections. They stay open. New connections are not affected.
func (s *Server) MuteOpen() {
	for _, c := range s.connsMatching(notControl) {
		c.muted.Store(true)
	}
}

func anyConn(*conn) bool      { return true }
func notControl(c *conn) bool { return !c.control.Load() }

func (s *Server) connsMatching(match func(*conn) bool) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var matching []*conn
	for c := range s.conns {
		if match(c) {
			matching = append(matching, c)
		}
	}
	return matching
}

type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

type conn struct {
	net.Conn
	server *Server
	muted  atomic.Bool
	// control exempts the connection from MuteOpen and ResetAll.
	control atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset instead of a FIN.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// MarkControl marks the connection of ctx as a control connection, which ResetAll
// and MuteOpen leave alone, so that control requests are answered during every
// fault. Callers must use a separate connection for control requests.
func MarkControl(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.control.Store(true)
		c.muted.Store(false)
	}
}

// CloseWithoutAnswer closes the connection of ctx. The handler must return
// afterwards.
func CloseWithoutAnswer(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().Close()
}

// Reset resets the connection of ctx. The handler must return afterwards.
func Reset(ctx *fasthttp.RequestCtx) { ResetConn(ctx.Conn()) }

// ResetConn resets a connection that a handler got from its context.
func ResetConn(c net.Conn) {
	if tracked, ok := c.(*conn); ok {
		tracked.reset()
	}
}

// Mute permanently discards what is written to the connection of ctx, which stays
// open. The handler must return afterwards.
func Mute(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.muted.Store(true)
	}
}
