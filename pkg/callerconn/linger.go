package callerconn

import (
	"time"
)

const (
	// lingerTime bounds how long a connection is read after the refusal of a request
	// that was not read completely. If it were closed at once, the kernel would reset
	// it, and the caller might lose the refusal, which says that the request has not
	// run.
	lingerTime = time.Second
	// lingerIdleTime is how long the caller may send nothing meanwhile.
	lingerIdleTime = 250 * time.Millisecond
	// maxLingering bounds the connections that linger at the same time, and with
	// lingerBufferBytes their memory.
	maxLingering      = 256
	lingerBufferBytes = 4 << 10
)

// linger discards what the caller still sends of a refused request.
func (c *conn) linger() {
	if !c.lingers.Swap(false) {
		return
	}
	tcp := tcpOf(c.Conn)
	lingering := &c.tracker.memory.lingering
	defer lingering.Add(-1)
	if lingering.Add(1) > maxLingering || tcp == nil || tcp.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, lingerBufferBytes)
	end := time.Now().Add(lingerTime)
	for now := time.Now(); now.Before(end); now = time.Now() {
		until := now.Add(lingerIdleTime)
		if until.After(end) {
			until = end
		}
		if tcp.SetReadDeadline(until) != nil {
			return
		}
		if _, err := tcp.Read(buffer); err != nil {
			return
		}
	}
}
