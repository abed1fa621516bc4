// Package acceptretry keeps a listener accepting after temporary errors.
//
// Accept fails with EMFILE while the process has no descriptor left. Servers such as
// fasthttp take any error for the end of the listener, and would never accept again.
package acceptretry

import (
	"expvar"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/descriptors"
	"github.com/clementineshed/clementineshed/pkg/logging"
)

const (
	// minDelay and maxDelay bound the wait before the next attempt, which doubles with
	// each failure. Clients wait in the backlog meanwhile.
	minDelay = 5 * time.Millisecond
	maxDelay = 100 * time.Millisecond
	// acceptGrace is how long an attempt must have been running to count as waiting for
	// a connection. An attempt that cannot accept fails at once.
	acceptGrace = 100 * time.Millisecond
)

// temporary lists the errors after which a listener is still usable. Linux passes
// network errors of the new connection on to accept(2).
var temporary = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
	syscall.EINTR, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
}

// Options configure a Listener. All fields are optional.
type Options struct {
	// Free closes a descriptor that can be spared and reports whether there was one.
	// It is called when the process has none left.
	Free func() bool
	// Log receives a line for failed attempts, at most once a second.
	Log log.Interface
}

// Listener retries an Accept that fails with a temporary error. Its methods are safe
// for concurrent use.
type Listener struct {
	net.Listener
	opts     Options
	throttle logging.Throttle
	// failed is set by a failed attempt and cleared by a successful one. attemptAt is
	// when the current attempt began, in Unix nanoseconds; zero if there is none.
	failed    atomic.Bool
	attemptAt atomic.Int64
	failures  expvar.Int
	refused   expvar.Int
	// spare is given up when there is no other descriptor, to accept a connection and
	// close it, so that its client does not wait in the backlog. Only Accept uses it.
	// spent is set while it is given up.
	spare *os.File
	spent atomic.Bool
}

// New returns a listener that accepts from l.
func New(l net.Listener, opts Options) *Listener { return &Listener{Listener: l, opts: opts} }

// Accept implements net.Listener. It returns only errors that are not temporary, and
// timeouts. It must not be called concurrently.
func (l *Listener) Accept() (net.Conn, error) {
	delay := minDelay
	l.openSpare()
	for {
		l.attemptAt.Store(time.Now().UnixNano())
		conn, err := l.Listener.Accept()
		l.attemptAt.Store(0)
		if err == nil {
			if !l.openSpare() {
				_ = conn.Close()
				l.refused.Add(1)
				l.openSpare()
				continue
			}
			l.failed.Store(false)
			return conn, nil
		}
		if isTimeout(err) {
			return nil, err
		}
		l.failed.Store(true)
		if !isTemporary(err) {
			l.closeSpare()
			return nil, err
		}
		l.failures.Add(1)
		if l.opts.Log != nil && l.throttle.Allow() {
			l.opts.Log.WithError(err).WithField("address", l.Addr().String()).WithField("failures", l.failures.Value()).Warn("accept_failed")
		}
		if descriptors.Exhausted(err) && l.opts.Free != nil && l.opts.Free() {
			continue
		}
		if descriptors.Exhausted(err) && l.closeSpare() {
			l.spent.Store(true)
			continue
		}
		time.Sleep(delay)
		delay = min(2*delay, maxDelay)
	}
}

// Failing reports whether the listener cannot accept connections: the last attempt
// has failed, and the current one, if any, does not wait for a connection that can be
// served.
func (l *Listener) Failing() bool {
	if !l.failed.Load() {
		return false
	}
	if l.spent.Load() {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return true
		}
		_ = f.Close()
	}
	at := l.attemptAt.Load()
	return at == 0 || time.Since(time.Unix(0, at)) < acceptGrace
}

// Failures counts the attempts that have failed with a temporary error.
func (l *Listener) Failures() *expvar.Int { return &l.failures }

// Refused counts the connections that were closed because there was no other descriptor.
func (l *Listener) Refused() *expvar.Int { return &l.refused }

// openSpare reports false if there is no descriptor for the spare.
func (l *Listener) openSpare() bool {
	if l.spare != nil {
		return true
	}
	f, err := os.Open(os.DevNull)
	if err != nil {
		return !descriptors.Exhausted(err)
	}
	l.spare = f
	l.spent.Store(false)
	return true
}

// closeSpare reports whether there was a spare.
func (l *Listener) closeSpare() bool {
	if l.spare == nil {
		return false
	}
	_ = l.spare.Close()
	l.spare = nil
	return true
}

func isTemporary(err error) bool {
	for _, t := range temporary {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}

// isTimeout reports whether the deadline of the listener has passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
