package loadshare

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/placement"
)

// TestPaceAndPrefillArrive guards against reports of limits and prefills that are altered
// in transit, and against ones that earlier versions take for sends: these ignore
// reports whose Parts and Sizes differ in length.
func TestPaceAndPrefillArrive(t *testing.T) {
	want := pace.Report{Service: "llm", ID: "e1", Reason: pace.Paused, Counts: pace.Counts{Good: 3, Late: 2, Refused: 1}, Window: 2.5}
	wantPrefill := placement.PrefillSample{Tokens: 4000, Took: 125 * time.Millisecond}
	var got pace.Report
	var gotPrefill placement.PrefillSample
	var started int64
	a := start(t, "a")
	var b *node
	b = startWith(t, "b", func(o *Options) {
		o.OnPace = func(p pace.Report, startedMillis int64) { b.record(func() { got, started = p, startedMillis }) }
		o.OnPrefilled = func(service string, s placement.PrefillSample) {
			b.record(func() {
				if service == "llm" {
					gotPrefill = s
				}
			})
		}
	})
	connect(t, map[string]*node{"a": a, "b": b})
	a.exchange.ReportPace(want, 1_700_000_000_123)
	a.exchange.ReportPrefill("llm", wantPrefill)
	eventually(t, "both reports", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return got == want && started == 1_700_000_000_123 && gotPrefill == wantPrefill && len(b.sends) == 0
	})
	if r := paceReport(want, 1); len(r.Parts) == len(r.Sizes) {
		t.Errorf("earlier versions take %+v for a send", r)
	}
}

// TestMalformedPaceIsIgnored guards against a crash by a report of another version.
func TestMalformedPaceIsIgnored(t *testing.T) {
	x := New(Options{})
	for _, phase := range []uint8{phasePace, phasePrefilled} {
		for _, parts := range [][]uint64{nil, {1}, {0, 1}, {1, 1 << 40}, {1, 2, 3, 4, 5, 1 << 9}, {1, 1 << 63, 3, 4, 5, 1}} {
			// The options have no functions to call.
			x.applyReports("a", []report{{Phase: phase, Parts: parts}})
		}
	}
}
