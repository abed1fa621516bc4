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
}

func newProxy(target string) *proxy {
	p := &proxy{listener: listen(), target: target, isCut: make(chan struct{})}
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// cut stops all that passes, in both directions, for good.
func (p *proxy) cut() { close(p.isCut) }

func (p *proxy) cutOff() bool {
	select {
	case <-p.isCut:
		return true
	default:
		return false
	}
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
		p.mu.Unlock()
		if p.cutOff() {
			continue
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		go p.carry(c, to)
		go p.carry(to, c)
	}
}

func (p *proxy) carry(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.cutOff() {
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
