package upstream

import (
	"bufio"
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Bounds of what a peer in trouble may send. Past them the connection is closed and
// the answer counts as broken. The head of an answer, a line of a chunk and a line of
// the trailer are bounded by readBufferBytes.
const (
	// maxInterimAnswers bounds the interim (1xx) answers before the final one.
	maxInterimAnswers = 8
	// maxStrayAnswers and maxStrayBytes bound the answers to earlier requests that
	// are skipped before the awaited one, and the body of each.
	maxStrayAnswers = 2
	maxStrayBytes   = 64 << 10
	// maxTrailerBytes bounds the trailer section after the last chunk.
	maxTrailerBytes = 4 << 10
	// minPieceBytes and maxPieceBytes bound the pieces in which a body is read.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
)

// ErrOverBudget reports an answer that was given up because the answers in memory
// together exceed Options.BodyBudget.
var ErrOverBudget = errors.New("the answers in memory exceed their budget")

// budget bounds the bytes that are held at the same time. A nil budget, or a limit of
// zero, means no bound. It is safe for concurrent use.
type budget struct {
	limit int64
	held  atomic.Int64
}

// take adds n bytes, or reports false if they exceed the limit.
func (b *budget) take(n int) bool {
	if b == nil {
		return true
	}
	if held := b.held.Add(int64(n)); b.limit > 0 && held > b.limit {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

func (b *budget) release(n int) {
	if b != nil {
		b.held.Add(-int64(n))
	}
}

// readBounded reads r to its end. It fails if the body exceeds limit, or if the
// bodies that are being read together exceed the budget. The body is read in pieces,
// because a buffer that grows leaves its earlier copies to the garbage collector.
func readBounded(r io.Reader, limit int, b *budget) ([]byte, error) {
	var pieces [][]byte
	read, taken := 0, 0
	defer func() { b.release(taken) }()
	take := func(n int) error {
		if !b.take(n) {
			return errors.Wrapf(ErrOverBudget, "after %d bytes", read)
		}
		taken += n
		return nil
	}
	var free []byte
	for {
		if len(free) == 0 {
			size := min(max(minPieceBytes, read), maxPieceBytes)
			if err := take(size); err != nil {
				return nil, err
			}
			free = make([]byte, size)
		}
		n, err := r.Read(free)
		if n > 0 {
			pieces = append(pieces, free[:n])
		}
		free = free[n:]
		if read += n; read > limit {
			return nil, errors.Wrapf(ErrIncomplete, "body exceeds %d bytes", limit)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	if err := take(read); err != nil {
		return nil, err
	}
	return bytes.Join(pieces, nil), nil
}

// skipTrailer reads and ignores the trailer section after the last chunk.
func skipTrailer(r *bufio.Reader) error {
	for read := 0; read <= maxTrailerBytes; {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return errors.Wrap(err, "read trailer")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		read += len(line)
	}
	return errors.Errorf("the trailer exceeds %d bytes", maxTrailerBytes)
}
