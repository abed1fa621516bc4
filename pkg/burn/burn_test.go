package burn

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

func interactiveClass() declaration.Class {
	return declaration.Class{Name: "interactive", FirstToken: declaration.Duration(1600 * time.Millisecond), BetweenTokens: declaration.Duration(44 * time.Millisecond), Share: 0.95}
}

func newFakeClock() *clockwork.FakeClock {
	return clockwork.NewFakeClockAt(time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC))
}

func recordRequests(r *Recorder, team string, outcome Outcome, n int) {
	for range n {
		r.Record("interactive", team, outcome, time.Second, 40*time.Millisecond, 0)
	}
}

// TestBurn guards against refusals that spend budget, against a worst-served
// team that is not found because most of its requests were refused, and against
// a wrong time to exhaustion.
func TestBurn(t *testing.T) {
	clock := newFakeClock()
	r := NewRecorder(clock)
	recordRequests(r, "a", InTime, 90)
	recordRequests(r, "a", Late, 5)
	recordRequests(r, "a", Failed, 3)
	recordRequests(r, "a", Unknown, 2)
	recordRequests(r, "b", InTime, 50)
	recordRequests(r, "b", Refused, 50)
	recordRequests(r, "c", Late, MinRequests-1)
	c := Build(r.Snapshot(), []declaration.Class{interactiveClass()}).Classes[0]
	if c.Worst == nil || c.Worst.Team != "b" || c.TeamCount != 3 {
		t.Fatalf("worst-served team %+v of %d teams", c.Worst, c.TeamCount)
	}
	if b := c.Worst.Budget; b.Left != 1 || b.ExhaustedIn != nil {
		t.Errorf("refusals spent budget: %+v", b)
	}
	want := (10 + 9.0) / (150 + 9) / 0.05
	if got := c.Windows[1].BurnRate; math.Abs(got-want) > 1e-9 || c.Budget.Left >= 0 || *c.Budget.ExhaustedIn != 0 {
		t.Errorf("burn %v, want %v; budget %+v", got, want, c.Budget)
	}
}

// TestWindows guards against outcomes that stay in a window too long or leave
// it too early, and against alerts on a single window.
func TestWindows(t *testing.T) {
	clock := newFakeClock()
	r := NewRecorder(clock)
	classes := []declaration.Class{interactiveClass()}
	recordRequests(r, "a", InTime, 1000)
	clock.Advance(71 * time.Hour)
	recordRequests(r, "a", InTime, 60)
	recordRequests(r, "a", Late, 40)
	c := Build(r.Snapshot(), classes).Classes[0]
	if c.Alert != AlertFast || c.Windows[0].Late != 40 || c.Windows[3].InTime != 1060 {
		t.Errorf("alert %s, windows %+v", c.Alert, c.Windows)
	}
	left := 1 - 40.0/1100/0.05
	if in := c.Budget.ExhaustedIn; in == nil || math.Abs(in.Std().Hours()-left/8*72) > 0.01 {
		t.Errorf("budget %+v", c.Budget)
	}
	for _, step := range []struct {
		advance time.Duration
		late    [4]uint32
	}{
		{4 * time.Minute, [4]uint32{40, 40, 40, 40}},
		{time.Minute, [4]uint32{0, 40, 40, 40}},
		{55 * time.Minute, [4]uint32{0, 0, 40, 40}},
		{5 * time.Hour, [4]uint32{0, 0, 0, 40}},
		{66 * time.Hour, [4]uint32{0, 0, 0, 0}},
	} {
		clock.Advance(step.advance)
		c := Build(r.Snapshot(), classes).Classes[0]
		for i, want := range step.late {
			if c.Windows[i].Late != want {
				t.Errorf("after %s: window %s has %d late, want %d", step.advance, c.Windows[i].Window, c.Windows[i].Late, want)
			}
		}
		if fast := step.late[0] > 0 && step.late[1] > 0; fast != (c.Alert == AlertFast) {
			t.Errorf("after %s: alert %s", step.advance, c.Alert)
		}
	}
}

