package usage

import (
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
)

// TestFirstStartEndsWithARestore guards against a window that is reported again with other
// figures by a host of the first start that had not read the log before it came back from
// a copy without an era record: all windows seem open to it.
func TestFirstStartEndsWithARestore(t *testing.T) {
	for name, cutOff := range map[string]bool{"cut off since its start": true, "candidate since the restore": false} {
		t.Run(name, func(t *testing.T) {
			cluster := &testCluster{usage: &fakeUsage{random: rand.New(rand.NewSource(1)), figures: map[string]Counts{}}, noPeers: true, firstEra: 1}
			synctest.Test(t, func(t *testing.T) {
				cluster.mem = logservice.NewMemory(clockwork.NewRealClock())
				cluster.mem.SetEra(1)
				first, _ := cluster.startSkewed("a", 1, productTimes, faultlog.Rates{}, disabledGuards{}, 0)
				counted := Flush{Incarnation: "c", Window: windowLength(DefaultWindow).indexOf(time.Now()), Sequence: 1, Teams: map[string]Counts{"t": {Requests: 2}}}
				var second *host
				if cutOff {
					second, _ = cluster.startSkewed("b", 2, productTimes, faultlog.Rates{}, disabledGuards{}, 0)
					second.log.SetDown(true)
					second.reporter.Add("t", Counts{Requests: 2})
				}
				first.reporter.Add("t", Counts{Requests: 1})
				time.Sleep(3 * time.Minute)
				cluster.usage.mu.Lock()
				reports := len(cluster.usage.ops)
				cluster.usage.mu.Unlock()
				if reports == 0 {
					t.Fatal("the first window was not reported")
				}
				cluster.remove(0).kill()
				cluster.mem.Restore(3*time.Minute + time.Second)
				if cutOff {
					second.log.SetDown(false)
				} else {
					// A host hands over counts that it could not deliver before.
					second, _ = cluster.startSkewed("b", 2, productTimes, faultlog.Rates{}, disabledGuards{}, 0)
					second.reporter.AcceptFlushes([]Flush{counted})
				}
				time.Sleep(10 * time.Minute)
				second.close()
			})
			if !porcupine.CheckOperations(model, cluster.usage.ops) {
				for _, op := range cluster.usage.ops {
					t.Logf("%+v", op.Input)
				}
				t.Error("a report was sent with different figures")
			}
		})
	}
}
