package logservice

import "testing"

// TestErasFollowTheHighestValidEra guards against answers that state no valid era, or one
// that has been superseded, changing the era of the log.
func TestErasFollowTheHighestValidEra(t *testing.T) {
	var e Eras
	for i, step := range []struct {
		text         string
		want, newest int64
	}{
		{"", 0, 0}, {"3", 3, 3}, {"", 3, 3}, {"x", 3, 3}, {"-1", 3, 3}, {"4", 4, 4}, {"3", 3, 4}, {"99999999999999999999", 4, 4}, {"4", 4, 4},
	} {
		if got := e.Observe(step.text); got != step.want || e.Stats().Newest != step.newest {
			t.Errorf("step %d: Observe(%q) = %d, newest %d; want %d, %d", i, step.text, got, e.Stats().Newest, step.want, step.newest)
		}
	}
	if got := e.Stats(); got.Risen != 1 || got.Invalid != 4 {
		t.Errorf("got %+v, want one rise and four invalid answers", got)
	}
}
