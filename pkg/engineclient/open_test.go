package engineclient

import (
	"net"
	"testing"
)

// TestIdleConnectionsAreBoundedInTotal guards against idle connections to many engines
// that take all descriptors, although there are few to each.
func TestIdleConnectionsAreBoundedInTotal(t *testing.T) {
	c := New(Options{MaxOpen: 3})
	t.Cleanup(c.Close)
	var addresses []string
	var inUse []*pooledConn
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		addresses = append(addresses, l.Addr().String())
		pc, err := c.pool.get(t.Context(), l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		inUse = append(inUse, pc)
	}
	for i, pc := range inUse {
		c.pool.put(addresses[i], pc)
	}
	if pc := c.pool.takeIdle(addresses[1]); pc != inUse[1] {
		t.Fatal("the idle connection is not used again")
	}
	if _, err := c.pool.get(t.Context(), addresses[1]); err != nil {
		t.Fatal(err)
	}
	if c.pool.takeIdle(addresses[0]) != nil {
		t.Error("the connection that was idle longest is still kept")
	}
	if open, closed := c.Open(); open != 3 || closed != 1 {
		t.Errorf("%d open connections, %d closed for room, want 3 and 1", open, closed)
	}
}
