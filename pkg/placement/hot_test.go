package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// hotParts returns the usual load and, each second, a new shared part that many
// requests use at once.
func hotParts(seed uint64, length time.Duration, uses int) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	background := workload{rng: rng}.arrivals(length)
	var out []arrival
	next := time.Second
	own := uint64(1 << 50)
	for _, a := range background {
		for a.at >= next {
			hot := uint64(1<<45) + uint64(next/time.Second)
			for i := range uses {
				own++
				out = append(out, arrival{next + time.Duration(i)*300*time.Millisecond/time.Duration(uses), prompt(Part{hot, 13_300}, Part{own, 1000})})
			}
			next += time.Second
		}
		if rng.Float64() < 0.6 {
			out = append(out, a)
		}
	}
	return out
}

// TestReplayNewSharedPart replays new shared parts that 30 requests use within 300 ms.
// It guards against requests that queue at the one engine that computes the part, and
// against hosts that each report the work of computing it, so that the engine seems
// to have a long queue.
func TestReplayNewSharedPart(t *testing.T) {
	for i, least := range []float64{0.97, 0.8} {
		d, met := hostsAndDelays[i], 0.0
		for seed := range uint64(replaySeeds) {
			arrivals := hotParts(seed, 15*time.Second, 30)
			took, _ := fleetReplay{hosts: d.hosts, reportDelay: d.delay}.run(arrivals)
			met += onTimeBetween(arrivals, took, 5*time.Second, 15*time.Second) / replaySeeds
		}
		t.Logf("%d hosts: %.3f on time", d.hosts, met)
		if met < least {
			t.Errorf("%d hosts: %.3f on time, want %.2f", d.hosts, met, least)
		}
	}
}
