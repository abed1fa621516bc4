package orders

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
)

const (
	seedEnv   = "ORDERS_SEED"
	schedules = 60
)

var testKey = lease.Key{Domain: "ennis-loft", Duty: lease.EngineOrders}

// engine is a simulated engine. It records the orders that it applies and counts
// the requests that a role change interrupts.
type engine struct {
	mu            sync.Mutex
	wg            sync.WaitGroup
	random        *rand.Rand
	load          endpoint.Load
	starts        int
	changing      bool
	checksFencing bool
	fence         int64
	conns         map[*engineConn]bool
	history       []endpoint.Load
	applied       []porcupine.Operation
	interrupted   int
	changes       int
}

type engineConn struct {
	e        *engine
	holder   string
	instance string
	closed   bool
	inFlight bool
}

func (e *engine) randomDuration(n time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.random.Int63n(int64(n)))
}

func (e *engine) chance(p float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < p
}

func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.load = endpoint.Load{Instance: fmt.Sprint("i", e.starts), Role: endpoint.RoleMixed}
	e.changing, e.fence, e.history = false, -1, nil
	e.conns = map[*engineConn]bool{}
}

// serve starts a request every second unless the engine is draining or changing,
// and stores the report of each second.
func (e *engine) serve(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.load.ReportedAtMillis = time.Now().UnixMilli()
		e.history = append(e.history, e.load)
		if !e.load.Draining && !e.changing {
			e.load.Running++
			instance := e.load.Instance
			length := time.Duration(e.random.Int63n(int64(12 * time.Second)))
			e.wg.Go(func() {
				time.Sleep(length)
				e.mu.Lock()
				defer e.mu.Unlock()
				if e.load.Instance == instance {
					e.load.Running = max(0, e.load.Running-1)
				}
			})
		}
		e.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (e *engine) Load(context.Context, endpoint.Endpoint) (endpoint.Load, error) {
	lag := int(e.randomDuration(MaxReportLag-time.Second) / time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.history) == 0 {
		return endpoint.Load{}, errors.New("the engine has no report yet")
	}
	return e.history[max(0, len(e.history)-1-lag)], nil
}

func (e *engine) ConnectedHolders(context.Context, endpoint.Endpoint) ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var holders []string
	for c := range e.conns {
		if !c.closed || c.inFlight {
			holders = append(holders, c.holder)
		}
	}
	return holders, nil
}

