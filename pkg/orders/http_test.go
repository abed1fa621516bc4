package orders

import (
	"context"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
)

const loopback = "127.0.0.1:0"

// httpReceiver is the receiver of one order at a stand-in server.
type httpReceiver struct {
	name string
	// listsHolders says whether the receiver reports its order connections,
	// checksFencing whether it refuses old fencing tokens.
	listsHolders, checksFencing bool
	receiver                    Receiver
	faults                      func(httpd.Faults)
	// holders returns the holder of each order that took effect, oldest first.
	holders func() []string
}

func engineUnderTest(t *testing.T, name string, opts engined.Options) httpReceiver {
	opts.ID, opts.Model = "e1", "m"
	s := engined.New(opts)
	if err := s.Listen(loopback); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return httpReceiver{
		name: name, listsHolders: !opts.HidesOrderConnections, checksFencing: opts.ChecksFencing,
		receiver: engineReceiver{HTTPEngines{}, s.Endpoint("nashua", "steady"), enginewire.Order{Kind: enginewire.OrderDrain}},
		faults:   func(f httpd.Faults) { s.SetFaults(engined.Faults{Faults: f}) },
		holders: func() (holders []string) {
			for _, e := range s.Journal() {
				if e.Action == "orders" && e.Refused == "" {
					holders = append(holders, e.Order.Holder)
				}
			}
			return holders
		},
	}
}

func platformUnderTest(t *testing.T, name string, hides bool) httpReceiver {
	s := platformd.New(platformd.Options{HidesOrderConnections: hides})
	if err := s.Listen(loopback); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	order := PlatformOrder{Kind: Provision, Domain: "nashua", EndpointKind: platformd.KindSpot}
	return httpReceiver{
		name: name, listsHolders: !hides, receiver: platformReceiver{HTTPPlatform{Address: s.Address()}, order}, faults: s.SetFaults,
		holders: func() (holders []string) {
			for _, o := range s.Orders() {
				holders = append(holders, o.Holder)
			}
			return holders
		},
	}
}

func receiversUnderTest(t *testing.T) []httpReceiver {
	return []httpReceiver{
		engineUnderTest(t, "engine", engined.Options{}),
		engineUnderTest(t, "engine with fencing", engined.Options{ChecksFencing: true}),
		engineUnderTest(t, "engine without reports", engined.Options{HidesOrderConnections: true}),
		platformUnderTest(t, "platform", false),
		platformUnderTest(t, "platform without reports", true),
	}
}

// process is the lease manager and the sender of one lease holder.
type process struct {
	leases *lease.Manager
	sender *Sender
}

func startProcess(t *testing.T, client logservice.Client, holder string) process {
	clock := clockwork.NewRealClock()
	leases := lease.New(lease.Options{Client: client, Clock: clock, Rand: rand.New(rand.NewSource(1)),
		Incarnation: holder, Host: holder, Address: holder, Keys: []lease.Key{testKey},
		Duration: time.Second, Margin: 200 * time.Millisecond})
	p := process{leases, NewSender(Options{Clock: clock, Leases: leases, Incarnation: holder})}
	t.Cleanup(leases.Close)
	return p
}

// sendUntil repeats a send until accepted returns true for its error, for at
// most 10 s. It returns the last error.
func (p process) sendUntil(t *testing.T, r Receiver, accepted func(error) bool) error {
	deadline := time.Now().Add(10 * time.Second)
	for {
		err := p.sender.Send(t.Context(), testKey, r)
		if accepted(err) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func noError(err error) bool { return err == nil }

// leaseHeld accepts nil and every error except that the lease is not held.
func leaseHeld(err error) bool {
	return !errors.Is(err, lease.ErrNotHolder) && !errors.Is(err, lease.ErrExpired)
}

// TestLostAnswerOverHTTP guards against a receiver that stays blocked after a
// lost answer although it reports that the connection has ended. It also guards
// against a second order to a receiver that does not report its connections.
func TestLostAnswerOverHTTP(t *testing.T) {
	for _, r := range receiversUnderTest(t) {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			a := startProcess(t, logservice.NewMemory(clockwork.NewRealClock()), "a")
			r.faults(httpd.Faults{LoseAnswers: 1})
			if err := a.sendUntil(t, r.receiver, leaseHeld); !errors.Is(err, ErrUnanswered) || len(r.holders()) != 1 {
				t.Fatalf("lost answer: %v, %d orders", err, len(r.holders()))
			}
			if !r.listsHolders {
				time.Sleep(300 * time.Millisecond)
				if err := a.sender.Send(t.Context(), testKey, r.receiver); !errors.Is(err, ErrUnanswered) || len(r.holders()) != 1 {
					t.Errorf("without a report: %v, %d orders", err, len(r.holders()))
				}
				return
			}
			if err := a.sendUntil(t, r.receiver, noError); err != nil || len(r.holders()) != 2 {
				t.Errorf("after the connection ended: %v, %d orders", err, len(r.holders()))
			}
			if err := a.leases.Release(t.Context(), testKey); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestSuccessorOverHTTP guards against an order of a successor that is sent
// while the receiver still processes an order of the earlier holder. That
// holder has stopped and its connection was reset.
func TestSuccessorOverHTTP(t *testing.T) {
	for _, r := range receiversUnderTest(t) {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			client := logservice.NewMemory(clockwork.NewRealClock())
			a := startProcess(t, client, "a")
			if err := a.sendUntil(t, r.receiver, noError); err != nil {
				t.Fatal(err)
			}
			lateConn, err := r.receiver.Connect(t.Context(), "a")
			if err != nil {
				t.Fatal(err)
			}
			r.faults(httpd.Faults{SlowMillis: 6000})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			if err := lateConn.Send(ctx, "late", "a", 0); err == nil {
				t.Fatal("the delayed order was answered within 300 ms")
			}
			r.faults(httpd.Faults{})
			a.leases.Close()
			b := startProcess(t, client, "b")
			var notCleared *NotClearedError
			err = b.sendUntil(t, r.receiver, leaseHeld)
			if !r.checksFencing && !errors.As(err, &notCleared) {
				t.Errorf("while the order of the earlier holder is being processed: %v", err)
			}
			if !r.listsHolders {
				return
			}
			if err := b.sendUntil(t, r.receiver, noError); err != nil {
				t.Fatal(err)
			}
			if got := r.holders(); !r.checksFencing && !slices.Equal(got, []string{"a", "a", "b"}) {
				t.Errorf("orders by holder: %v", got)
			}
		})
	}
}
