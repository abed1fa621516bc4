package once

import (
	"context"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
	"github.com/clementineshed/clementineshed/test/knownred"
)

// TestRestoredLogRunsNoKeyTwice guards against a request that runs again within its period
// because the log came back from an older copy, which lacks the record of its attempt.
func TestRestoredLogRunsNoKeyTwice(t *testing.T) {
	known := knownred.Names(t, "../../KNOWN-RED.txt")
	for name, c := range map[string]struct{ cutOff, newHost bool }{
		"host that has read the attempt": {},
		"host that was cut off":          {cutOff: true},
		"new host":                       {newHost: true},
	} {
		t.Run(name, func(t *testing.T) {
			if known[t.Name()] {
				t.Skip("known red")
			}
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				mem := logservice.NewMemory(clock)
				mem.SetEra(1)
				start := func(name string, seed int64) (*Executor, *faultlog.Client) {
					link := faultlog.New(mem, clock, rand.New(rand.NewSource(seed)), faultlog.Rates{})
					x, err := New(Options{Client: link, Clock: clock, Rand: rand.New(rand.NewSource(seed)), Incarnation: name, Period: testPeriod})
					if err != nil {
						t.Fatal(err)
					}
					return x, link
				}
				runs := 0
				execute := func(x *Executor) {
					_, _ = x.Execute(context.Background(), Request{Team: "t", Key: "k"}, func(context.Context) (Outcome, error) {
						runs++
						return Outcome{Status: 200}, nil
					})
				}
				first, _ := start("a", 1)
				second, link := start("b", 2)
				time.Sleep(5 * time.Second)
				link.SetDown(c.cutOff)
				// A read that waits is answered.
				time.Sleep(2 * logservice.DefaultPollWait)
				execute(first)
				time.Sleep(5 * time.Second)
				first.Close()
				mem.Restore(11 * time.Second)
				link.SetDown(false)
				if c.newHost {
					second.Close()
					second, _ = start("c", 3)
				}
				time.Sleep(5 * time.Second)
				execute(second)
				second.Close()
				if runs != 1 {
					t.Errorf("the request ran %d times", runs)
				}
			})
		})
	}
}
