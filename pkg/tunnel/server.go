package tunnel

import (
	"bufio"
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// requestTimeout bounds the arrival of the line that asks for a tunnel.
	requestTimeout = time.Second
	// maxOpenTimeout bounds the opening of a connection to an endpoint.
	maxOpenTimeout = 350 * time.Millisecond
	// ackTimeout is how long the endpoint may leave all bytes that are on their way to it
	// unacknowledged. It ends before the kernel gives the connection up: after that it cannot
	// be reset any more, and what the network holds up would arrive later.
	ackTimeout       = 2 * time.Second
	ackCheckInterval = ackTimeout / 8
	// probeInterval and probeCount bound how long an asking host that has vanished keeps an
	// endpoint waiting for more of a request.
	probeInterval = time.Second
	probeCount    = 3
	// lifeMargin is added to the time that the asking host grants a tunnel. That host
	// ends it first unless it has stopped.
	lifeMargin = time.Second
	// defaultLife bounds a tunnel for which the asking host states no time.
	defaultLife = time.Minute
)

// ServerOptions configure a Server. All fields must be set.
type ServerOptions struct {
	// MaxTunnels bounds the tunnels that are carried at the same time.
	MaxTunnels int
	// Check returns Opened if a connection to the endpoint may be opened, or why not.
	Check func(address string) Outcome
	// Sound reports whether this host has reached an endpoint lately.
	Sound func() bool
	// Dial opens a direct connection to an endpoint.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnAnswer is called with the beginning of what an endpoint answers, each time that
	// more has arrived, until it reports that it has seen enough. It must not keep head.
	OnAnswer func(address string, head []byte) (done bool)
}

// Server carries the tunnels of other hosts. Its methods are safe for concurrent use.
type Server struct {
	opts     ServerOptions
	stopping atomic.Bool
	wg       sync.WaitGroup
	// served counts the tunnels that were opened, refused the requests that were not, by
	// their outcome.
	served  expvar.Int
	refused expvar.Map

	mu sync.Mutex
	// The fields below are guarded by mu. open holds the tunnels that are carried or being
	// opened, closed says that no further ones begin.
	open   map[*tunnel]struct{}
	closed bool
}

// NewServer returns a server that Serve starts.
func NewServer(opts ServerOptions) *Server {
	return &Server{opts: opts, open: map[*tunnel]struct{}{}}
}

// Served returns how many tunnels were opened, and how many requests were refused by their
// outcome.
func (s *Server) Served() (opened *expvar.Int, refused *expvar.Map) { return &s.served, &s.refused }

// Open returns the number of tunnels that are carried.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Serve accepts tunnels until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			return errors.Wrap(err, "accept tunnel")
		}
		if t := (&tunnel{server: s, asking: nc}); !s.start(t) {
			s.refuse(nc, Busy)
		}
	}
}

// Stop makes the server refuse further tunnels. Those that are open go on.
func (s *Server) Stop() { s.stopping.Store(true) }

// Close resets the tunnels that are open and waits for their end. The listener must be
// closed before.
func (s *Server) Close() {
	s.Stop()
	s.mu.Lock()
	s.closed = true
	for t := range s.open {
		t.reset()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// start serves a tunnel in the background, unless there is no room for it.
func (s *Server) start(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open) >= s.opts.MaxTunnels {
		return false
	}
	s.open[t] = struct{}{}
	s.wg.Go(func() {
		defer s.remove(t)
		t.serve()
	})
	return true
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
}

// refuse answers that no tunnel is opened, and closes the connection. It does not block:
// the answer fits into the send buffer of a new connection.
func (s *Server) refuse(nc net.Conn, outcome Outcome) {
	s.refused.Add(string(outcome), 1)
	_ = nc.SetWriteDeadline(time.Now().Add(requestTimeout))
	_ = writeLine(nc, openAnswer{Outcome: outcome, Unsure: !s.opts.Sound()})
	_ = nc.Close()
}

// probeAskingHost makes the kernel find out that the asking host has vanished. It sets no
// TCP_USER_TIMEOUT, which would also end a tunnel whose caller reads slowly.
func probeAskingHost(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount})
	}
}

// accept reads the request for a tunnel and opens the connection to the endpoint.
func (s *Server) accept(nc net.Conn) (r *bufio.Reader, endpoint net.Conn, req openRequest, outcome Outcome) {
	_ = nc.SetDeadline(time.Now().Add(requestTimeout))
	r = bufio.NewReaderSize(nc, maxLineBytes)
	if err := readLine(r, &req); err != nil {
		return nil, nil, req, Invalid
	}
	if s.stopping.Load() {
		return nil, nil, req, Stopping
	}
	if outcome := s.opts.Check(req.Address); outcome != Opened {
		return nil, nil, req, outcome
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(time.Duration(req.OpenMillis)*time.Millisecond, maxOpenTimeout))
	defer cancel()
	endpoint, err := s.opts.Dial(ctx, req.Address)
	switch {
	case err == nil:
		return r, endpoint, req, Opened
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil, req, Refused
	}
	if outcome := s.opts.Check(req.Address); outcome == CutOff {
		return nil, nil, req, CutOff
	}
	return nil, nil, req, NoAnswer
}
