package lease

import (
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
)

// TestHeldSoonAfterARestore guards against a holder that goes on after its claim was lost,
// against a first claim that waits for an earlier holder where there was none, and against
// duties that nobody performs, or that are performed under a lower fencing token, once the
// log has come back from an older copy.
func TestHeldSoonAfterARestore(t *testing.T) {
	const duration, margin, lifetime, readInterval = 3 * time.Second, 700 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond
	// The rest is for the claim's spread and for reading the stream.
	const firstBound, bound = lifetime + 1500*time.Millisecond, duration + margin + lifetime + 1500*time.Millisecond
	for _, seed := range faultlog.Seeds(seedEnv, 20) {
		synctest.Test(t, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			random := rand.New(rand.NewSource(seed))
			mem := logservice.NewMemory(clock)
			mem.SetEra(1)
			var managers []*Manager
			for _, name := range []string{"a", "b", "c"} {
				managers = append(managers, New(Options{Client: mem, Clock: clock, Rand: rand.New(rand.NewSource(random.Int63())), Incarnation: name + "/1", Host: name, Address: name, Keys: []Key{testKey},
					HostAbsentFor: func(string) time.Duration { return 0 }, Duration: duration, Margin: margin, OrderLifetime: lifetime,
					ClaimSpread: 300 * time.Millisecond, ReadOptions: logservice.ReadOptions{MinInterval: readInterval, MaxBackoff: readInterval}}))
			}
			held := func(limit time.Duration) (m *Manager, g Grant) {
				for began := time.Now(); time.Since(began) < limit; time.Sleep(10 * time.Millisecond) {
					for _, m := range managers {
						if g, err := m.Check(testKey); err == nil {
							return m, g
						}
					}
				}
				t.Errorf("%s=%d: no holder within %v", seedEnv, seed, limit)
				return managers[0], Grant{}
			}
			_, last := held(firstBound)
			for range 4 {
				time.Sleep(time.Duration(random.Int63n(int64(10 * time.Second))))
				// The copy may be from before any record.
				mem.Restore(time.Duration(random.Int63n(int64(10 * time.Second))))
				time.Sleep(readInterval)
				for _, m := range managers {
					if _, err := m.Check(testKey); !errors.Is(err, ErrNotHolder) {
						t.Errorf("%s=%d: lease after the restore: %v", seedEnv, seed, err)
					}
				}
				_, g := held(bound)
				if g.Fence <= last.Fence {
					t.Errorf("%s=%d: fencing token %d after %d", seedEnv, seed, g.Fence, last.Fence)
				}
				last = g
			}
			for _, m := range managers {
				m.Close()
			}
		})
	}
}

// TestFencesAreUniqueJSONNumbers guards against a fencing token that loses bits as a JSON
// number, or that a claim of another era has as well.
func TestFencesAreUniqueJSONNumbers(t *testing.T) {
	for _, c := range []struct {
		era, offset, fence int64
		ok                 bool
	}{
		{0, 0, 0, true}, {0, 1 << 40, 1 << 40, true},
		{1, 0, 1 << offsetBits, true}, {2, 5, 2<<offsetBits + 5, true},
		{maxEra, 1<<offsetBits - 1, 1<<53 - 1, true},
		{maxEra + 1, 0, 0, false}, {1, 1 << offsetBits, 0, false}, {1<<62 - 1, 0, 0, false},
	} {
		if fence, ok := fenceOf(c.era, c.offset); ok != c.ok || ok && fence != c.fence {
			t.Errorf("era %d, offset %d: token %d, %v; want %d, %v", c.era, c.offset, fence, ok, c.fence, c.ok)
		}
	}
}
