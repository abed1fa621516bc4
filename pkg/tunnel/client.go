package tunnel

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/pathwatch"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

const (
	// helperDialTimeout bounds the opening of the connection to the helping host.
	helperDialTimeout = 350 * time.Millisecond
	// tunnelIdleTimeout is passed to the dialer. A tunnel carries one exchange and is never
	// idle between two.
	tunnelIdleTimeout = time.Second
)

// outcomeError reports that a helping host has opened no connection.
type outcomeError struct {
	host string
	openAnswer
}

// Error implements the error interface.
func (e *outcomeError) Error() string { return "host " + e.host + ": " + string(e.Outcome) }

// Unwrap makes a refused connection look like that of a direct dial.
func (e *outcomeError) Unwrap() error {
	if e.Outcome == Refused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// answerOf returns the answer that an error reports, with an empty outcome if the helping
// host could not be reached.
func answerOf(err error) openAnswer {
	var e *outcomeError
	if errors.As(err, &e) {
		return e.openAnswer
	}
	return openAnswer{}
}

// conn is a connection to an endpoint through another host.
type conn struct {
	net.Conn
	frames frameReader
	via    string
}

// NetConn returns the connection to the helping host, for connstate.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Via implements upstream.Indirect.
func (c *conn) Via() string { return c.via }

// Read implements io.Reader. It returns io.EOF only if the endpoint has ended its side in
// order.
func (c *conn) Read(p []byte) (int, error) { return c.frames.Read(p) }

// dial opens a tunnel through a host. Its error means that no byte has reached the
// endpoint.
func dial(ctx context.Context, h pathwatch.Helper, to target) (net.Conn, error) {
	nc, err := upstream.DialTCP(ctx, h.Address.String(), helperDialTimeout, tunnelIdleTimeout)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %s", h.Host)
	}
	stop := context.AfterFunc(ctx, func() { _ = connstate.Reset(nc) })
	c, err := open(nc, h.Host, to)
	if !stop() && err == nil {
		err = errors.Wrap(context.Cause(ctx), "open tunnel")
	}
	if err != nil {
		_ = connstate.Reset(nc)
		return nil, err
	}
	return c, nil
}

// open does the exchange of lines on a connection to the helping host.
func open(nc net.Conn, host string, to target) (net.Conn, error) {
	req := openRequest{Address: to.address, OpenMillis: maxOpenTimeout.Milliseconds()}
	if !to.until.IsZero() {
		req.LifeMillis = max(1, time.Until(to.until).Milliseconds())
	}
	if err := nc.SetDeadline(time.Now().Add(lostOpenTimeout)); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	if err := writeLine(nc, req); err != nil {
		return nil, errors.Wrapf(err, "ask host %s", host)
	}
	r := bufio.NewReaderSize(nc, maxLineBytes)
	var answer openAnswer
	if err := readLine(r, &answer); err != nil {
		return nil, errors.Wrapf(err, "answer of host %s", host)
	}
	if answer.Outcome != Opened {
		return nil, &outcomeError{host, answer}
	}
	if err := nc.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "reset deadline")
	}
	return &conn{Conn: nc, frames: frameReader{r: r}, via: host}, nil
}
