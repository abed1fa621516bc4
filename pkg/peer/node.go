package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"

	"github.com/clementineshed/clementineshed/pkg/steperr"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

// Protocol is the ALPN protocol name of connections between entry hosts.
const Protocol = "clementineshed/1"

// Limits and times of a node. They are constants because hosts of one system
// have to agree on most of them.
const (
	// IdleTimeout ends a connection on which nothing arrives.
	IdleTimeout = 5 * time.Second
	// KeepAlive is the longest time for which a healthy connection sends nothing.
	KeepAlive = time.Second
	// RequestTimeout bounds one request by default, including the dial. It is
	// twice KeepAlive, so that a connection that received nothing meanwhile is
	// known to be silent.
	RequestTimeout = 2 * time.Second
	// MaxTimeout bounds the timeout that a request may ask for.
	MaxTimeout = 30 * time.Second
	// MaxMessageBytes bounds one message. The largest messages are chunks of
	// configuration snapshots.
	MaxMessageBytes = 1 << 20
	// MaxInFlightPerHost bounds the own requests in flight to one host.
	MaxInFlightPerHost = 64
	// MaxServing bounds the incoming messages that are served at the same time.
	MaxServing = 256
	// BackoffMin and BackoffMax bound the wait after a failed dial; it doubles
	// with each failure and is shortened at random by up to half.
	BackoffMin = 100 * time.Millisecond
	BackoffMax = 5 * time.Second
	// UnusedTimeout is the time without a message after which the side that
	// dialed closes a connection. Gossip partners exchange every few seconds and
	// keep theirs; those of former partners end.
	UnusedTimeout = 90 * time.Second
	// sweepInterval is the time between two sweeps for unused connections.
	sweepInterval = 10 * time.Second
)

// TLS provides the configuration of each handshake. *tlsconfig.Source implements
// it.
type TLS interface {
	Server(protocols ...string) *tls.Config
	Client(host string, protocols ...string) *tls.Config
}

// Options configure a Node.
type Options struct {
	// Host is the name of this host. Peers see the name in its certificate.
	Host string
	// Listen is the UDP "IP:port" to listen on.
	Listen string
	TLS    TLS
	// Resolve returns the "IP:port" of a host. It must be safe for concurrent
	// use.
	Resolve func(host string) (address string, ok bool)
	Clock   clockwork.Clock
	// Rand randomizes the backoff. The node uses it under its own lock only.
	Rand *rand.Rand
	Log  log.Interface
}

// Node sends and serves messages. It is safe for concurrent use.
type Node struct {
	opts      Options
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	counters  *counters
	serving   chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	// wg counts every goroutine of the node. Add is called under mu while
	// closed is false.
	wg sync.WaitGroup

	// mu guards the fields below.
	mu       sync.Mutex
	closed   bool
	handlers map[Kind]handler
	remotes  map[string]*remote
}

// Start listens and serves until Close. Handlers are registered on the returned
// node; until then, requests of their kind are answered with CodeNoHandler.
// Errors carry the step and the listen address.
func Start(opts Options) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp", opts.Listen)
	if err != nil {
		return nil, steperr.Wrap(err, "resolve peer listen address", opts.Listen)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "listen for peers", opts.Listen)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(opts.TLS.Server(Protocol), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, steperr.Wrap(err, "listen for peers", opts.Listen)
	}
	n := &Node{
		opts: opts, socket: socket, transport: transport, listener: listener,
		counters: newCounters(),
		serving:  make(chan struct{}, MaxServing),
		handlers: map[Kind]handler{},
		remotes:  map[string]*remote{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	ticker := opts.Clock.NewTicker(sweepInterval)
	n.spawn(n.accept)
	n.spawn(func() { n.sweep(ticker) })
	return n, nil
}

// Address returns the address the node listens on.
func (n *Node) Address() string { return n.socket.LocalAddr().String() }

// Counters returns a snapshot of the node's counters.
func (n *Node) Counters() Counters {
	c := n.counters.snapshot()
	for _, pc := range n.connections() {
		c.Connections++
		c.addConnectionStats(pc.conn.ConnectionStats())
	}
	return c
}

// Close ends all connections and waits for every goroutine, so all handlers have
// returned when it returns. It must not be called from a handler.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	_ = n.listener.Close()
	for _, pc := range n.connections() {
		_ = pc.conn.CloseWithError(0, "host stops")
	}
	n.wg.Wait()
	_ = n.transport.Close()
	_ = n.socket.Close()
}

// spawn runs f in a goroutine that Close waits for. It returns false without
// running f if the node is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
	return true
}

// accept adds incoming connections until the listener closes. The peer is the
// host that its certificate names.
func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		host, err := tlsconfig.Identity(conn.ConnectionState().TLS.PeerCertificates)
		if err != nil {
			_ = conn.CloseWithError(0, "no identity")
			continue
		}
		n.addConnection(&peerConn{conn: conn, host: host})
	}
}

func (n *Node) sweep(ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.Chan():
			n.closeUnused(n.opts.Clock.Now())
		}
	}
}

// closeUnused closes unused connections that this host dialed. The side that did
// not dial closes none, so that it does not close what the other is about to use.
func (n *Node) closeUnused(now time.Time) {
	for _, pc := range n.connections() {
		if pc.socket != nil && now.Sub(pc.lastUsed()) > UnusedTimeout {
			_ = pc.conn.CloseWithError(0, "unused")
		}
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        IdleTimeout,
		KeepAlivePeriod:       KeepAlive,
		HandshakeIdleTimeout:  RequestTimeout,
		MaxIncomingStreams:    MaxInFlightPerHost,
		MaxIncomingUniStreams: MaxInFlightPerHost,
	}
}
