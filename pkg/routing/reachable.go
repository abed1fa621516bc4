package routing

import (
	"math"
	"time"
)

// maxLagBehindNewest is how much older than the candidates' newest load report a
// report may be. Engines are polled every 500 ms with a timeout of one second, so
// a larger lag means that the engine missed at least one poll.
const maxLagBehindNewest = 2 * time.Second

// Reachable removes candidates whose load report is much older than the newest
// one. The report of an engine in a partitioned failure domain stops being
// updated, so such an engine is chosen only if the other reports are as old.
//
// It is not part of DefaultRouter; pkg/dispatch adds it as a preference. On
// benchmark traces with a partition it avoids a third of the sends that time out
// just after the partition, but shows no gain in goodput, and goodput is lower
// at the published seed.
type Reachable struct{}

// Filter implements Filter.
func (Reachable) Filter(_ Request, snap *Snapshot, candidates []Candidate) []Candidate {
	newestAge := time.Duration(math.MaxInt64) - maxLagBehindNewest
	for _, c := range candidates {
		newestAge = min(newestAge, snap.Endpoints[c.Index].LoadAge)
	}
	kept := candidates[:0]
	for _, c := range candidates {
		if snap.Endpoints[c.Index].LoadAge <= newestAge+maxLagBehindNewest {
			kept = append(kept, c)
		}
	}
	return kept
}
