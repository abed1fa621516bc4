package placement

import (
	"testing"
	"time"
)

// TestEqualPromptsAreServed replays prompts of one size, from which no slope
// can be fitted. It guards against an expected time of NaN, with which every
// later request was refused.
func TestEqualPromptsAreServed(t *testing.T) {
	s := newPrefillSpeed()
	for range 4 * maxSamples {
		s.observe(300, 45*time.Millisecond, 1)
	}
	if got := s.latency + s.prefillTime(300, 1); got < 30*time.Millisecond || got > 60*time.Millisecond {
		t.Errorf("estimated %v for prefills that took 45ms", got)
	}
}
