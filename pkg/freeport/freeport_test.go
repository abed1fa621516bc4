package freeport

import "testing"

// TestPortsAreNotSharedWhileTheirOwnersAreDown guards against a port that two processes are
// given because the first one has not bound it at that moment.
func TestPortsAreNotSharedWhileTheirOwnersAreDown(t *testing.T) {
	var a, b allocator
	given := map[int]bool{}
	for range 3 * blockSize {
		for _, allocator := range []*allocator{&a, &b} {
			port, err := allocator.port()
			if err != nil {
				t.Fatal(err)
			}
			if given[port] {
				t.Fatalf("port %d is given twice", port)
			}
			given[port] = true
		}
	}
	for _, lock := range append(a.locks, b.locks...) {
		_ = lock.Close()
	}
}
