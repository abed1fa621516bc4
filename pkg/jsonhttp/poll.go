package jsonhttp

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// errInterrupted reports a poll whose context ended before it was connected.
var errInterrupted = errors.New("long poll interrupted before the connection was open")

// poll is a client with a connection for one long poll at a time. fasthttp does
// not expose which connection a request uses, so each poll has its own client.
type poll struct {
	http *fasthttp.HostClient

	mu sync.Mutex
	// The fields below are guarded by mu.
	conn        net.Conn
	interrupted bool
}

// acquirePoll returns an idle poll, or a new one if there is none.
func (c *Client) acquirePoll() *poll {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idlePolls); n > 0 {
		p := c.idlePolls[n-1]
		c.idlePolls = c.idlePolls[:n-1]
		return p
	}
	p := &poll{}
	p.http = c.newHostClient(func(addr string, timeout time.Duration) (net.Conn, error) {
		conn, err := c.dial(addr, timeout)
		if err != nil {
			return nil, err
		}
		return p.trackConn(conn)
	}, 1)
	return p
}

// releasePoll makes p available for reuse. p must not have been interrupted.
func (c *Client) releasePoll(p *poll) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idlePolls = append(c.idlePolls, p)
}

func (p *poll) trackConn(conn net.Conn) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.interrupted {
		_ = conn.Close()
		return nil, &NotSentError{Err: errInterrupted}
	}
	p.conn = conn
	return conn, nil
}

// interrupt closes the connection, which ends the request on it.
func (p *poll) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interrupted = true
	if p.conn != nil {
		_ = p.conn.Close()
	}
}
