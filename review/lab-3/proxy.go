package main

import (
	"io"
	"net"
	"sync"
)

// proxy carries TCP connections until it is cut: then nothing passes any more, and nothing is
// closed, as in a network partition.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut chan struct{}
	conns []net.Conn
	// silenced is closed and replaced by silence.
	silenced chan struct{}
}

func newProxy(target string) *proxy {
	p := &proxy{listener: listen(), target: target, isCut: make(chan struct{}), silenced: make(chan struct{})}
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// cut stops all that passes, in both directions, for good.
func (p *proxy) cut() { close(p.isCut) }

// silence makes the connections that are open go silent for good, without a reset. New ones
// work.
func (p *proxy) silence() (connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
	return len(p.conns)
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (p *proxy) cutOff() bool {
	return closed(p.isCut)
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		// It is kept open also when it is not carried.
		p.mu.Lock()
		p.conns = append(p.conns, c)
		silenced := p.silenced
		p.mu.Unlock()
		if p.cutOff() {
			continue
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		go p.carry(c, to, silenced)
		go p.carry(to, c, silenced)
	}
}

func (p *proxy) carry(from, to net.Conn, silenced chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.cutOff() || closed(silenced) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
					return
				}
			}
			_ = to.Close()
			return
		}
	}
}
