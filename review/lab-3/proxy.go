package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// proxy carries TCP connections. While it is cut, nothing passes and nothing is closed, as in a
// network partition; what is sent meanwhile arrives once it is healed.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  bool
}

func newProxy(target string) *proxy {
	p := &proxy{listener: listen(), target: target}
	p.healed = sync.NewCond(&p.mu)
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) cut() { p.set(true) }

func (p *proxy) heal() { p.set(false) }

func (p *proxy) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	p.healed.Broadcast()
}

// pass returns once the proxy is not cut.
func (p *proxy) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut {
		p.healed.Wait()
	}
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *proxy) connect(c net.Conn) {
	p.pass()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go p.carry(c, to)
	p.carry(to, c)
}

func (p *proxy) carry(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			_ = tcp.CloseWrite()
		} else {
			_ = to.Close()
		}
		return
	}
}
