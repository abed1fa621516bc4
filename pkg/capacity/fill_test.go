package capacity

import (
	"reflect"
	"testing"
	"time"
)

var fillStart = time.Unix(1_700_000_000, 0)

func pool() Pool {
	return Pool{Domain: "d", Durable: 3, Min: 1, Max: 6, Price: 0.2, BootTime: 4 * time.Second}
}

// TestFillReclaimable guards against a domain without the cheap endpoints that
// bursts need, and against durable endpoints that are kept in addition to them.
func TestFillReclaimable(t *testing.T) {
	got := DefaultFillReclaimable().Decide([]Pool{pool()}, fillStart)
	want := []TargetCount{{Domain: "d", Count: 1}, {Domain: "d", Reclaimable: true, Count: 5}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestFillWithoutCheapKind guards against a domain that gives up its durable
// endpoints where no cheaper ones replace them.
func TestFillWithoutCheapKind(t *testing.T) {
	for _, price := range []float64{0, 0.9} {
		p := pool()
		p.Price, p.Baseline = price, 3
		if got := DefaultFillReclaimable().Decide([]Pool{p}, fillStart); len(got) > 0 {
			t.Errorf("price %v: ordered %+v", price, got)
		}
		p.Durable = 2
		if got := DefaultFillReclaimable().Decide([]Pool{p}, fillStart); len(got) != 1 || got[0].Count != 3 {
			t.Errorf("price %v: ordered %+v after one was lost", price, got)
		}
	}
}

// TestFillFallsBackToDurable replays the reclaim of a domain's cheap endpoints under
// load, none of which are to be had again for seconds. It guards against a domain
// that waits for them with a twelfth of its endpoints, and against durable
// endpoints that are kept once the cheap ones are back.
func TestFillFallsBackToDurable(t *testing.T) {
	p := Pool{Domain: "d", Durable: 1, Reclaimable: 0, Min: 1, Max: 12, Price: 0.2, BootTime: 4 * time.Second, Loaded: true}
	p.LastOrders[KindDurable] = LastOrder{Sent: true, Count: 1, At: fillStart}
	p.LastOrders[KindReclaimable] = LastOrder{Sent: true, Count: 11, At: fillStart.Add(20 * time.Second), Refused: true}
	now := fillStart.Add(21 * time.Second)
	want := []TargetCount{{Domain: "d", Count: 6}}
	if got := DefaultFillReclaimable().Decide([]Pool{p}, now); !reflect.DeepEqual(got, want) {
		t.Errorf("after the reclaim: ordered %+v, want %+v", got, want)
	}
	p.Loaded = false
	if got := DefaultFillReclaimable().Decide([]Pool{p}, now); len(got) > 0 {
		t.Errorf("without load: ordered %+v", got)
	}
	p.Loaded, p.Durable, p.Reclaimable = true, 6, 11
	want = []TargetCount{{Domain: "d", Count: 1}}
	if got := DefaultFillReclaimable().Decide([]Pool{p}, now); !reflect.DeepEqual(got, want) {
		t.Errorf("once the cheap ones are back: ordered %+v, want %+v", got, want)
	}
}

// TestFillFollowsLowLoad replays a fleet that was filled before its traffic and turns
// out to be busy to a tenth. It guards against cheap endpoints that nobody needs,
// against counts that go up and down with the load, and against a fleet that stays
// small when the load rises.
func TestFillFollowsLowLoad(t *testing.T) {
	f := DefaultFillReclaimable()
	p := Pool{Domain: "d", Durable: 1, Reclaimable: 79, Min: 1, Max: 80, Price: 0.2, BootTime: 4 * time.Second, Loaded: true, LoadedFor: 7 * time.Second, PeakLoad: 0.09}
	p.LastOrders[KindDurable] = LastOrder{Sent: true, Count: 1, At: fillStart}
	p.LastOrders[KindReclaimable] = LastOrder{Sent: true, Count: 79, At: fillStart}
	if got := f.Decide([]Pool{p}, fillStart.Add(20*time.Second)); len(got) > 0 {
		t.Errorf("before the load was observed: ordered %+v", got)
	}
	p.LoadedFor, p.PeakLoad = 9*time.Second, 0.11
	if got := f.Decide([]Pool{p}, fillStart.Add(22*time.Second)); len(got) > 0 {
		t.Errorf("at a load that bursts may double and double again: ordered %+v", got)
	}
	p.PeakLoad = 0.11 * 0.9
	want := []TargetCount{{Domain: "d", Reclaimable: true, Count: 39}}
	if got := f.Decide([]Pool{p}, fillStart.Add(24*time.Second)); !reflect.DeepEqual(got, want) {
		t.Errorf("at low load: ordered %+v, want %+v", got, want)
	}
	p.Reclaimable, p.LastOrders[KindReclaimable] = 39, LastOrder{Sent: true, Count: 39, At: fillStart.Add(24 * time.Second)}
	for _, load := range []float64{0.05, 0.2, 0.29} {
		p.PeakLoad = load
		if got := f.Decide([]Pool{p}, fillStart.Add(60*time.Second)); len(got) > 0 {
			t.Errorf("at load %v after the reduction: ordered %+v", load, got)
		}
	}
	p.PeakLoad = 0.3
	want[0].Count = 79
	if got := f.Decide([]Pool{p}, fillStart.Add(60*time.Second)); !reflect.DeepEqual(got, want) {
		t.Errorf("at a rising load: ordered %+v, want %+v", got, want)
	}
}

// TestFillAfterReclaim guards against a domain whose reclaimed endpoints are
// not ordered again, and against a new order in each decision.
func TestFillAfterReclaim(t *testing.T) {
	p := pool()
	p.Durable = 1
	p.LastOrders[KindDurable] = LastOrder{Sent: true, Count: 1, At: fillStart}
	p.LastOrders[KindReclaimable] = LastOrder{Sent: true, Count: 5, At: fillStart}
	f := DefaultFillReclaimable()
	if got := f.Decide([]Pool{p}, fillStart.Add(time.Second)); len(got) > 0 {
		t.Errorf("ordered again while they start: %+v", got)
	}
	if got := f.Decide([]Pool{p}, fillStart.Add(20*time.Second)); len(got) != 1 || got[0].Count != 5 {
		t.Errorf("after they were reclaimed: %+v", got)
	}
	p.LastOrders[KindReclaimable].Refused = true
	if got := f.Decide([]Pool{p}, fillStart.Add(f.RetryAfter)); len(got) != 1 {
		t.Errorf("after a refusal: %+v", got)
	}
}
