package connstate

import "net"

// lingerer is implemented by TCP connections.
type lingerer interface{ SetLinger(sec int) error }

// Reset closes conn with a reset of the socket under it. Bytes that wait in the send
// buffer, such as during a network partition, are dropped instead of sent once the peer
// can be reached again.
func Reset(conn net.Conn) error {
	if tcp, ok := socket(conn).(lingerer); ok {
		// If it fails, Close still closes the connection in order.
		_ = tcp.SetLinger(0)
	}
	return conn.Close()
}

// socket returns the connection under those that wrap another one.
func socket(conn net.Conn) net.Conn {
	for {
		inner, ok := conn.(netConner)
		if !ok {
			return conn
		}
		conn = inner.NetConn()
	}
}