// Connect sometimes pauses the process between two checks of its lease.
func (e *engine) Connect(_ context.Context, _ endpoint.Endpoint, holder string) (EngineConn, error) {
	if e.chance(.1) {
		time.Sleep(e.randomDuration(60 * time.Second))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &engineConn{e: e, holder: holder, instance: e.load.Instance}
	e.conns[c] = true
	return c, nil
}

func (c *engineConn) Instance() string { return c.instance }

func (c *engineConn) Close() {
	c.e.mu.Lock()
	defer c.e.mu.Unlock()
	c.closed = true
}

// Order sometimes delivers the order late, like a process that is paused between
// the lease check and the send, and sometimes loses the answer.
func (c *engineConn) Order(ctx context.Context, order enginewire.Order) error {
	answer := make(chan error, 1)
	c.e.mu.Lock()
	c.inFlight = true
	c.e.mu.Unlock()
	c.e.wg.Go(func() {
		if c.e.chance(.2) {
			time.Sleep(c.e.randomDuration(90 * time.Second))
		}
		err := c.e.apply(c, order)
		if !c.e.chance(.1) {
			answer <- err
		}
	})
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *engine) apply(c *engineConn, o enginewire.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.inFlight = false
	switch {
	case c.instance != e.load.Instance:
		return errors.New("connection reset")
	case e.checksFencing && o.Fence < e.fence:
		return &RefusedError{Code: enginewire.CodeStaleFence, Fence: e.fence}
	case e.changing:
		return &RefusedError{Code: enginewire.CodeChanging}
	}
	e.fence = o.Fence
	at := int64(2 * len(e.applied))
	e.applied = append(e.applied, porcupine.Operation{Input: o, Call: at, Return: at + 1})
	switch o.Kind {
	case enginewire.OrderDrain, enginewire.OrderResume:
		e.load.Draining = o.Kind == enginewire.OrderDrain
	case enginewire.OrderRole:
		e.interrupted += e.load.Running
		e.changing = true
		instance := e.load.Instance
		e.wg.Go(func() {
			time.Sleep(3 * time.Second)
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.load.Instance == instance {
				e.changing, e.load.Role = false, o.Role
				e.changes++
			}
		})
	}
	return nil
}

// model accepts the orders that an engine applies if the terms are in order,
// each term has one holder, and a holder's orders are in the order of their
// ids, in which the holder decided on them.
var model = porcupine.Model{
	Init: func() any { return enginewire.Order{Fence: -1} },
	Step: func(state, input, _ any) (bool, any) {
		last, next := state.(enginewire.Order), input.(enginewire.Order)
		sameTerm := next.Fence == last.Fence && next.Holder == last.Holder && orderNumber(next) > orderNumber(last)
		return next.Fence > last.Fence || sameTerm, next
	},
}

func orderNumber(o enginewire.Order) (n int) {
	_, _ = fmt.Sscan(o.ID[strings.LastIndex(o.ID, "/")+1:], &n)
	return n
}

type host struct {
	leases *lease.Manager
	stop   context.CancelFunc
	done   chan struct{}
}

func startHost(mem logservice.Client, e *engine, name string, seed int64, g safetyOverrides) *host {
	clock := clockwork.NewRealClock()
	random := rand.New(rand.NewSource(seed))
	h := &host{done: make(chan struct{})}
	h.leases = lease.New(lease.Options{
		Client: faultlog.New(mem, clock, rand.New(rand.NewSource(seed+1)), faultlog.Rates{Lost: .1, Never: .3}), Clock: clock, Rand: random,
		Incarnation: name, Host: name, Address: name, Keys: []lease.Key{testKey},
	})
	s := NewSender(Options{Clock: clock, Leases: h.leases, Engines: e, Incarnation: name})
	s.overrides = g
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() {
		defer close(h.done)
		changer := NewChanger(s)
		for ctx.Err() == nil {
			target := Target{Role: endpoint.RolePrefill}
			if time.Now().Unix()/50%2 == 0 {
				target.Role = endpoint.RoleDecode
			}
			_, _ = changer.Step(context.Background(), testKey, endpoint.Endpoint{ID: "e", ChecksFencing: e.checksFencing}, target)
			time.Sleep(time.Second)
		}
	}()
	return h
}

// runSchedule simulates hosts that compete for one engine's lease, with random
// engine crashes and planned stops. It returns the violation of the model, if
// any, and the number of finished role changes.
func runSchedule(t *testing.T, seed int64, checksFencing bool, g safetyOverrides) (violation string, changes int) {
	e := &engine{random: rand.New(rand.NewSource(seed)), checksFencing: checksFencing}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewSource(seed))
		mem := logservice.NewMemory(clockwork.NewRealClock())
		e.restart()
		ctx, stop := context.WithCancel(context.Background())
		e.wg.Go(func() { e.serve(ctx) })
		hosts := []*host{startHost(mem, e, "a", seed, g), startHost(mem, e, "b", seed+100, g)}
		for i := range 8 {
			time.Sleep(time.Duration(random.Int63n(int64(80 * time.Second))))
			switch random.Intn(3) {
			case 0: // the engine crashes
				e.restart()
			case 1: // a host releases the lease with orders in flight; another host starts
				releaseCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				n := random.Intn(len(hosts))
				_ = hosts[n].leases.Release(releaseCtx, testKey)
				cancel()
				hosts = append(hosts, startHost(mem, e, fmt.Sprint("h", i), seed+int64(i), g))
			}
		}
		for _, h := range hosts {
			h.stop()
			<-h.done
			h.leases.Close()
		}
		stop()
		e.wg.Wait()
	})
	switch {
	case !porcupine.CheckOperations(model, e.applied):
		violation = "conflicting orders were applied"
	case e.interrupted > 0:
		violation = fmt.Sprintf("%d requests were interrupted", e.interrupted)
	}
	return violation, e.changes
}

// TestEngineSeesNoConflict guards against an engine that applies an order of an
// earlier holder after one of a later holder, orders that overtake each other,
// and role changes that interrupt requests. It runs with engines that check
// fencing tokens and with engines that do not.
func TestEngineSeesNoConflict(t *testing.T) {
	for _, checksFencing := range []bool{false, true} {
		t.Run(fmt.Sprint("fencing=", checksFencing), func(t *testing.T) {
			t.Parallel()
			changes := 0
			seeds := faultlog.Seeds(seedEnv, schedules)
			for _, seed := range seeds {
				violation, n := runSchedule(t, seed, checksFencing, safetyOverrides{})
				changes += n
				if violation != "" {
					t.Errorf("%s=%d: %s", seedEnv, seed, violation)
				}
			}
			t.Logf("%d schedules, %d role changes", len(seeds), changes)
			if changes < len(seeds) {
				t.Errorf("only %d role changes were finished", changes)
			}
		})
	}
}

// TestCheckerDetectsMissingGuards guards against a simulation that cannot fail:
// without any one of the safety mechanisms it must find a violation.
func TestCheckerDetectsMissingGuards(t *testing.T) {
	for name, g := range map[string]safetyOverrides{
		"clearance":               {noClearance: true},
		"binding to the instance": {noInstanceCheck: true},
		"settling":                {noSettle: true},
		"check after connect":     {noLateLeaseCheck: true},
		"report after drain":      {noFreshReport: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			detected, ran := 0, 0
			for seed := int64(1); seed <= schedules || (detected == 0 && seed <= 8*schedules); seed++ {
				ran++
				if violation, _ := runSchedule(t, seed, false, g); violation != "" {
					detected++
				}
			}
			t.Logf("without %s: violations in %d of %d schedules", name, detected, ran)
			if detected == 0 {
				t.Error("no violation detected")
			}
		})
	}
}
