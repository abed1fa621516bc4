package descriptors

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// TestShares guards against shares that together exceed the limit, and against a
// limit of 4,100 that does not leave room for 2,100 connections of callers.
func TestShares(t *testing.T) {
	for _, limit := range []int{64, 256, 1024, 4100, 20_000, 1 << 20} {
		s := Divide(limit)
		if used := s.Callers + s.Endpoints + 2*s.Operators + 2*s.Tunnels; used >= limit {
			t.Errorf("limit %d: the shares %+v take %d", limit, s, used)
		}
	}
	if s := Divide(4100); s.Callers < 2100 || s.Callers+s.Endpoints+2*s.Operators+2*s.Tunnels > 3900 {
		t.Errorf("shares %+v of 4100", s)
	}
}

// TestLimit guards against a configured limit above that of the process.
func TestLimit(t *testing.T) {
	process := Limit(0)
	if got := Limit(process + 1); got != process {
		t.Errorf("limit %d, want that of the process, %d", got, process)
	}
	if got := Limit(50); got != 50 {
		t.Errorf("limit %d, want 50", got)
	}
}

// TestRetry guards against a dial that is given up although a descriptor could be
// freed, and against more than one retry.
func TestRetry(t *testing.T) {
	full := &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	tests := []struct {
		name  string
		freed bool
		errs  []error
		calls int
	}{
		{"success", true, []error{nil}, 1},
		{"freed", true, []error{full, nil}, 2},
		{"full again", true, []error{full, full}, 2},
		{"nothing to free", false, []error{full}, 1},
		{"other error", true, []error{syscall.ECONNREFUSED}, 1},
	}
	for _, test := range tests {
		calls := 0
		_, err := Retry(func() bool { return test.freed }, func() (int, error) {
			calls++
			return 0, test.errs[calls-1]
		})
		if calls != test.calls || !errors.Is(err, test.errs[len(test.errs)-1]) {
			t.Errorf("%s: %d calls, error %v", test.name, calls, err)
		}
	}
}
