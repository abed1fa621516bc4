package once

import (
	"context"
	"crypto/sha256"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// TestQuietStream guards against a host that starts after the log has truncated
// a quiet stream and then refuses every request for a whole period, although no
// record younger than the period is missing.
func TestQuietStream(t *testing.T) {
	for name, disabled := range map[string]disabledGuards{"markers": {}, "no markers": {markers: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				err := startAfterQuiet(t, disabled)
				if disabled.markers && !errors.Is(err, ErrNotRun) || !disabled.markers && err != nil {
					t.Fatalf("first request of the new host: %v", err)
				}
			})
		})
	}
}

// startAfterQuiet runs one request, leaves the stream idle for five retention
// periods, starts another host and returns the error of its first request.
func startAfterQuiet(t *testing.T, disabled disabledGuards) error {
	const retention = 2 * time.Minute
	clock := clockwork.NewRealClock()
	memory := logservice.NewMemory(clock)
	start := func(name string) *Executor {
		x, err := newExecutor(Options{Client: memory, Clock: clock, Rand: rand.New(rand.NewSource(1)), Incarnation: name, Period: retention / 2}, disabled, nil, false)
		if err != nil {
			t.Fatal(err)
		}
		return x
	}
	execute := func(x *Executor, key string) error {
		_, err := x.Execute(context.Background(), Request{Team: "t", Key: key, Digest: sha256.Sum256([]byte(key))},
			func(context.Context) (Outcome, error) { return Outcome{Status: 201}, nil })
		return err
	}
	first := start("a")
	defer first.Close()
	if err := execute(first, "k"); err != nil {
		t.Fatal(err)
	}
	for range 60 {
		time.Sleep(10 * time.Second)
		memory.TruncateOlderThan(clock.Now().Add(-retention))
	}
	second := start("b")
	defer second.Close()
	time.Sleep(time.Second)
	return execute(second, "l")
}
