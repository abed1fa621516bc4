package loadshare

import "testing"

// Guards against reports of teams' work that are altered in transit, that earlier
// versions take for sends, or that a malformed datagram turns into work.
func TestTeamWorkArrives(t *testing.T) {
	type work struct {
		service, team string
		ms            float64
	}
	var got []work
	a := start(t, "a")
	var b *node
	b = startWith(t, "b", func(o *Options) {
		o.OnTeamWork = func(service, team string, ms float64) {
			b.record(func() { got = append(got, work{service, team, ms}) })
		}
	})
	connect(t, map[string]*node{"a": a, "b": b})
	a.exchange.ReportTeamWork("llm", "team-1", 37.25)
	eventually(t, "the report", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(got) == 1 && got[0] == work{"llm", "team-1", 37.25} && len(b.sends) == 0
	})
	if r := teamReport("llm", "team-1", 1); len(r.Parts) == len(r.Sizes) {
		t.Errorf("earlier versions take %+v for a send", r)
	}
	x := New(Options{})
	for _, parts := range [][]uint64{nil, {1, 2}, {1 << 63}} {
		// The options have no functions to call.
		x.applyReports("a", []report{{Phase: phaseTeamWork, Parts: parts}})
	}
}
