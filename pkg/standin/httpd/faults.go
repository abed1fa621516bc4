package httpd

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// Outage is how a stand-in that is down treats requests.
type Outage string

// During an outage of any kind, requests take no effect.
const (
	OutageNone Outage = ""
	// OutageUnavailable answers status 503.
	OutageUnavailable Outage = "unavailable"
	// OutageReset resets the connection.
	OutageReset Outage = "reset"
	// OutageSilent never answers and leaves the connection open.
	OutageSilent Outage = "silent"
)

// Faults are the faults that every stand-in supports. The zero value is none.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// SlowMillis delays each request before it takes effect.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// LoseAnswers is the number of following requests that take effect and whose
	// answer is lost; -1 loses all answers.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// FaultInjector holds the faults and applies them. It is safe for concurrent use.
type FaultInjector struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	faults Faults
}

// NewFaultInjector returns a FaultInjector with no faults.
func NewFaultInjector(clock clockwork.Clock) *FaultInjector { return &FaultInjector{clock: clock} }

// Set replaces the current faults.
func (s *FaultInjector) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults with their remaining counts.
func (s *FaultInjector) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ApplyBefore applies the delay and the outage to a request. It returns false if
// the request must not be processed; the handler must then return. closing ends
// the delay early.
func (s *FaultInjector) ApplyBefore(ctx *fasthttp.RequestCtx, closing <-chan struct{}) bool {
	f := s.Faults()
	if f.SlowMillis > 0 {
		select {
		case <-s.clock.After(time.Duration(f.SlowMillis) * time.Millisecond):
		case <-closing:
		}
	}
	switch f.Outage {
	case OutageUnavailable:
		WriteError(ctx, fasthttp.StatusServiceUnavailable, CodeUnavailable, "the service is down")
	case OutageReset:
		Reset(ctx)
	case OutageSilent:
		Mute(ctx)
	default:
		return true
	}
	return false
}

// LoseAnswer closes the connection of a request that took effect, if its answer
// is to be lost. It then returns true, and the handler must return.
func (s *FaultInjector) LoseAnswer(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	lose := s.faults.LoseAnswers != 0
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		CloseWithoutAnswer(ctx)
	}
	return lose
}
