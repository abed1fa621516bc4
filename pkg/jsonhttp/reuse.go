package jsonhttp

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/httphead"
)

// errStaleConn reports a reused connection that the peer has closed, or on which it has
// sent bytes that belong to no request. Nothing was written to it.
var errStaleConn = errors.New("the idle connection is closed or has unrequested bytes")

// reusableConn is a connection that refuses a further request once it is stale. One
// goroutine at a time reads and writes it.
type reusableConn struct {
	net.Conn
	// answered is set by a read and cleared by a write: the next write begins a request
	// on a connection that has carried another one.
	answered bool
	// statusLine is the beginning of the current answer.
	statusLine []byte
}

// statusLineBytes is how much of an answer is kept to check its status, which fasthttp
// takes for 200 if it is 000.
const statusLineBytes = len("HTTP/1.1 000")

func (c *reusableConn) Read(p []byte) (int, error) {
	c.answered = true
	n, err := c.Conn.Read(p)
	if missing := statusLineBytes - len(c.statusLine); missing > 0 {
		c.statusLine = append(c.statusLine, p[:min(n, missing)]...)
		if httphead.InvalidStatus(c.statusLine) {
			return 0, httphead.ErrInvalidStatus
		}
	}
	return n, err
}

func (c *reusableConn) Write(p []byte) (int, error) {
	if c.answered && connstate.Of(c.Conn) != connstate.Idle {
		return 0, &NotSentError{Err: errStaleConn}
	}
	c.answered, c.statusLine = false, c.statusLine[:0]
	return c.Conn.Write(p)
}

// Handshake lets HostClient see a TLS connection as one. It does nothing on others.
func (c *reusableConn) Handshake() error {
	if conn, ok := c.Conn.(*tls.Conn); ok {
		return conn.Handshake()
	}
	return nil
}
