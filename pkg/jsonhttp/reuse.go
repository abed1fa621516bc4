package jsonhttp

import (
	"bufio"
	"crypto/tls"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/httphead"
)

// errStaleConn reports a reused connection that the peer has closed, or on which it has
// sent bytes that belong to no request. Nothing was written to it.
var errStaleConn = errors.New("the idle connection is closed or has unrequested bytes")

// headBufferBytes bounds the head of an answer, as HostClient's own buffer does.
const headBufferBytes = 4096

// headReaders holds the buffers that no answer needs, so that idle connections have none.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headBufferBytes) }}

// reusableConn is a connection that refuses a further request once it is stale, and that
// checks the heads of answers before it returns anything of them. One goroutine at a time
// reads and writes it.
type reusableConn struct {
	net.Conn
	// answered is set by a read and cleared by a write: the next write begins a request
	// on a connection that has carried another one.
	answered bool
	// headChecked says that the head of the final answer has been checked. headBytes is
	// how much of a checked head has not been returned.
	headChecked bool
	headBytes   int
	// buffered reads the connection until the final head and all that came with it have
	// been returned; then it is nil.
	buffered *bufio.Reader
}

func (c *reusableConn) Read(p []byte) (int, error) {
	c.answered = true
	if c.headChecked && c.buffered == nil {
		return c.Conn.Read(p)
	}
	if err := c.checkHead(); err != nil {
		return 0, err
	}
	if c.headBytes > 0 {
		// What follows an interim answer is a head, which is checked first.
		p = p[:min(len(p), c.headBytes)]
	}
	n, err := c.buffered.Read(p)
	c.headBytes = max(0, c.headBytes-n)
	if c.headChecked && c.buffered.Buffered() == 0 {
		c.buffered.Reset(nil)
		headReaders.Put(c.buffered)
		c.buffered = nil
	}
	return n, err
}

// checkHead checks the next head, unless the final one has been checked or an interim one
// has not been returned to its end.
func (c *reusableConn) checkHead() error {
	if c.headChecked || c.headBytes > 0 {
		return nil
	}
	if c.buffered == nil {
		c.buffered = headReaders.Get().(*bufio.Reader)
		c.buffered.Reset(c.Conn)
	}
	status, size, err := httphead.Check(c.buffered)
	c.headChecked, c.headBytes = status >= 200, size
	return err
}

func (c *reusableConn) Write(p []byte) (int, error) {
	if c.answered && (c.buffered != nil || connstate.Of(c.Conn) != connstate.Idle) {
		return 0, &NotSentError{Err: errStaleConn}
	}
	c.answered, c.headChecked = false, false
	return c.Conn.Write(p)
}

// Handshake lets HostClient see a TLS connection as one. It does nothing on others.
func (c *reusableConn) Handshake() error {
	if conn, ok := c.Conn.(*tls.Conn); ok {
		return conn.Handshake()
	}
	return nil
}
