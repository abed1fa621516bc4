package upstream

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/membudget"
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

// The time between two attempts to charge for a piece of a body doubles from
// minMemoryPoll to maxMemoryPoll, because hundreds of answers may wait.
const (
	minMemoryPoll = 10 * time.Millisecond
	maxMemoryPoll = 160 * time.Millisecond
)

// ErrOverBudget reports an answer whose request ended while it waited for memory.
var ErrOverBudget = errors.New("the memory for answers is exhausted")

// budget bounds the bytes of the bodies that are being read.
type budget struct {
	memory *membudget.Budget
	// beyond holds the place of the one body that may be read beyond the budget. It
	// makes sure that the answers to requests that have been sent are completed, however
	// much is held for others.
	beyond chan struct{}
}

// holding is what one body is charged. It is not charged if budget is nil.
type holding struct {
	budget *budget
	held   int64
	// beyond says that the body may be read beyond the budget.
	beyond bool
}

// take charges n bytes. It waits while others hold too much, until done is closed.
func (h *holding) take(n int, done <-chan struct{}) error {
	if h.budget == nil {
		return nil
	}
	m := h.budget.memory
	for poll := minMemoryPoll; ; poll = min(2*poll, maxMemoryPoll) {
		now := time.Now()
		if h.beyond || h.held+int64(n) <= maxPieceBytes {
			// Small answers are not worth the wait.
			m.Force(int64(n), now)
			h.held += int64(n)
			return nil
		}
		if m.TakeAnswer(int64(n), now) {
			h.held += int64(n)
			return nil
		}
		select {
		case h.budget.beyond <- struct{}{}:
			h.beyond = true
			continue
		default:
		}
		m.MakeRoom(int64(n), now)
		select {
		case <-done:
			return ErrOverBudget
		case <-time.After(poll):
		}
	}
}

func (h *holding) release() {
	if h.budget == nil {
		return
	}
	h.budget.memory.Release(h.held, time.Now())
	if h.beyond {
		<-h.budget.beyond
	}
}

// readBounded reads r to its end. It fails if the body exceeds limit, or if done is
// closed while the budget has no room. The body is read in pieces, because a buffer that
// grows leaves its earlier copies to the garbage collector.
func readBounded(r io.Reader, limit int, b *budget, done <-chan struct{}) ([]byte, error) {
	var pieces [][]byte
	read := 0
	h := &holding{budget: b}
	defer h.release()
	var free []byte
	for {
		if len(free) == 0 {
			size := min(max(minPieceBytes, read), maxPieceBytes)
			if err := h.take(size, done); err != nil {
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
	if err := h.take(read, done); err != nil {
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
