package usage

import (
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
)

// TestCountsOfRunningWindowOutliveRestore guards against counts that are never reported
// because the log has lost their record, although the host that counted them still runs and
// their window is closed after the restore.
func TestCountsOfRunningWindowOutliveRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{mem: logservice.NewMemory(clockwork.NewRealClock()), usage: &fakeUsage{random: rand.New(rand.NewSource(1)), figures: map[string]Counts{}}, firstEra: 1}
		cluster.mem.SetEra(1)
		h, _ := cluster.startSkewed("a", 1, productTimes, faultlog.Rates{}, disabledGuards{}, 0)
		time.Sleep(5*time.Minute + 5*time.Second)
		h.reporter.Add("t", Counts{Requests: 1})
		time.Sleep(5 * time.Second)
		cluster.mem.Restore(8 * time.Second)
		time.Sleep(10 * time.Minute)
		h.close()
		if len(cluster.usage.ops) == 0 {
			t.Error("the count is not reported")
		}
	})
}
