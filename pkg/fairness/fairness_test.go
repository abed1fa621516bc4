package fairness

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a team with a small demand that gets less than its share
// because others ask for more.
func TestMaxMin(t *testing.T) {
	got := MaxMin([]float64{100, 10, 30, 0}, 100)
	want := []float64{60, 10, 30, 0}
	for i := range want {
		if math.Abs(got[i]-want[i]) > 1e-9 {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}

// Guards against a team that delays the others with a burst of requests, and
// against an idle team that accumulates credit.
func TestQueueServesLeastServedFirst(t *testing.T) {
	l := NewLedger(0, start)
	q := NewQueue[int](l)
	for i := range 100 {
		q.Push("flood", 0, i)
	}
	l.Add("flood", 5000, start)
	q.Push("small", 0, 1)
	q.Push("small", 5, 2)
	item, _ := q.Pop()
	if item.Team != "small" || item.Value != 2 {
		t.Fatalf("first popped item is %+v", item)
	}
	q.Requeue(item)
	if again, _ := q.Pop(); again != item {
		t.Fatalf("the requeued request lost its place to %+v", again)
	}
	l.Add("small", 6000, start)
	if item, _ := q.Pop(); item.Team != "flood" {
		t.Fatalf("the more served team goes first: %+v", item)
	}
	q.Retain(func(team string, _ int) bool { return team != "small" })
	if item, _ := q.Pop(); item.Team != "flood" || q.Len() != 98 {
		t.Fatalf("after dropping the small team's requests: %+v, %d queued, want 98", item, q.Len())
	}
}

// Guards against service that does not decay, and against weighted figures that
// overflow on a host that runs for months.
func TestServiceDecays(t *testing.T) {
	l := NewLedger(10*time.Second, start)
	l.Add("a", 1000, start)
	if got := l.Service("a", start.Add(10*time.Second)); math.Abs(got-1000/math.E) > 1 {
		t.Fatalf("after one window: %v", got)
	}
	later := start.Add(90 * 24 * time.Hour)
	l.Add("a", 1000, later)
	if got := l.Service("a", later); math.Abs(got-1000) > 1 {
		t.Fatalf("after 90 days: %v", got)
	}
	l.Sweep(later.Add(time.Hour))
	if l.OverShare("a", 1) || len(l.served) != 0 {
		t.Fatal("the sweep kept an idle team")
	}
}

// Guards against gossip that is counted twice, and against a restarted host
// whose lower counts are ignored.
func TestMergeIsIdempotent(t *testing.T) {
	l := NewLedger(0, start)
	merge := func(incarnation string, tokens float64) {
		l.Merge([]Served{{Host: "h", Incarnation: incarnation, Team: "a", Tokens: tokens}}, start)
	}
	merge("1", 1000)
	merge("1", 1500)
	merge("1", 1500)
	merge("1", 1200)
	merge("2", 0)
	merge("2", 70)
	if got := l.Service("a", start); math.Abs(got-570) > 1e-6 {
		t.Fatalf("got %v, want 570", got)
	}
}

// Guards against views that diverge: a host's view may lack at most what the
// other hosts serve within the gossip delay.
func TestViewsDriftAtMostByGossipDelay(t *testing.T) {
	const hosts, rate, delay = 9, 100.0, 2 // rate in tokens a second per host, delay in seconds
	ledgers := make([]*Ledger, hosts)
	for i := range ledgers {
		ledgers[i] = NewLedger(20*time.Second, start)
	}
	exact := NewLedger(20*time.Second, start)
	var sent [][]Served
	worst := 0.0
	for second := range 300 {
		now := start.Add(time.Duration(second) * time.Second)
		var counts []Served
		for i, l := range ledgers {
			l.Add("a", rate, now)
			exact.Add("a", rate, now)
			counts = l.AppendLocal(counts, fmt.Sprint(i), "1")
		}
		sent = append(sent, counts)
		if second < delay {
			continue
		}
		for i, l := range ledgers {
			l.Merge(without(sent[second-delay], fmt.Sprint(i)), now)
		}
		if second > 100 {
			worst = max(worst, math.Abs(exact.Service("a", now)-ledgers[0].Service("a", now)))
		}
	}
	if bound := rate * (hosts - 1) * delay; worst > bound {
		t.Fatalf("drift %v tokens, bound %v", worst, bound)
	}
}

func without(counts []Served, host string) []Served {
	var out []Served
	for _, c := range counts {
		if c.Host != host {
			out = append(out, c)
		}
	}
	return out
}
