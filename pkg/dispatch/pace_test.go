package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/gate"
)

// pacedSend acquires an endpoint for a request; the test fails if it is held.
func pacedSend(t *testing.T, d *Dispatcher, clock clockwork.Clock) gate.Assignment {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := d.Acquire(ctx, work(clock))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// TestRestartedEngineIsLimited guards against an engine that gets its full share right
// after a restart, one that stays limited although it answers in time, and one that
// gets nothing although no other can take a request.
func TestRestartedEngineIsLimited(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	// With four hosts, the share of this one in the first window is one request.
	const hosts = 4
	statuses := []endpoint.Status{engineStatus("a"), engineStatus("b"), engineStatus("c")}
	d.Update(statuses, hosts)
	counts := map[string]int{}
	for range 12 {
		counts[pacedSend(t, d, clock).Endpoint().ID]++
	}
	if counts["a"] < 2 {
		t.Errorf("an engine that was known from the start got %v", counts)
	}
	restarted := engineStatus("a")
	restarted.Instance = "a-2"
	d.Forget("a")
	d.Update([]endpoint.Status{restarted, statuses[1], statuses[2]}, hosts)
	clear(counts)
	for range 6 {
		counts[pacedSend(t, d, clock).Endpoint().ID]++
	}
	if counts["a"] != 1 {
		t.Errorf("the restarted engine has %d requests in flight, its share is 1", counts["a"])
	}
	d.Update([]endpoint.Status{restarted}, hosts)
	for range usualEngine / hosts {
		a := pacedSend(t, d, clock)
		clock.Advance(time.Millisecond)
		d.ObserveLoad("a", restarted.Load, clock.Now())
		a.TokenDelivered()
		a.Done(gate.Result{})
	}
	if got := d.Limits(); len(got) != 0 {
		t.Errorf("limited after answers in time: %+v", got)
	}
}

// TestLateAnswersKeepEngineLimited guards against a limit that ends although the engine
// is slow.
func TestLateAnswersKeepEngineLimited(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	d.Update([]endpoint.Status{engineStatus("b")}, 2)
	d.Update([]endpoint.Status{engineStatus("a")}, 2)
	for range 20 {
		a := pacedSend(t, d, clock)
		clock.Advance(3 * time.Second)
		d.ObserveLoad("a", engineStatus("a").Load, clock.Now())
		a.TokenDelivered()
		a.Done(gate.Result{})
	}
	if got := d.Limits(); len(got) != 1 || got[0].ID != "a" || got[0].Counts.Late != 20 {
		t.Errorf("limits %+v", got)
	}
}
