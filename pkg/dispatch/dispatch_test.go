package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/routing"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

var chat = declaration.Class{Name: "chat", FirstToken: declaration.Duration(1600 * time.Millisecond), BetweenTokens: declaration.Duration(44 * time.Millisecond), Share: 0.95}

func newDispatcher(clock clockwork.Clock) *Dispatcher {
	return New(Options{Domain: "nashua", Clock: clock, Seed: 1, Delays: routing.UniformDelay(time.Millisecond)})
}

func engineStatus(id string) endpoint.Status {
	return endpoint.Status{
		Endpoint: endpoint.Endpoint{ID: id, Instance: id + "-1", Domain: "nashua", State: endpoint.StateLive},
		Load:     endpoint.Load{Role: endpoint.RoleMixed, Model: "m", PrefillRate: 20000, DecodeRate: 1500, KVTokensTotal: 400000},
		HasLoad:  true,
	}
}

func work(clock clockwork.Clock) *gate.Work {
	return &gate.Work{RequestID: "r", Team: "a", Class: chat, Model: "m", Repeatable: true, Prompt: make([]byte, 4000), MaxTokens: 10, ArrivedAt: clock.Now()}
}

type acquired struct {
	assignment gate.Assignment
	err        error
}

func acquire(ctx context.Context, d *Dispatcher, w *gate.Work) <-chan acquired {
	ch := make(chan acquired, 1)
	go func() {
		a, err := d.Acquire(ctx, w)
		ch <- acquired{a, err}
	}()
	return ch
}

func waitHeld(t *testing.T, d *Dispatcher) {
	t.Helper()
	for range 1000 {
		if d.Held() == 1 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("request is not held")
}

// Guards against a held request that does not start when an endpoint appears.
func TestHeldRequestStartsWhenAnEndpointAppears(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	result := acquire(context.Background(), d, work(clock))
	waitHeld(t, d)
	d.Update([]endpoint.Status{engineStatus("e1")}, 1)
	r := <-result
	if r.err != nil || r.assignment.Endpoint().ID != "e1" {
		t.Fatalf("got %+v", r)
	}
	r.assignment.Done(gate.Result{})
}

// Guards against a request that is held beyond its first-token limit instead of
// being refused as not run with a RetryAfter.
func TestHeldRequestIsRefusedWhenItsTargetHasPassed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	result := acquire(context.Background(), d, work(clock))
	waitHeld(t, d)
	clock.Advance(5 * time.Second)
	d.poll()
	r := <-result
	var refused *refusal.Refusal
	if !errors.As(r.err, &refused) || refused.Ran != refusal.RanNo || refused.RetryAfter <= 0 {
		t.Fatalf("got %v", r.err)
	}
}

// Guards against a held request that stays in the queue, ahead of others, after
// its caller is gone.
func TestHeldRequestIsWithdrawnWithItsCaller(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	ctx, cancel := context.WithCancel(context.Background())
	result := acquire(ctx, d, work(clock))
	waitHeld(t, d)
	cancel()
	if r := <-result; refusal.From(r.err).Ran != refusal.RanNo || d.Held() != 0 {
		t.Fatalf("got %v with %d held", r.err, d.Held())
	}
}

// Guards against two suspected requests on one endpoint, which would make it
// unclear which of them crashed it.
func TestSuspectedRequestsRunOnDifferentEndpoints(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	d.Update([]endpoint.Status{engineStatus("e1"), engineStatus("e2")}, 1)
	suspect := func() gate.Assignment {
		w := work(clock)
		w.Exclusive = true
		a, err := d.Acquire(context.Background(), w)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	first, second := suspect(), suspect()
	if first.Endpoint().ID == second.Endpoint().ID {
		t.Fatalf("both run on %s", first.Endpoint().ID)
	}
	first.Done(gate.Result{})
	if third := suspect(); third.Endpoint().ID != first.Endpoint().ID {
		t.Fatalf("the freed endpoint %s was not used", first.Endpoint().ID)
	}
}

// Guards against a silent endpoint that is given up although no other one can take
// over or the retry budget is spent, and against a retry that is spent for nothing.
func TestSilentEndpointIsKeptUnlessAnotherCanTakeOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	w := work(clock)
	w.Delivered = 3
	silent := engineStatus("e1").Endpoint
	d.Update([]endpoint.Status{engineStatus("e1")}, 1)
	for range 100 {
		if _, giveUp := d.GiveUpSilent(w, silent); giveUp {
			t.Fatal("given up without an alternative")
		}
	}
	d.Update([]endpoint.Status{engineStatus("e1"), engineStatus("e2")}, 1)
	taken := 0
	for range 100 {
		if _, giveUp := d.GiveUpSilent(w, silent); giveUp {
			taken++
		}
	}
	if taken != int(retry.MaxTokens) || len(w.ExcludedEndpoints) != 0 || d.Held() != 0 {
		t.Errorf("given up %d times, want %v; work changed: %v, held: %d", taken, retry.MaxTokens, w.ExcludedEndpoints, d.Held())
	}
}

// Guards against a prefill engine that gets further prompts after it has refused one
// because it drains, and against a decode engine that gets none instead.
func TestDrainingNoticeNamesThePrefillEngine(t *testing.T) {
	var draining []string
	d := New(Options{Domain: "nashua", Clock: clockwork.NewFakeClock(), Seed: 1, Delays: routing.UniformDelay(time.Millisecond),
		OnDraining: func(e endpoint.Endpoint) { draining = append(draining, e.ID) }})
	prefill, decode := endpoint.Endpoint{ID: "p1", Address: "10.0.0.1:1"}, endpoint.Endpoint{ID: "d1", Address: "10.0.0.2:1"}
	for _, refusedBy := range []endpoint.Endpoint{prefill, decode} {
		a := &assignment{dispatcher: d, request: d.admissionRequest(work(d.clock)), endpoint: decode, prefill: &prefill}
		a.Done(gate.Result{Err: steperr.Wrap(&engineclient.RefusedError{Status: 503, Code: enginewire.CodeDraining}, "generate", refusedBy.Address)})
	}
	if !slices.Equal(draining, []string{"p1", "d1"}) {
		t.Errorf("notices for %v, want p1 and d1", draining)
	}
}
