package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/membudget"
)

// Bounds of what a peer in trouble may send. Past them the connection is closed and
// the answer counts as broken. The head of an answer, a line of a chunk and a line of
// the trailer are bounded by readBufferBytes.
const (
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

// ErrOverBudget reports an answer whose request ended while it waited for memory.
var ErrOverBudget = membudget.ErrAnswersExceedBudget

// readBounded reads r to its end. It fails if the body exceeds limit, or if done is
// closed while the budget has no room. The body is read in pieces, because a buffer that
// grows leaves its earlier copies to the garbage collector.
func readBounded(r io.Reader, limit int, b *membudget.Answers, done <-chan struct{}) ([]byte, error) {
	var pieces [][]byte
	read := 0
	h := b.Begin()
	defer h.Release()
	var free []byte
	for {
		if len(free) == 0 {
			size := min(max(minPieceBytes, read), maxPieceBytes)
			if err := h.Take(size, done); err != nil {
				return nil, errors.Wrapf(err, "after %d bytes", read)
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
	if err := h.Take(read, done); err != nil {
		return nil, errors.Wrapf(err, "after %d bytes", read)
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
