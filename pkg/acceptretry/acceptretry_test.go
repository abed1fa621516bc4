package acceptretry

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// scriptedListener fails with err while failing is set, and otherwise waits for a
// connection.
type scriptedListener struct {
	net.Listener
	err     error
	failing atomic.Bool
	tries   atomic.Int64
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.tries.Add(1)
	if l.failing.Load() {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

func newScripted(t *testing.T, err error) *scriptedListener {
	t.Helper()
	inner, listenErr := net.Listen("tcp", "127.0.0.1:0")
	if listenErr != nil {
		t.Fatal(listenErr)
	}
	t.Cleanup(func() { _ = inner.Close() })
	l := &scriptedListener{Listener: inner, err: err}
	l.failing.Store(true)
	return l
}

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// TestTemporaryErrorsAreRetried guards against a listener that ends at an error which
// passes, and against a host that stays unready once it can accept again, which the
// load balancer would never send a connection to.
func TestTemporaryErrorsAreRetried(t *testing.T) {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		scripted := newScripted(t, cause)
		l := New(scripted, Options{Free: func() bool { return false }})
		accepted := make(chan error, 1)
		go func() {
			conn, err := l.Accept()
			if err == nil {
				_ = conn.Close()
			}
			accepted <- err
		}()
		eventually(t, "three attempts", func() bool { return scripted.tries.Load() >= 3 })
		if !l.Failing() {
			t.Errorf("%v: the listener does not count as failing", cause)
		}
		scripted.failing.Store(false)
		eventually(t, "the listener waits without counting as failing", func() bool { return !l.Failing() })
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := <-accepted; err != nil {
			t.Errorf("%v: accept failed: %v", cause, err)
		}
		if l.Failing() || l.Failures().Value() < 3 {
			t.Errorf("%v: failing %v, %d failures counted", cause, l.Failing(), l.Failures().Value())
		}
		_ = conn.Close()
	}
}

// TestDescriptorIsFreed guards against an accept that waits although a descriptor can
// be freed, and against freeing for other errors.
func TestDescriptorIsFreed(t *testing.T) {
	for cause, want := range map[error]int64{syscall.EMFILE: 1, syscall.ENOBUFS: 0} {
		scripted := newScripted(t, cause)
		var freed atomic.Int64
		l := New(scripted, Options{Free: func() bool {
			freed.Add(1)
			scripted.failing.Store(false)
			return true
		}})
		go func() { _, _ = l.Accept() }()
		eventually(t, "two attempts", func() bool { return scripted.tries.Load() >= 2 })
		if n := freed.Load(); n != want {
			t.Errorf("%v: freed %d times, want %d", cause, n, want)
		}
		scripted.failing.Store(false)
	}
}

// TestOtherErrorsEndTheListener guards against a closed listener that is retried for
// ever, and against a host that counts as able to accept after its listener has ended.
func TestOtherErrorsEndTheListener(t *testing.T) {
	scripted := newScripted(t, syscall.EINVAL)
	l := New(scripted, Options{})
	if _, err := l.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("got %v, want EINVAL", err)
	}
	if !l.Failing() {
		t.Error("the listener has ended and does not count as failing")
	}
	scripted.failing.Store(false)
	_ = scripted.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v, want that the listener is closed", err)
	}
}

// TestAcceptWithoutDescriptors guards against a listener that ends when the process has
// no descriptor left, with the errors that the kernel and the net package return.
func TestAcceptWithoutDescriptors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(inner, Options{})
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	none := limit
	none.Cur = 3
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_ = conn.Close()
		}
		accepted <- err
	}()
	for deadline := time.Now().Add(5 * time.Second); l.Failures().Value() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	failing := l.Failing()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if !failing {
		t.Error("the listener does not count as failing")
	}
	if err := <-accepted; err != nil {
		t.Errorf("accept failed: %v", err)
	}
	if l.Failing() {
		t.Error("the listener counts as failing after an accepted connection")
	}
}

// TestConnectionIsClosedWithoutDescriptors guards against clients that wait in the
// backlog while the process has no descriptor for them, and against a host that counts
// as able to accept because it closes connections.
func TestConnectionIsClosedWithoutDescriptors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(inner, Options{Free: func() bool { return false }})
	accepted := make(chan net.Conn, 10)
	go func() {
		defer close(accepted)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dial()
	served := <-accepted
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
	// The client and the accepted connection need one each, the listener gets none.
	_ = taken[0].Close()
	refused := dial()
	_ = refused.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, readErr := refused.Read(make([]byte, 1))
	eventually(t, "the connection is counted", func() bool { return l.Refused().Value() > 0 })
	failing := l.Failing()
	for _, f := range taken[1:] {
		_ = f.Close()
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if isTimeout(readErr) || readErr == nil {
		t.Errorf("the connection is still open: %v", readErr)
	}
	if !failing {
		t.Error("the listener does not count as failing")
	}
	eventually(t, "the listener can accept", func() bool { return !l.Failing() })
	dial()
	for _, conn := range []net.Conn{served, <-accepted} {
		_ = conn.Close()
	}
	_ = inner.Close()
	for range accepted {
	}
}
