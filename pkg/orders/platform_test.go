package orders

import (
	"context"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// fakePlatform loses the answer to the first order. It reports the connection as
// open until connectionEnded is set.
type fakePlatform struct {
	received        []PlatformOrder
	connectionEnded bool
}

func (p *fakePlatform) Connect(context.Context, string, string) (PlatformConn, error) { return p, nil }
func (p *fakePlatform) ChecksFencing() bool                                           { return false }
func (p *fakePlatform) Close()                                                        {}

func (p *fakePlatform) ConnectedHolders(context.Context, string) ([]string, error) {
	if p.connectionEnded {
		return nil, nil
	}
	return []string{"a"}, nil
}

func (p *fakePlatform) Order(_ context.Context, o PlatformOrder) error {
	p.received = append(p.received, o)
	if len(p.received) == 1 {
		return errors.New("timeout")
	}
	return nil
}

// TestUnansweredOrderBlocks guards against a second order that overtakes an
// unanswered one, and against a lease release that fails after that order is
// settled.
func TestUnansweredOrderBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, p := clockwork.NewRealClock(), &fakePlatform{}
		key := lease.Key{Domain: "nashua", Duty: lease.EndpointOrders}
		leases := lease.New(lease.Options{Client: logservice.NewMemory(clock), Clock: clock, Rand: rand.New(rand.NewSource(1)),
			Incarnation: "a", Host: "a", Address: "a", Keys: []lease.Key{key}})
		defer leases.Close()
		s := NewSender(Options{Clock: clock, Leases: leases, Platform: p, Incarnation: "a"})
		time.Sleep(10 * time.Second)
		order := PlatformOrder{Kind: Provision, Domain: "nashua", EndpointKind: "spot"}
		for i := range 2 {
			if err := s.SendPlatform(t.Context(), key, order); !errors.Is(err, ErrUnanswered) {
				t.Errorf("order %d: %v", i, err)
			}
		}
		if len(p.received) != 1 || len(s.Unanswered()) != 1 {
			t.Errorf("platform got %d orders, unanswered %v", len(p.received), s.Unanswered())
		}
		p.connectionEnded = true
		if err := s.SendPlatform(t.Context(), key, order); err != nil || len(p.received) != 2 || p.received[1].ID == p.received[0].ID {
			t.Errorf("after the connection ended: %v, %d orders", err, len(p.received))
		}
		if err := leases.Release(t.Context(), key); err != nil {
			t.Error(err)
		}
	})
}

// TestNext guards against a change that skips the drain or the wait for running
// requests.
func TestNext(t *testing.T) {
	target := Target{Role: endpoint.RoleDecode, Model: "m", Version: "2"}
	matching := endpoint.Load{Role: endpoint.RoleDecode, Model: "m", Version: "2"}
	with := func(change func(*endpoint.Load)) endpoint.Load { l := matching; change(&l); return l }
	for i, c := range []struct {
		load    endpoint.Load
		drained bool
		want    Step
	}{
		{matching, false, StepDone},
		{with(func(l *endpoint.Load) { l.Draining = true }), false, StepResume},
		{with(func(l *endpoint.Load) { l.Role = endpoint.RolePrefill }), true, StepDrain},
		{with(func(l *endpoint.Load) { l.Role, l.Draining = endpoint.RolePrefill, true }), false, StepDrain},
		{with(func(l *endpoint.Load) { l.Role, l.Draining, l.Waiting = endpoint.RolePrefill, true, 1 }), true, StepWait},
		{with(func(l *endpoint.Load) { l.Role, l.Draining = endpoint.RolePrefill, true }), true, StepRole},
		{with(func(l *endpoint.Load) { l.Version, l.Draining = "1", true }), true, StepLoad},
	} {
		if got := Next(c.load, target, c.drained); got != c.want {
			t.Errorf("case %d: got %s, want %s", i, got, c.want)
		}
	}
}
