package endpoint

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func newTestTable() (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return NewTable(clock), clock
}

func report(clock clockwork.Clock, draining bool) Load {
	return Load{Instance: "e-1", Draining: draining, ReportedAtMillis: clock.Now().UnixMilli()}
}

func stateOf(t *testing.T, table *Table) State {
	t.Helper()
	status, ok := table.Snapshot().Get("e")
	if !ok {
		t.Fatal("endpoint is not listed")
	}
	return status.State
}

// Guards against a lagging list that makes a leaving endpoint live again.
func TestLeavingStays(t *testing.T) {
	table, _ := newTestTable()
	live := []Endpoint{{ID: "e", Instance: "e-1", State: StateLive}}
	table.SetList(live)
	table.Notify(Notice{ID: "e", Kind: NoticeLeaving})
	table.SetList(nil)
	table.SetList(live)
	if state := stateOf(t, table); state != StateLeaving {
		t.Fatal(state)
	}
	table.SetList([]Endpoint{{ID: "e", Instance: "e-2", State: StateLive}})
	if state := stateOf(t, table); state != StateLive {
		t.Fatalf("a new instance inherits the notice: %s", state)
	}
}

// Guards against a load report from before the drain that ends the drain state,
// and against a drain state that remains after the engine reports its end.
func TestDrainingEndsWithALaterReport(t *testing.T) {
	table, clock := newTestTable()
	table.SetList([]Endpoint{{ID: "e", Instance: "e-1", State: StateLive}})
	old := report(clock, false)
	clock.Advance(100 * time.Millisecond)
	table.Notify(Notice{ID: "e", Kind: NoticeDraining})
	clock.Advance(time.Second)
	table.ReportLoad("e", old, clock.Now())
	if state := stateOf(t, table); state != StateDraining {
		t.Fatal(state)
	}
	clock.Advance(2 * MaxReportLag)
	table.ReportLoad("e", report(clock, false), clock.Now())
	if state := stateOf(t, table); state != StateLive {
		t.Fatal(state)
	}
}

// Guards against rows that get lost or swapped at a shard boundary.
func TestManyEndpoints(t *testing.T) {
	table, _ := newTestTable()
	var list []Endpoint
	for i := range 3*shardRows + 1 {
		list = append(list, Endpoint{ID: string(rune('a' + i)), State: StateLive})
	}
	table.SetList(list)
	table.ReportLoad(list[shardRows].ID, Load{Running: 7}, table.clock.Now())
	for i, status := range table.Snapshot().All() {
		want := 0
		if i == shardRows {
			want = 7
		}
		if status.ID != list[i].ID || status.Load.Running != want {
			t.Fatalf("row %d: %+v", i, status)
		}
	}
}
