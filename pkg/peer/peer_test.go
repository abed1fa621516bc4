package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/clementineshed/clementineshed/pkg/steperr"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	kindEcho  Kind = "test/echo"
	kindBlock Kind = "test/block"
	kindNote  Kind = "test/note"
)

// cluster is a set of nodes that resolve each other's addresses.
type cluster struct {
	t  *testing.T
	ca *tlsconfig.DevCA

	mu        sync.Mutex
	addresses map[string]string
}

func newCluster(t *testing.T) *cluster {
	ca, err := tlsconfig.NewDevCA(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return &cluster{t: t, ca: ca, addresses: map[string]string{}}
}

func (c *cluster) resolve(host string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address, ok := c.addresses[host]
	return address, ok
}

func (c *cluster) set(host, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[host] = address
}

func (c *cluster) start(host string, ca *tlsconfig.DevCA, clock clockwork.Clock) *Node {
	c.t.Helper()
	files, err := ca.WriteFiles(c.t.TempDir(), host)
	if err != nil {
		c.t.Fatal(err)
	}
	logger := &log.Logger{Handler: discard.New()}
	source, err := tlsconfig.Open(tlsconfig.Options{Files: files, Clock: clock, Log: logger})
	if err != nil {
		c.t.Fatal(err)
	}
	n, err := Start(Options{
		Host: host, Listen: "127.0.0.1:0", TLS: source, Resolve: c.resolve,
		Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)), Log: logger,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { n.Close(); source.Close() })
	Handle(n, kindEcho, func(_ context.Context, from string, in string) (string, error) {
		if in == "fail" {
			return "", errors.New("handler error")
		}
		return from + ":" + in, nil
	})
	c.set(host, n.Address())
	return n
}

func (c *cluster) node(host string) *Node { return c.start(host, c.ca, clockwork.NewRealClock()) }

func echo(n *Node, host, text string) (string, error) {
	return Call[string](context.Background(), n, host, kindEcho, text)
}

