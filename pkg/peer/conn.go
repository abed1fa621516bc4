package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/quic-go/quic-go"

	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// peerConn is a connection to another host. Either side may open streams on it.
type peerConn struct {
	conn *quic.Conn
	host string
	// socket is the connection's own UDP socket, nil if the peer dialed.
	socket *dialSocket
	// silent connections get no new requests.
	silent atomic.Bool
	// used is the Unix time in nanoseconds of the last message.
	used atomic.Int64
}

func (pc *peerConn) touch(now time.Time) { pc.used.Store(now.UnixNano()) }

func (pc *peerConn) lastUsed() time.Time { return time.Unix(0, pc.used.Load()) }

func (pc *peerConn) usable() bool { return !pc.silent.Load() && pc.conn.Context().Err() == nil }

// dialSocket is a UDP socket for one dialed connection. A socket of its own
// gives each connection a new flow on the path.
type dialSocket struct {
	udp       *net.UDPConn
	transport *quic.Transport
}

func newDialSocket() (*dialSocket, error) {
	udp, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}
	return &dialSocket{udp: udp, transport: &quic.Transport{Conn: udp}}, nil
}

func (s *dialSocket) close() {
	_ = s.transport.Close()
	_ = s.udp.Close()
}

// remote is a node's state for one other host.
type remote struct {
	host string
	// inFlight bounds own requests.
	inFlight chan struct{}

	mu sync.Mutex
	// conns holds the open connections, newest last. mu guards it and the fields
	// below.
	conns []*peerConn
	// dial is the dial in progress, nil if none.
	dial *dial
	// failures counts dials that failed in a row.
	failures int
	// retryAt is when the backoff ends.
	retryAt time.Time
}

// dial is one dial attempt, for which any number of requests may wait. conn and
// err are set before done is closed.
type dial struct {
	done chan struct{}
	conn *peerConn
	err  error
}

// remote returns the state of a host, creating it if needed.
func (n *Node) remote(host string) *remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.remotes[host]
	if r == nil {
		r = &remote{host: host, inFlight: make(chan struct{}, MaxInFlightPerHost)}
		n.remotes[host] = r
	}
	return r
}

// connections returns all connections of the node.
func (n *Node) connections() []*peerConn {
	n.mu.Lock()
	hosts := make([]*remote, 0, len(n.remotes))
	for _, r := range n.remotes {
		hosts = append(hosts, r)
	}
	n.mu.Unlock()
	var out []*peerConn
	for _, r := range hosts {
		r.mu.Lock()
		out = append(out, r.conns...)
		r.mu.Unlock()
	}
	return out
}

// addConnection registers a connection and starts serving it. If the node is
// closed, it closes the connection and returns false.
func (n *Node) addConnection(pc *peerConn) bool {
	pc.touch(n.opts.Clock.Now())
	r := n.remote(pc.host)
	r.mu.Lock()
	r.conns = append(r.conns, pc)
	r.mu.Unlock()
	if n.spawn(func() { n.serve(r, pc) }) {
		return true
	}
	_ = pc.conn.CloseWithError(0, "host stops")
	n.removeConnection(r, pc)
	return false
}

// removeConnection unregisters a connection that has ended, and keeps its
// statistics in the counters.
func (n *Node) removeConnection(r *remote, pc *peerConn) {
	r.mu.Lock()
	r.conns = slices.DeleteFunc(r.conns, func(other *peerConn) bool { return other == pc })
	r.mu.Unlock()
	n.counters.add(func(c *Counters) { c.addConnectionStats(pc.conn.ConnectionStats()) })
	if pc.socket != nil {
		pc.socket.close()
	}
}

// connection returns a usable connection to r, dialing one if there is none.
// Every error means that nothing was sent.
func (n *Node) connection(ctx context.Context, r *remote) (*peerConn, error) {
	pc, d, err := n.connectionOrDial(r)
	if pc != nil || err != nil {
		return pc, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connectionOrDial returns a usable connection to r or else the dial in progress,
// which it starts if there is none.
func (n *Node) connectionOrDial(r *remote) (*peerConn, *dial, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pc := range slices.Backward(r.conns) {
		if pc.usable() {
			return pc, nil, nil
		}
	}
	if r.dial != nil {
		return nil, r.dial, nil
	}
	if n.opts.Clock.Now().Before(r.retryAt) {
		return nil, nil, ErrBackoff
	}
	d := &dial{done: make(chan struct{})}
	if !n.spawn(func() { n.runDial(r, d) }) {
		return nil, nil, ErrClosed
	}
	r.dial = d
	return nil, d, nil
}

// runDial dials r, records the result and sets the backoff.
func (n *Node) runDial(r *remote, d *dial) {
	pc, err := n.dialHost(r.host)
	if err == nil && !n.addConnection(pc) {
		pc, err = nil, ErrClosed
	}
	d.conn, d.err = pc, steperr.Wrap(err, "dial", r.host)
	n.counters.add(func(c *Counters) {
		c.Dials++
		if err != nil {
			c.DialsFailed++
		}
	})
	r.mu.Lock()
	r.dial = nil
	r.failures++
	if err == nil {
		r.failures = 0
	}
	wait := n.backoff(r.failures)
	r.retryAt = n.opts.Clock.Now().Add(wait)
	r.mu.Unlock()
	close(d.done)
	if err != nil && n.ctx.Err() == nil {
		n.opts.Log.WithFields(log.Fields{"peer": r.host, "error": err.Error(), "retry_in": wait.String()}).Warn("dial of peer failed")
	}
}

// backoff returns the time to wait after a number of failed dials in a row.
func (n *Node) backoff(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	const maxDoublings = 10
	wait := min(BackoffMin<<min(failures-1, maxDoublings), BackoffMax)
	n.mu.Lock()
	defer n.mu.Unlock()
	return wait - time.Duration(n.opts.Rand.Int64N(int64(wait)/2))
}

// dialHost opens a connection to a host from a new local port.
func (n *Node) dialHost(host string) (*peerConn, error) {
	address, ok := n.opts.Resolve(host)
	if !ok {
		return nil, ErrUnknownHost
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	socket, err := newDialSocket()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(n.ctx, RequestTimeout)
	defer cancel()
	conn, err := socket.transport.Dial(ctx, udp, n.opts.TLS.Client(host, Protocol), quicConfig())
	if err != nil {
		socket.close()
		return nil, err
	}
	return &peerConn{conn: conn, host: host, socket: socket}, nil
}
