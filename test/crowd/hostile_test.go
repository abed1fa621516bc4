package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// rounds is how often a hostile client opens a connection: again after the host
	// has closed the last one.
	rounds      = 3
	roundPause  = 300 * time.Millisecond
	dialTimeout = 5 * time.Second
	// sendTimeout bounds the sending of one client, settleTime the wait for all of
	// them. A host may leave a client's bytes unread.
	sendTimeout = 20 * time.Second
	settleTime  = 10 * time.Second
	// holdTime is the time after that in which the host handles what was sent and
	// clients whose connections it closed open others.
	holdTime = 2 * time.Second
	// smallBuffer is the receive buffer of clients that don't read.
	smallBuffer = 4 << 10
	// One of finishingClients clients completes its body.
	finishingClients = 8
)

// hostile is one connection of a hostile client.
type hostile struct {
	net.Conn
	target *target
	// number is that of the client in the crowd.
	number int
	// stop is closed when the test ends.
	stop <-chan struct{}
}

// write sends data and reports whether the connection still works.
func (h *hostile) write(data string) bool {
	_, err := io.WriteString(h, data)
	return err == nil
}

// writeTimes sends block count times.
func (h *hostile) writeTimes(block []byte, count int) bool {
	for range count {
		if _, err := h.Write(block); err != nil {
			return false
		}
	}
	return true
}

// chunk returns a chunk of a chunked body.
func chunk(size int) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
}

// stopShort ends a chunked body just before its end, or completes it for a few
// clients.
func (h *hostile) stopShort() {
	if h.number%finishingClients == 0 {
		h.write("0\r\n\r\n")
	} else {
		h.write("0\r\n")
	}
}

// largeChunks sends a body of almost bodyLimit.
func largeChunks(h *hostile) {
	const size = 255 << 10
	if h.write(h.target.head(h.target.order)+"Transfer-Encoding: chunked\r\n\r\n") && h.writeTimes(chunk(size), bodyLimit/size) {
		h.stopShort()
	}
}

// byteChunks sends a body of half bodyLimit in chunks of one byte, which is about
// 12 MB on the wire.
func byteChunks(h *hostile) {
	const perBlock = 8 << 10
	block := bytes.Repeat(chunk(1), perBlock)
	if h.write(h.target.head(h.target.order)+"Transfer-Encoding: chunked\r\n\r\n") && h.writeTimes(block, bodyLimit/2/perBlock) {
		h.stopShort()
	}
}

// declaredTooLong declares a body of 1 GiB and sends part of it.
func declaredTooLong(h *hostile) {
	if h.write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", h.target.head(h.target.order), 1<<30)) {
		h.writeTimes(make([]byte, 64<<10), 4*bodyLimit/(64<<10))
	}
}

// chunkedTooLong sends four times bodyLimit without an end.
func chunkedTooLong(h *hostile) {
	const size = 64 << 10
	if h.write(h.target.head(h.target.order) + "Transfer-Encoding: chunked\r\n\r\n") {
		h.writeTimes(chunk(size), 4*bodyLimit/size)
	}
}

// slowHeaders sends most of headerLimit and then single bytes until the test ends.
func slowHeaders(h *hostile) {
	var b strings.Builder
	b.WriteString(h.target.head(h.target.plain))
	for i := 0; b.Len() < headerLimit*15/16; i++ {
		_, _ = fmt.Fprintf(&b, "X-Filler-%d: %s\r\n", i, strings.Repeat("x", 1000))
	}
	b.WriteString("X-Slow: ")
	if !h.write(b.String()) {
		return
	}
	go func() {
		for {
			select {
			case <-h.stop:
				return
			case <-time.After(500 * time.Millisecond):
				if !h.write("x") {
					return
				}
			}
		}
	}()
}

// silent sends nothing, or for one of four clients nothing after a first request.
func silent(h *hostile) {
	if h.number%4 == 0 && h.write(h.target.whole(h.target.plain)) {
		if resp, err := http.ReadResponse(bufio.NewReader(h), nil); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}
}

// unreadAnswers requests large answers. A host that rejects one for lack of memory
// goes on with the next.
func unreadAnswers(h *hostile) {
	for range 16 {
		h.write(h.target.whole(h.target.bulk))
	}
}

// unreadStream requests a stream.
func unreadStream(h *hostile) { h.write(h.target.whole(h.target.flood)) }

// pipelined sends many requests until the host reads no more.
func pipelined(h *hostile) {
	for range 2000 {
		if !h.write(h.target.whole(h.target.plain)) {
			return
		}
	}
}

// pattern is the behaviour of a crowd.
type pattern struct {
	name    string
	clients int
	// openFiles is the limit of open files of the program.
	openFiles int
	// send sends what a client sends on one connection. It returns when the client
	// has sent everything or the connection has ended.
	send func(*hostile)
	// unread says that the clients read nothing.
	unread bool
}

// crowd is a number of hostile clients with their connections.
type crowd struct {
	target  *target
	pattern pattern
	stop    chan struct{}
	clients sync.WaitGroup
	// opened counts the connections, open those that the clients know as open.
	opened, open atomic.Int64
	mu           sync.Mutex
	conns        []net.Conn // guarded by mu
}

// startCrowd starts the clients, waits until the host has had time to handle what
// they send, and leaves their connections open until the test ends.
func startCrowd(t *testing.T, target *target, p pattern) *crowd {
	c := &crowd{target: target, pattern: p, stop: make(chan struct{})}
	t.Cleanup(c.end)
	var settled sync.WaitGroup
	settled.Add(p.clients)
	for number := range p.clients {
		c.clients.Go(func() {
			settle := sync.OnceFunc(settled.Done)
			defer settle()
			for range rounds {
				c.runRound(number, settle)
				select {
				case <-c.stop:
					return
				case <-time.After(roundPause):
				}
			}
		})
	}
	all := make(chan struct{})
	go func() {
		settled.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(settleTime):
		t.Log("not all clients have sent everything")
	}
	target.process.WaitExit(holdTime)
	return c
}

// runRound opens a connection, sends, and returns when the host has closed it. It
// calls settle when everything has been sent.
func (c *crowd) runRound(number int, settle func()) {
	nc, err := net.DialTimeout("tcp", c.target.address, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	tcp := nc.(*net.TCPConn)
	// A reset at the end leaves no connection in TIME_WAIT.
	_ = tcp.SetLinger(0)
	if c.pattern.unread {
		_ = tcp.SetReadBuffer(smallBuffer)
	}
	c.mu.Lock()
	c.conns = append(c.conns, nc)
	c.mu.Unlock()
	c.opened.Add(1)
	c.open.Add(1)
	defer c.open.Add(-1)
	_ = nc.SetWriteDeadline(time.Now().Add(sendTimeout))
	c.pattern.send(&hostile{Conn: nc, target: c.target, number: number, stop: c.stop})
	settle()
	if c.pattern.unread {
		<-c.stop
		return
	}
	_ = nc.SetWriteDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, nc)
}

// end closes all connections and waits for the clients.
func (c *crowd) end() {
	close(c.stop)
	c.mu.Lock()
	for _, nc := range c.conns {
		_ = nc.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}