// TestMergeAndFormats guards against counts that are lost by merging or by JSON
// encoding, and against team names that are not escaped on the HTML page.
func TestMergeAndFormats(t *testing.T) {
	clock := newFakeClock()
	one, two := NewRecorder(clock), NewRecorder(clock)
	recordRequests(one, "<a>", InTime, 10)
	recordRequests(two, "<a>", Late, 10)
	recordRequests(two, "b", InTime, 10)
	data, err := json.Marshal(two.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var received Snapshot
	if err := json.Unmarshal(data, &received); err != nil || !reflect.DeepEqual(received, two.Snapshot()) {
		t.Fatalf("snapshot changed by JSON encoding: %v", err)
	}
	report := Build(Merge(one.Snapshot(), received), []declaration.Class{interactiveClass(), {Name: "idle", Share: 0.9}})
	c := report.Classes[1]
	if report.Hosts != 2 || c.Worst.Team != "<a>" || c.Worst.Windows[1].Late != 10 || c.Windows[1].InTime != 20 || c.Latency.FirstToken.Mean() != time.Second {
		t.Errorf("merged %+v", c)
	}
	var text, page, encoded strings.Builder
	if err := report.WriteText(&text); err != nil || !strings.Contains(text.String(), "worst-served team: <a> (served 50.0% in the last hour)") {
		t.Errorf("%v %s", err, text.String())
	}
	if err := report.WriteJSON(&encoded); err != nil || !json.Valid([]byte(encoded.String())) {
		t.Errorf("%v", err)
	}
	if err := report.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	html := page.String()
	if strings.Contains(html, "<a>") || strings.Contains(html, "http") || strings.Count(html, "<svg") != 8 || strings.Contains(html, "NaN") {
		t.Error("the page is not escaped, loads external resources, or lacks plots")
	}
}

// TestMemory guards against memory that grows with the number of team names.
func TestMemory(t *testing.T) {
	clock := newFakeClock()
	r := NewRecorder(clock)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 3 * MaxTeamSeries {
		r.Record("interactive", fmt.Sprint("team-", i), Late, 0, 0, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	heap := after.HeapAlloc - before.HeapAlloc
	t.Logf("pairs=%d heap_bytes=%d", MaxTeamSeries, heap)
	if heap > 32<<20 {
		t.Errorf("the recorder uses %d bytes of heap", heap)
	}
	c := r.Snapshot().Classes["interactive"]
	if len(c.Teams) > MaxTeamSeries+shardCount || c.Teams[OtherTeams][0].Total() < MaxTeamSeries {
		t.Errorf("%d teams, other teams counted as %v", len(c.Teams), c.Teams[OtherTeams])
	}
	clock.Advance(73 * time.Hour)
	r.Record("interactive", "new", InTime, 0, 0, 0)
	if c := r.Snapshot().Classes["interactive"]; len(c.Teams) != 1 || c.Teams["new"][0].Total() != 1 {
		t.Errorf("%d teams after 73 idle hours, want 1", len(c.Teams))
	}
}

// TestConcurrentRecord guards against lost counts under concurrent requests.
func TestConcurrentRecord(t *testing.T) {
	r := NewRecorder(newFakeClock())
	var wait sync.WaitGroup
	for g := range 8 {
		wait.Go(func() {
			for i := range 500 {
				r.Record("interactive", fmt.Sprint(i%7), Outcome((g+i)%int(outcomeCount)), 0, 0, 0)
				if i%100 == 0 {
					r.Snapshot()
				}
			}
		})
	}
	wait.Wait()
	if n := r.Snapshot().Classes["interactive"].History.Windows()[0].Total(); n != 4000 {
		t.Errorf("%d requests counted, want 4000", n)
	}
}

// TestClassifyAnswer guards against a zero limit that counts as exceeded.
func TestClassifyAnswer(t *testing.T) {
	c := interactiveClass()
	if ClassifyAnswer(c, 1600*time.Millisecond, 44*time.Millisecond, time.Hour) != InTime || ClassifyAnswer(c, 1601*time.Millisecond, 0, 0) != Late || ClassifyAnswer(c, 0, 45*time.Millisecond, 0) != Late {
		t.Error("ClassifyAnswer returned a wrong outcome")
	}
}
