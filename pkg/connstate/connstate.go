// Package connstate reports the state of an open connection without consuming
// data from it and without blocking.
package connstate

import (
	"net"
	"syscall"
)

// State is the state of a connection.
type State int

// States of a connection. An Idle one is open with nothing to read, a Readable
// one has data to read. A Closed one was closed by the peer or has failed.
const (
	Idle State = iota
	Readable
	Closed
)

// netConner is implemented by connections that wrap another one, such as
// tls.Conn.
type netConner interface{ NetConn() net.Conn }

// Of returns the state of the socket under conn. A peer that has only shut down
// its sending side counts as closed, as in other HTTP servers. A connection
// without a socket counts as idle.
func Of(conn net.Conn) State {
	sc, ok := socket(conn).(syscall.Conn)
	if !ok {
		return Idle
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
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
