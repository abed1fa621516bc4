package dev

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logging"
)

// TestStopIsPrompt guards against a graceful shutdown of an idle host that waits
// for its long polls of the log service to time out, up to 10 s each.
func TestStopIsPrompt(t *testing.T) {
	cluster, err := Start(t.Context(), Options{Log: logging.Discard(), Clock: clockwork.NewRealClock(), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	cluster.Close()
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("Close took %s, want at most 5s", took)
	}
}
