package upstream

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// newBoundedPool returns a pool with at most maxOpen connections.
func newBoundedPool(t *testing.T, maxOpen int) *pool {
	t.Helper()
	c := New(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 24, MaxOpen: maxOpen})
	t.Cleanup(c.Close)
	return &c.pool
}

// listenOnly returns the address of a peer whose connections stay in the backlog.
func listenOnly(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func (p *pool) mustGet(t *testing.T, address string) *conn {
	t.Helper()
	c, err := p.get(t.Context(), address, false)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (p *pool) idleTo(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// TestIdleConnectionsAreBoundedInTotal guards against idle connections to many endpoints
// that take all descriptors, although there are few to each.
func TestIdleConnectionsAreBoundedInTotal(t *testing.T) {
	p := newBoundedPool(t, 3)
	first, second := listenOnly(t), listenOnly(t)
	inUse := []*conn{p.mustGet(t, first), p.mustGet(t, second), p.mustGet(t, second)}
	for _, c := range inUse {
		p.put(c)
	}
	busy := p.mustGet(t, listenOnly(t))
	if a, b, n := p.idleTo(first), p.idleTo(second), p.open.Load(); a != 0 || b != 2 || n != 3 {
		t.Errorf("%d and %d idle connections, %d open, want 0, 2 and 3", a, b, n)
	}
	// Connections in use are not limited, but none is kept above the limit.
	more := []*conn{p.mustGet(t, first), p.mustGet(t, first), p.mustGet(t, first)}
	if n := p.open.Load(); n != 4 {
		t.Errorf("%d open connections, want the 4 in use", n)
	}
	for _, c := range append(more, busy) {
		p.put(c)
	}
	if n := p.open.Load(); n != 3 {
		t.Errorf("%d open connections after use, want 3", n)
	}
}

// TestDialWithoutDescriptors guards against a request that fails for lack of
// descriptors while idle connections hold some.
func TestDialWithoutDescriptors(t *testing.T) {
	p := newBoundedPool(t, 0)
	first, second := listenOnly(t), listenOnly(t)
	p.put(p.mustGet(t, first))
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	low := limit
	low.Cur = 100
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	var taken []*os.File
	for len(taken) < 100 {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		taken = append(taken, f)
	}
	c, err := p.get(t.Context(), second, false)
	_, secondErr := p.get(t.Context(), second, false)
	for _, f := range taken {
		_ = f.Close()
	}
	if restoreErr := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); restoreErr != nil {
		t.Fatal(restoreErr)
	}
	if err != nil {
		t.Fatalf("no connection although an idle one could be closed: %v", err)
	}
	_ = c.Close()
	if p.idleTo(first) != 0 {
		t.Error("the idle connection is still kept")
	}
	if secondErr == nil {
		t.Error("the process had descriptors left, which does not test the retry")
	}
}

// TestIdleConnectionsOfRequest guards against more idle connections to a peer than the
// request allows, which would take the peer's last ones.
func TestIdleConnectionsOfRequest(t *testing.T) {
	p := &pool{idleTimeout: time.Minute, maxIdle: 24, idle: map[string][]*conn{}}
	for range 10 {
		local, remote := net.Pipe()
		t.Cleanup(func() { _ = remote.Close() })
		p.put(&conn{Conn: local, address: "a", maxIdle: 3})
	}
	if n := len(p.idle["a"]); n != 3 {
		t.Errorf("%d idle connections, want 3", n)
	}
}
