package loadshare

import (
	"slices"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/quarantine"
)

// TestEvidenceReachesOtherHosts guards against hosts that send requests which have
// crashed endpoints at other hosts, and against evidence that exceeds a datagram.
func TestEvidenceReachesOtherHosts(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	connect(t, map[string]*node{"a": a, "b": b})
	crash := quarantine.Evidence{Crash: quarantine.Crash{Endpoint: "engine", Process: "7"}, Age: 20 * time.Millisecond}
	var features []quarantine.Feature
	for i := range featuresPerDatagram + 1 {
		f := quarantine.Feature(1<<63 + uint64(i))
		crash.Running = append(crash.Running, quarantine.RunningFeature{Feature: f, SentAge: time.Duration(i) * time.Millisecond})
		features = append(features, f)
	}
	a.exchange.ReportCrashes([]quarantine.Evidence{crash})
	a.exchange.ReportRefuted(features)
	eventually(t, "all evidence", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.crashes) == 2 && len(b.refuted) == len(features)
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	var running []quarantine.RunningFeature
	for _, e := range b.crashes {
		if e.Crash != crash.Crash || e.Age != crash.Age {
			t.Errorf("received %+v", e)
		}
		running = append(running, e.Running...)
	}
	slices.SortFunc(running, func(x, y quarantine.RunningFeature) int { return int(x.SentAge - y.SentAge) })
	if !slices.Equal(running, crash.Running) {
		t.Errorf("received features %v", running)
	}
	slices.Sort(b.refuted)
	if !slices.Equal(b.refuted, features) {
		t.Errorf("refuted %v", b.refuted)
	}
}
