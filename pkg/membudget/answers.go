package membudget

import (
	"time"

	"github.com/pkg/errors"
)

// The time between two attempts to charge for a piece of an answer doubles from
// minAnswerPoll to maxAnswerPoll, because hundreds of answers may wait.
const (
	minAnswerPoll = 10 * time.Millisecond
	maxAnswerPoll = 160 * time.Millisecond
	// freeAnswerBytes is the part of an answer that is charged without a wait: small
	// answers are not worth one.
	freeAnswerBytes = 64 << 10
)

// ErrAnswersExceedBudget reports an answer whose request ended while it waited for memory.
var ErrAnswersExceedBudget = errors.New("the memory for answers is exhausted")

// Answers bounds the bytes of the answers that are being read from endpoints. A nil
// value means no bound.
type Answers struct {
	memory *Budget
	// beyond holds the place of the one answer that may be read beyond the budget. It
	// makes sure that the answers to requests that have been sent are completed, however
	// much is held for others.
	beyond chan struct{}
}

// NewAnswers returns a bound by the budget, which may be nil for none.
func NewAnswers(memory *Budget) *Answers {
	return &Answers{memory: memory, beyond: make(chan struct{}, 1)}
}

// Answer is what one answer is charged. Its methods are not safe for concurrent use.
type Answer struct {
	answers *Answers
	held    int64
	beyond  bool
}

// Begin returns the charge of an answer, which the caller must Release.
func (a *Answers) Begin() *Answer { return &Answer{answers: a} }

// Take charges n bytes. It waits while others hold too much, until done is closed.
func (h *Answer) Take(n int, done <-chan struct{}) error {
	if h.answers == nil {
		return nil
	}
	m := h.answers.memory
	for poll := minAnswerPoll; ; poll = min(2*poll, maxAnswerPoll) {
		now := time.Now()
		if h.beyond || h.held+int64(n) <= freeAnswerBytes {
			m.Force(int64(n), now)
			h.held += int64(n)
			return nil
		}
		if m.TakeAnswer(int64(n), now) {
			h.held += int64(n)
			return nil
		}
		select {
		case h.answers.beyond <- struct{}{}:
			h.beyond = true
			continue
		default:
		}
		m.MakeRoom(int64(n), now)
		select {
		case <-done:
			return ErrAnswersExceedBudget
		case <-time.After(poll):
		}
	}
}

// Release ends the charge.
func (h *Answer) Release() {
	if h.answers == nil {
		return
	}
	h.answers.memory.Release(h.held, time.Now())
	h.held = 0
	if h.beyond {
		<-h.answers.beyond
		h.beyond = false
	}
}
