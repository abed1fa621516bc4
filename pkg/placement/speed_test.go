package placement

import (
	"testing"
	"time"
)

// TestEqualPromptsAreServed replays prompts of one size, from which no slope can be
// fitted. It guards against an expected time that is not a number: every request
// was refused from then on.
func TestEqualPromptsAreServed(t *testing.T) {
	s := newSpeed()
	for range 4 * speedSamples {
		s.observe(300, 45*time.Millisecond, 1)
	}
	if got := s.latency + s.reading(300, 1); got < 30*time.Millisecond || got > 60*time.Millisecond {
		t.Errorf("expected %v, each took 45ms", got)
	}
}
