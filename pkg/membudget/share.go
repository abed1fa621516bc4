package membudget

import (
	"container/list"
	"time"
)

type phase int

const (
	// idle shares hold nothing, serving ones a request in flight or an answer that is
	// not being written at the moment.
	idle phase = iota
	reading
	serving
	writing
)

// Share is what one connection holds. Its methods are safe for concurrent use. A nil
// share is charged nothing and never refused.
type Share struct {
	budget  *Budget
	onEvict func(reading bool)

	// All fields below are guarded by budget.mu.
	phase phase
	held  int64
	// since is when the read began, or the last progress of the write.
	since time.Time
	// evicted stays set until the next request. closed is set by Close.
	evicted, closed bool
	// element is the entry in the budget's list of the phase; nil if there is none.
	element *list.Element
}

// Open returns the share of a new connection, or nil if b is nil. onEvict is called
// without locks when the share is evicted. If reading is set, its request must be
// refused, otherwise its answer must be broken off. It must not block.
func (b *Budget) Open(onEvict func(reading bool)) *Share {
	if b == nil {
		return nil
	}
	return &Share{budget: b, onEvict: onEvict}
}

// BeginRead starts a request and charges n bytes for the buffer that it is read into.
// It reports false if the request is refused.
func (s *Share) BeginRead(n int64, now time.Time) bool {
	if s == nil {
		return true
	}
	b := s.budget
	b.mu.Lock()
	s.set(0, now)
	s.evicted = false
	s.enter(reading, now)
	ok, victims := s.grow(n, now)
	b.mu.Unlock()
	notify(victims)
	return ok
}

// Grow raises the charge of a request that is being read to total bytes. It reports
// false if there is no room yet. The shares that it evicts make room only once their
// connections have let go of it, so the caller may ask again soon.
func (s *Share) Grow(total int64, now time.Time) bool {
	if s == nil {
		return true
	}
	b := s.budget
	b.mu.Lock()
	ok, victims := s.grow(total, now)
	b.mu.Unlock()
	notify(victims)
	return ok
}

// grow is Grow without the lock and the calls of onEvict.
func (s *Share) grow(total int64, now time.Time) (bool, []victim) {
	b := s.budget
	if s.evicted || s.closed {
		return false, nil
	}
	more := b.bodyCharge(total) - s.held
	if more <= 0 {
		return true, nil
	}
	limit := b.stats.Limit
	if total <= smallBytes {
		limit += b.reserve()
	}
	if excess := b.stats.Held + more - limit; excess > 0 {
		return false, b.evict(excess, now)
	}
	s.set(s.held+more, now)
	return true, nil
}

// EndRead ends the read of a request, which is charged n bytes from then on. It
// reports false if the request was evicted and must be refused.
func (s *Share) EndRead(n int64, now time.Time) bool {
	if s == nil {
		return true
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.enter(serving, now)
	s.set(n, now)
	return !s.evicted
}

// Refused counts a refusal of the connection's request.
func (s *Share) Refused() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.stats.Refused++
}

// Set changes the charge of a request in flight to n bytes.
func (s *Share) Set(n int64, now time.Time) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.set(n, now)
}

// Writing records that a write of the answer begins or has made progress.
func (s *Share) Writing(now time.Time) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if !s.evicted {
		s.enter(writing, now)
	}
}

// Written records that a write has ended.
func (s *Share) Written(now time.Time) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.phase == writing {
		s.enter(serving, now)
	}
}

// Clear ends the request and its answer and releases what they held.
func (s *Share) Clear(now time.Time) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.set(0, now)
	s.enter(idle, now)
}

// Close releases what the connection holds. No charge is accepted from then on.
func (s *Share) Close(now time.Time) {
	if s == nil {
		return
	}
	s.Clear(now)
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.closed = true
}

// Evicted reports whether the connection's request or answer was evicted.
func (s *Share) Evicted() bool {
	if s == nil {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.evicted
}

// set changes the charge. The budget's lock must be held.
func (s *Share) set(n int64, now time.Time) {
	if s.closed {
		n = 0
	}
	if s.evicted {
		s.budget.leaving += n - s.held
	}
	if n != s.held {
		s.budget.add(n-s.held, now)
	}
	s.held = n
}

// enter changes the phase and the budget's lists. The budget's lock must be held.
func (s *Share) enter(p phase, now time.Time) {
	s.unlist()
	s.phase, s.since = p, now
	if s.evicted || s.closed {
		return
	}
	switch p {
	case reading:
		s.element = s.budget.reading.PushBack(s)
	case writing:
		s.element = s.budget.writing.PushBack(s)
	case idle, serving:
	}
}

func (s *Share) unlist() {
	if s.element == nil {
		return
	}
	if s.phase == reading {
		s.budget.reading.Remove(s.element)
	} else {
		s.budget.writing.Remove(s.element)
	}
	s.element = nil
}
