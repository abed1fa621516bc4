package routing

import (
	"math"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// trendWindow is the time constant of the exponential moving average. It is
// about the length of a stream, because BetweenTokens is a mean over a stream.
const trendWindow = 6 * time.Second

// Trends tracks how much of the time each engine prefills, as a moving average
// over its load reports. A single report shows only whether prompt tokens wait
// at that moment. It is safe for concurrent use.
type Trends struct {
	mu     sync.Mutex
	trends map[string]*trend // guarded by mu
}

// trend is the moving average of one engine instance. busyWeight and totalWeight
// are the decayed time with waiting prompt tokens and the decayed total time.
type trend struct {
	instance    string
	reportedAt  time.Time
	busyWeight  float64
	totalWeight float64
}

// NewTrends returns a Trends without reports.
func NewTrends() *Trends { return &Trends{trends: map[string]*trend{}} }

// Observe adds a load report that was taken at takenAt by this host's clock. A
// report that is not newer than the previous one is ignored. A new engine
// instance starts a new average.
func (t *Trends) Observe(endpointID string, load endpoint.Load, takenAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.trends[endpointID]
	if tr == nil || tr.instance != load.Instance {
		// The first report of an instance counts for one second.
		tr = &trend{instance: load.Instance, reportedAt: takenAt.Add(-time.Second)}
		t.trends[endpointID] = tr
	}
	if !takenAt.After(tr.reportedAt) {
		return
	}
	decay := math.Exp(-takenAt.Sub(tr.reportedAt).Seconds() / trendWindow.Seconds())
	tr.reportedAt = takenAt
	tr.busyWeight *= decay
	if load.PrefillTokensWaiting > 0 {
		tr.busyWeight += 1 - decay
	}
	tr.totalWeight = tr.totalWeight*decay + 1 - decay
}

// Forget drops the trend of an endpoint that is gone.
func (t *Trends) Forget(endpointID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.trends, endpointID)
}

// PrefillBusy returns the share of recent time, 0 to 1, in which the engine had
// prompt tokens waiting for prefill. It is 0 before the first report.
func (t *Trends) PrefillBusy(endpointID string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.trends[endpointID]
	if tr == nil {
		return 0
	}
	return tr.busyWeight / tr.totalWeight
}
