package relayhost

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// callerConns tracks the idle connections of callers, which are waiting for a
// request. It is safe for concurrent use.
type callerConns struct {
	mu      sync.Mutex
	idle    map[net.Conn]struct{} // guarded by mu
	closing bool                  // guarded by mu
}

func newCallerConns() *callerConns { return &callerConns{idle: map[net.Conn]struct{}{}} }

// onStateChange is the server's callback for a change in a connection's state.
func (c *callerConns) onStateChange(conn net.Conn, state fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != fasthttp.StateNew && state != fasthttp.StateIdle {
		delete(c.idle, conn)
		return
	}
	c.idle[conn] = struct{}{}
	if c.closing {
		_ = conn.Close()
	}
}

// closeIdle closes the idle connections and returns their number. Connections
// that become idle later are closed as well. The callers send their next
// requests to another host.
func (c *callerConns) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for conn := range c.idle {
		_ = conn.Close()
	}
	return len(c.idle)
}
