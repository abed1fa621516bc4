package faultproxy

import (
	"sync"
	"time"
)

// Faults are the faults of a proxy. The zero value is none. UDP ignores Refuse
// and LoseAnswers.
type Faults struct {
	// DelayMillis delays the bytes of each direction.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// DropToTarget and DropToCaller discard the data of one direction. TCP
	// connections stay open.
	DropToTarget bool `json:"drop_to_target,omitempty"`
	DropToCaller bool `json:"drop_to_caller,omitempty"`
	// Cut discards the data of both directions. New TCP connections are accepted
	// but not forwarded.
	Cut bool `json:"cut,omitempty"`
	// Refuse resets new TCP connections.
	Refuse bool `json:"refuse,omitempty"`
	// LoseAnswers is the number of following answers to lose on new or open TCP
	// connections: the caller's data is delivered, and the connection is closed
	// when the first byte of the answer arrives.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// faultSettings holds the current faults. It is safe for concurrent use.
type faultSettings struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultSettings) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *faultSettings) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// loseAnswer reports whether the next answer is lost, and counts it.
func (s *faultSettings) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// direction is the direction of data through the proxy.
type direction bool

const (
	toTarget direction = true
	toCaller direction = false
)

func (f Faults) drops(d direction) bool {
	if d == toTarget {
		return f.Cut || f.DropToTarget
	}
	return f.Cut || f.DropToCaller
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }
