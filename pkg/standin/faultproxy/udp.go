package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// maxDatagramBytes holds the largest UDP payload.
const maxDatagramBytes = 64 << 10

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// UDP forwards datagrams, with one socket to the target for each caller. It
// supports delay, the loss of either direction, cut and mute. It is safe for
// concurrent use.
type UDP struct {
	target  *net.UDPAddr
	faults  faultSettings
	socket  *net.UDPConn
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup

	mu sync.Mutex
	// flows is guarded by mu.
	flows map[string]*flow
}

// flow forwards the datagrams of one caller address.
type flow struct {
	caller *net.UDPAddr
	target *net.UDPConn
	// muted is guarded by UDP.mu.
	muted bool
}

// ListenUDP binds address ("IP:port") and forwards the datagrams that arrive
// there to target until Close.
func ListenUDP(address, target string) (*UDP, error) {
	targetAddress, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, steperr.Wrap(err, "resolve", target)
	}
	bind, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "resolve", address)
	}
	socket, err := net.ListenUDP("udp", bind)
	if err != nil {
		return nil, steperr.Wrap(err, "listen", address)
	}
	p := &UDP{target: targetAddress, socket: socket, flows: map[string]*flow{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.workers.Add(1)
	go p.forwardFromCallers()
	return p, nil
}

// Address returns the bound address.
func (p *UDP) Address() string { return p.socket.LocalAddr().String() }

// SetFaults replaces the current faults.
func (p *UDP) SetFaults(f Faults) { p.faults.set(f) }

// Faults returns the current faults.
func (p *UDP) Faults() Faults { return p.faults.get() }

// MuteOpen permanently discards the datagrams from and to all caller addresses
// seen so far. New addresses are not affected.
func (p *UDP) MuteOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		f.muted = true
	}
}

// Close stops the proxy and waits for its goroutines.
func (p *UDP) Close() error {
	p.stop()
	err := p.socket.Close()
	p.mu.Lock()
	for _, f := range p.flows {
		_ = f.target.Close()
	}
	p.mu.Unlock()
	p.workers.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close socket")
}

// forwardFromCallers forwards the callers' datagrams to the target.
func (p *UDP) forwardFromCallers() {
	defer p.workers.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, caller, err := p.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f, err := p.flowOf(caller)
		if err != nil {
			continue
		}
		p.send(f, toTarget, append([]byte(nil), buffer[:n]...), func(data []byte) { _, _ = f.target.Write(data) })
	}
}

// flowOf returns the flow of caller and starts it if it is new.
func (p *UDP) flowOf(caller *net.UDPAddr) (*flow, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := caller.String()
	if f := p.flows[key]; f != nil {
		return f, nil
	}
	if p.ctx.Err() != nil {
		return nil, p.ctx.Err()
	}
	target, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil, steperr.Wrap(err, "open socket", p.target.String())
	}
	f := &flow{caller: caller, target: target}
	p.flows[key] = f
	p.workers.Add(1)
	go p.forwardFromTarget(f)
	return f, nil
}

// forwardFromTarget forwards the target's datagrams to the caller of f.
func (p *UDP) forwardFromTarget(f *flow) {
	defer p.workers.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := f.target.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The target's port is closed and may open again.
			if !p.pause(time.Millisecond) {
				return
			}
			continue
		}
		p.send(f, toCaller, append([]byte(nil), buffer[:n]...), func(data []byte) { _, _ = p.socket.WriteToUDP(data, f.caller) })
	}
}

// send applies the faults to one datagram and calls write if it is forwarded.
func (p *UDP) send(f *flow, d direction, data []byte, write func([]byte)) {
	faults := p.faults.get()
	p.mu.Lock()
	muted := f.muted
	p.mu.Unlock()
	if muted || faults.drops(d) {
		return
	}
	delay := faults.delay()
	if delay == 0 {
		write(data)
		return
	}
	p.workers.Add(1)
	go func() {
		defer p.workers.Done()
		if p.pause(delay) {
			write(data)
		}
	}()
}

// pause waits for d. It returns false if the proxy closes first.
func (p *UDP) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.ctx.Done():
		return false
	}
}
