// Package logtest keeps what programs under test write.
package logtest

import (
	"bytes"
	"sync"
)

// Buffer is a bytes.Buffer for concurrent use.
type Buffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer // guarded by mu
}

// Write implements io.Writer.
func (b *Buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

// String returns what was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
