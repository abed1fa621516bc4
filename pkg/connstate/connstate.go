// Package connstate tells the state of an open connection without reading from
// it and without blocking.
package connstate

import (
	"net"
	"syscall"
)

// State is what a look at a connection shows.
type State int

// States. Quiet connections are open with nothing to read.
const (
	Quiet State = iota
	Readable
	Closed
)

// netConner is implemented by connections that wrap another one, such as
// tls.Conn.
type netConner interface{ NetConn() net.Conn }

// Of peeks at the socket under conn. A peer that has only shut down its sending
// side counts as closed, as in other HTTP servers. Connections without a socket
// count as quiet.
func Of(conn net.Conn) State {
	for {
		inner, ok := conn.(netConner)
		if !ok {
			break
		}
		conn = inner.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Quiet
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