// Guards against answers that reach the wrong request, connections per request
// instead of per host, and identities taken from the message.
func TestRequestsShareOneConnection(t *testing.T) {
	c := newCluster(t)
	a, b := c.node("a"), c.node("b")
	var wg sync.WaitGroup
	for range MaxInFlightPerHost {
		wg.Go(func() {
			if got, err := echo(a, "b", "x"); err != nil || got != "a:x" {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
	wg.Wait()
	if got, err := echo(b, "a", "y"); err != nil || got != "b:y" {
		t.Fatalf("reverse direction: %q, %v", got, err)
	}
	if da, db := a.Counters().Dials, b.Counters().Dials; da != 1 || db != 0 {
		t.Errorf("dials: a %d, b %d; want 1 and 0", da, db)
	}
	k := a.Counters().Kinds[kindEcho]
	if k.MessagesSent != MaxInFlightPerHost+1 || k.BytesSent == 0 || a.Counters().WireBytesSent <= k.BytesSent {
		t.Errorf("counters: %+v", a.Counters())
	}
}

// Guards against one-way messages that do not reach their handler or name the
// wrong sender.
func TestOneWay(t *testing.T) {
	c := newCluster(t)
	a, b := c.node("a"), c.node("b")
	got := make(chan string, 1)
	HandleOneWay(b, kindNote, func(_ context.Context, from string, in []byte) error {
		got <- from + ":" + string(in)
		return nil
	})
	if err := Send(context.Background(), a, "b", kindNote, []byte("hi")); err != nil {
		t.Fatal(err)
	}
	if note := <-got; note != "a:hi" {
		t.Errorf("got %q", note)
	}
}

// Guards against errors from which a caller cannot tell whether the handler ran.
func TestErrorsTellWhetherTheHandlerRan(t *testing.T) {
	c := newCluster(t)
	a, _ := c.node("a"), c.node("b")
	c.set("nowhere", "127.0.0.1:no-port")
	foreignCA := newCluster(t).ca
	c.start("foreign", foreignCA, clockwork.NewRealClock())
	call := func(host string, kind Kind, in any) error {
		_, err := Call[string](context.Background(), a, host, kind, in)
		return err
	}
	for _, test := range []struct {
		name    string
		err     error
		notSent bool
		cause   string
	}{
		{"handler failed", call("b", kindEcho, "fail"), false, "handler error"},
		{"unknown kind", call("b", "test/none", "x"), true, "no_handler"},
		{"malformed", call("b", kindEcho, 7), true, "malformed"},
		{"too large", call("b", kindEcho, strings.Repeat("x", MaxMessageBytes)), true, ErrTooLarge.Error()},
		{"unknown host", call("c", kindEcho, "x"), true, ErrUnknownHost.Error()},
		{"dial failed", call("nowhere", kindEcho, "x"), true, "no-port"},
		{"foreign CA", call("foreign", kindEcho, "x"), true, "certificate"},
	} {
		if test.err == nil || errors.Is(test.err, ErrNotSent) != test.notSent || !strings.Contains(test.err.Error(), test.cause) {
			t.Errorf("%s: %v", test.name, test.err)
		}
		if step, peer := steperr.StepAndPeer(test.err); step == "" || peer == "" {
			t.Errorf("%s: no step or peer in %v", test.name, test.err)
		}
	}
}

// Guards against one dial per request to a host that is down.
func TestBackoffAfterFailedDials(t *testing.T) {
	c := newCluster(t)
	clock := clockwork.NewFakeClockAt(time.Now())
	a := c.start("a", c.ca, clock)
	c.set("b", "127.0.0.1:no-port")
	for failures := uint64(1); failures < 8; failures++ {
		if _, err := echo(a, "b", "x"); errors.Is(err, ErrBackoff) {
			t.Fatalf("dial %d not tried after the backoff", failures)
		}
		if _, err := echo(a, "b", "x"); !errors.Is(err, ErrBackoff) || !errors.Is(err, ErrNotSent) {
			t.Fatalf("no backoff after %d failures: %v", failures, err)
		}
		if dials := a.Counters().DialsFailed; dials != failures {
			t.Fatalf("%d dials, want %d", dials, failures)
		}
		clock.Advance(BackoffMax)
	}
}

// Guards against unbounded requests in flight to one slow host, and against
// handlers that go on after the sender has cancelled.
func TestWorkInFlightIsBoundedAndCancelled(t *testing.T) {
	c := newCluster(t)
	a, b := c.node("a"), c.node("b")
	started, ended := make(chan struct{}, MaxInFlightPerHost), make(chan struct{}, MaxInFlightPerHost)
	Handle(b, kindBlock, func(ctx context.Context, _ string, _ int) (int, error) {
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return 0, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range MaxInFlightPerHost {
		wg.Go(func() { _, _ = CallTimeout[int](ctx, a, "b", kindBlock, 0, MaxTimeout) })
	}
	for range MaxInFlightPerHost {
		<-started
	}
	if _, err := echo(a, "b", "x"); !errors.Is(err, ErrBusy) || !errors.Is(err, ErrNotSent) {
		t.Errorf("request over the bound: %v", err)
	}
	cancel()
	for range MaxInFlightPerHost {
		<-ended
	}
	wg.Wait()
	if got, err := echo(a, "b", "x"); err != nil || got != "a:x" {
		t.Errorf("after the load: %q, %v", got, err)
	}
}

// Guards against reusing a flow that a path drops permanently while new flows
// work, and against treating a slow handler as a silent connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := newCluster(t)
	a, b := c.node("a"), c.node("b")
	Handle(b, kindBlock, func(ctx context.Context, _ string, _ int) (int, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	})
	relay := newRelay(t, b.Address())
	c.set("b", relay.address())
	if _, err := Call[int](context.Background(), a, "b", kindBlock, 0); !errors.Is(err, ErrTimeout) {
		t.Fatalf("slow handler: %v", err)
	}
	if n := a.Counters().SilentConnections; n != 0 {
		t.Fatal("a slow handler counted as a silent connection")
	}
	relay.silenceOpenFlows()
	if _, err := echo(a, "b", "x"); !errors.Is(err, ErrTimeout) || errors.Is(err, ErrNotSent) {
		t.Fatalf("on the silent flow: %v", err)
	}
	if got, err := echo(a, "b", "x"); err != nil || got != "a:x" {
		t.Fatalf("on a new flow: %q, %v", got, err)
	}
	if n := a.Counters().SilentConnections; n != 1 {
		t.Errorf("%d silent connections counted, want 1", n)
	}
}
