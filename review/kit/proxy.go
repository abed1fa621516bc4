package main

import (
	"net"
	"sync"
)

// proxy passes connections on. While it is cut it holds all bytes back, also those of
// new connections, and delivers them afterwards.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	gate *sync.Cond
	cut  bool // guarded by mu
}

func startProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	p := &proxy{listener: l, target: target}
	p.gate = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.gate.Broadcast()
}

func (p *proxy) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.gate.Wait()
	}
}

func (p *proxy) serve(c net.Conn) {
	p.wait()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go p.pass(t, c)
	p.pass(c, t)
}

func (p *proxy) pass(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
