package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestBoundedNeverBlocks guards against a request that waits for a blocked log
// output.
func TestBoundedNeverBlocks(t *testing.T) {
	release := make(chan struct{})
	b := NewBounded(blockedWriter{release})
	defer func() { close(release); b.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			_, _ = b.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writing blocked")
	}
	if b.Dropped() == 0 {
		t.Error("no line was dropped")
	}
}

// TestBoundedWritesQueuedLinesAtClose guards against the loss of the last lines
// of a process at shutdown.
func TestBoundedWritesQueuedLinesAtClose(t *testing.T) {
	var out lockedBuffer
	b := NewBounded(&out)
	for range 100 {
		_, _ = b.Write([]byte("line\n"))
	}
	b.Close()
	if n := strings.Count(out.String(), "line\n"); n != 100 {
		t.Errorf("%d of 100 lines were written", n)
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// wholeLineWriter fails the test on a write that is not exactly one line.
type wholeLineWriter struct{ t *testing.T }

func (w wholeLineWriter) Write(p []byte) (int, error) {
	if text := string(p); strings.Count(text, "\n") != 1 || !strings.HasSuffix(text, "\n") {
		w.t.Errorf("write of %q is not one line", text)
	}
	return len(p), nil
}

// TestLinesAreWrittenWhole guards against garbled lines: if a line is written in
// parts, Bounded may drop one of them.
func TestLinesAreWrittenWhole(t *testing.T) {
	logger, err := New(wholeLineWriter{t}, "info", "host-1")
	if err != nil {
		t.Fatal(err)
	}
	logger.WithField("a", 1).WithField("b", "two words").Info("something_happened")
}
