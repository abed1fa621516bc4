package configstore

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// scheduleCount is the number of schedules of one run of TestSchedules;
// CONFIGSTORE_SCHEDULES overrides it; CONFIGSTORE_SEED sets the first seed.
const scheduleCount = 60

func envInt(t *testing.T, variable string, fallback int) int {
	text, set := os.LookupEnv(variable)
	if !set {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// runSchedule runs one schedule and returns the simulation with its violations.
// It also checks the operators' history for linearizability.
func runSchedule(seed int64, disabled guards) *sim {
	s := newSim(seed, disabled)
	s.run()
	result := porcupine.CheckOperationsTimeout(model(), s.history(), 20*time.Second)
	if result != porcupine.Ok {
		s.fail("history of the operators: %s", result)
	}
	return s
}

// TestSchedules guards against changes that are lost or accepted twice, against
// a host whose offset decreases, that is ready too early or that differs from
// the log, and against withdrawn keys that stay usable. It runs random schedules
// of faults, changes and withdrawals.
func TestSchedules(t *testing.T) {
	n, first := envInt(t, "CONFIGSTORE_SCHEDULES", scheduleCount), envInt(t, "CONFIGSTORE_SEED", 1)
	var mu sync.Mutex
	ops, usable, refused, restarts, truncated := 0, 0, 0, 0, 0
	t.Run("group", func(t *testing.T) {
		for i := range n {
			t.Run(strconv.Itoa(first+i), func(t *testing.T) {
				t.Parallel()
				s := runSchedule(int64(first+i), guards{})
				for _, e := range s.violations[:min(len(s.violations), 5)] {
					t.Error(e)
				}
				mu.Lock()
				defer mu.Unlock()
				ops += len(s.ops)
				usable, refused, restarts = usable+s.counts.usable, refused+s.counts.refused, restarts+s.counts.restarts
				if page, _ := s.log.memory.Read(t.Context(), "config", s.log.reference.next, 1, 0); page.Oldest > 0 {
					truncated++
				}
			})
		}
	})
	t.Logf("schedules=%d first_seed=%d operations=%d keys_usable=%d keys_refused=%d restarts=%d truncated_logs=%d", n, first, ops, usable, refused, restarts, truncated)
	if usable == 0 || refused == 0 || truncated == 0 || ops < 10*n {
		t.Errorf("schedules cover too little: no usable keys, no refused keys, no truncated log, or too few operations")
	}
}

// TestSchedulesDetectDisabledGuards disables one check of the store at a time
// and requires that some schedule detects the violation. Otherwise a pass of
// TestSchedules would prove nothing about that check.
func TestSchedulesDetectDisabledGuards(t *testing.T) {
	for name, c := range map[string]struct {
		disabled guards
		want     string
	}{
		"conflicts": {guards{conflicts: true}, "history of the operators"},
		"barrier":   {guards{barrier: true}, "history of the operators"},
		"start":     {guards{start: true}, "is ready at offset"},
		"gaps":      {guards{gaps: true}, "differs from the log"},
		"peers":     {guards{newerPeers: true}, "uses key"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const tries = 60
			for seed := int64(1); seed <= tries; seed++ {
				s := runSchedule(seed, c.disabled)
				for _, e := range s.violations {
					if strings.Contains(e, c.want) {
						t.Logf("detected: %s", e)
						return
					}
				}
			}
			t.Errorf("%d schedules did not detect the violation", tries)
		})
	}
}
