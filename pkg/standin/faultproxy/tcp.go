package faultproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/acceptretry"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	bufferBytes = 32 << 10
	// maxQueuedChunks bounds the chunks that wait in one direction because of a
	// delay. At the limit the proxy stops reading from the sender.
	maxQueuedChunks = 1024
	dialTimeout     = 2 * time.Second
)

// TCP forwards TCP connections. It is safe for concurrent use.
type TCP struct {
	target   string
	faults   faultSettings
	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	workers  sync.WaitGroup

	mu    sync.Mutex
	conns map[*proxiedConn]struct{}
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	caller    *net.TCPConn
	target    *net.TCPConn
	muted     atomic.Bool
	closeOnce sync.Once
	done      chan struct{}
}

// ListenTCP binds address ("IP:port") and forwards the connections made there to
// target until Close.
func ListenTCP(address, target string) (*TCP, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "listen", address)
	}
	p := &TCP{target: target, listener: acceptretry.New(listener, acceptretry.Options{}), conns: map[*proxiedConn]struct{}{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.workers.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the bound address.
func (p *TCP) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the current faults.
func (p *TCP) SetFaults(f Faults) { p.faults.set(f) }

// Faults returns the current faults with their remaining counts.
func (p *TCP) Faults() Faults { return p.faults.get() }

// MuteOpen permanently discards the data of the open connections in both
// directions. They stay open. New connections are not affected.
func (p *TCP) MuteOpen() {
	for _, pc := range p.openConns() {
		pc.muted.Store(true)
	}
}

// ResetOpen resets the open connections on both sides.
func (p *TCP) ResetOpen() {
	for _, pc := range p.openConns() {
		pc.close(true)
	}
}

// Close resets every connection and waits for the proxy's goroutines.
func (p *TCP) Close() error {
	p.stop()
	err := p.listener.Close()
	p.ResetOpen()
	p.workers.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close listener")
}

func (p *TCP) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*proxiedConn, 0, len(p.conns))
	for pc := range p.conns {
		all = append(all, pc)
	}
	return all
}

func (p *TCP) accept() {
	defer p.workers.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.workers.Add(1)
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *TCP) serve(caller *net.TCPConn) {
	defer p.workers.Done()
	pc := &proxiedConn{caller: caller, done: make(chan struct{})}
	faults := p.faults.get()
	if faults.Refuse {
		pc.close(true)
		return
	}
	if !faults.Cut && !p.dialTarget(pc) {
		pc.close(true)
		return
	}
	p.track(pc)
	defer p.untrack(pc)
	if pc.target == nil {
		p.discardInput(pc)
		return
	}
	p.workers.Add(1)
	go func() {
		defer p.workers.Done()
		p.forward(pc, pc.caller, pc.target, toTarget)
	}()
	p.forward(pc, pc.target, pc.caller, toCaller)
}

func (p *TCP) dialTarget(pc *proxiedConn) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		return false
	}
	pc.target = conn.(*net.TCPConn)
	return true
}

// track registers pc, and closes it if the proxy is closing.
func (p *TCP) track(pc *proxiedConn) {
	p.mu.Lock()
	p.conns[pc] = struct{}{}
	p.mu.Unlock()
	if p.ctx.Err() != nil {
		pc.close(true)
	}
}

func (p *TCP) untrack(pc *proxiedConn) {
	<-pc.done
	p.mu.Lock()
	delete(p.conns, pc)
	p.mu.Unlock()
}

// discardInput discards the data of a caller that connected during a cut.
func (p *TCP) discardInput(pc *proxiedConn) {
	buffer := make([]byte, bufferBytes)
	for {
		if _, err := pc.caller.Read(buffer); err != nil {
			pc.close(false)
			return
		}
	}
}

// close closes both sides, with a TCP reset if reset is set.
func (pc *proxiedConn) close(reset bool) {
	pc.closeOnce.Do(func() {
		for _, c := range []*net.TCPConn{pc.caller, pc.target} {
			if c == nil {
				continue
			}
			if reset {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
		close(pc.done)
	})
}

// chunk is the data of one read, or the end of a direction, and the time at which
// it is due.
type chunk struct {
	data []byte
	due  time.Time
	end  bool
}

// forward copies one direction. Reading and writing run in separate goroutines,
// so that a delay does not limit the throughput.
func (p *TCP) forward(pc *proxiedConn, from, to *net.TCPConn, d direction) {
	chunks := make(chan chunk, maxQueuedChunks)
	p.workers.Add(1)
	go func() {
		defer p.workers.Done()
		defer close(chunks)
		p.readChunks(pc, from, d, chunks)
	}()
	for next := range chunks {
		if !pc.waitUntil(next.due) {
			continue
		}
		if next.end {
			_ = to.CloseWrite()
			if d == toCaller {
				pc.close(false)
			}
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			pc.close(true)
		}
	}
}

// waitUntil waits until due. It returns false if the connection closes first.
func (pc *proxiedConn) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-pc.done:
		return false
	}
}

// readChunks reads until the end of the direction and applies the faults.
func (p *TCP) readChunks(pc *proxiedConn, from *net.TCPConn, d direction, chunks chan<- chunk) {
	for {
		buffer := make([]byte, bufferBytes)
		n, err := from.Read(buffer)
		faults := p.faults.get()
		due := time.Now().Add(faults.delay())
		dropped := pc.muted.Load() || faults.drops(d)
		if n > 0 && !dropped {
			if d == toCaller && p.faults.loseAnswer() {
				pc.close(false)
				return
			}
			chunks <- chunk{data: buffer[:n], due: due}
		}
		if err != nil {
			p.endDirection(pc, err, dropped, due, chunks)
			return
		}
	}
}

// endDirection forwards the end of a direction, or resets the connection after
// any other error. If data is dropped, neither is forwarded.
func (p *TCP) endDirection(pc *proxiedConn, err error, dropped bool, due time.Time, chunks chan<- chunk) {
	switch {
	case dropped:
		<-pc.done
	case isEOF(err):
		chunks <- chunk{end: true, due: due}
	default:
		pc.close(true)
	}
}
