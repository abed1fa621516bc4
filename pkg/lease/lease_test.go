package lease

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
)

const (
	seedEnv   = "LEASE_SEED"
	schedules = 50
	hostLag   = 5 * time.Second
)

var testKey = Key{Domain: "providence", Duty: EngineOrders}

// schedule is one random run of three hosts that send orders to a receiver
// which ignores fencing numbers.
type schedule struct {
	rates faultlog.Rates
	// pauseAfter is the longest pause between check and send; it needs clearance.
	pauseAfter time.Duration
	// pauseAppend is the longest pause between the start of the lease time and
	// the append.
	pauseAppend time.Duration
	// truncate lets the retention pass every record now and then.
	truncate bool
	// firstOnly limits the faults to host a.
	firstOnly bool
	guards    guards
}

type order struct {
	holder string
	fence  int64
}

// receiver applies every order that arrives, and records it with the time.
type receiver struct {
	mu     sync.Mutex
	orders []porcupine.Operation
}

func (r *receiver) apply(g Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := int64(len(r.orders)) * 2
	r.orders = append(r.orders, porcupine.Operation{Input: order{g.Holder, g.Fence}, Call: at, Return: at + 1})
}

// model is authority as a receiver sees it: once an order of a later term has
// arrived, no order of an earlier one may, and a term has one holder.
var model = porcupine.Model{
	Init: func() any { return order{fence: none} },
	Step: func(state, input, _ any) (bool, any) {
		last, next := state.(order), input.(order)
		return next.fence > last.fence || next == last, next
	},
}

// countingClock counts the waits that are over before they begin. Under the race
// detector, the runtime crashes when two goroutines of a synctest bubble receive
// from expired timers at once.
type countingClock struct {
	clockwork.Clock
	expired *atomic.Int64
}

func (c countingClock) After(d time.Duration) <-chan time.Time {
	if d <= 0 {
		c.expired.Add(1)
	}
	return c.Clock.After(d)
}

type process struct {
	m    *Manager
	host string
	mu   sync.Mutex
	dead bool
	stop context.CancelFunc
}

func (p *process) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.stop()
	p.m.Close()
}

// world is the state of one schedule outside the processes.
type world struct {
	s      schedule
	random *rand.Rand
	mem    *logservice.Memory
	faults []*faultlog.Client
	rc     receiver
	wg     sync.WaitGroup
	mu     sync.Mutex
	gone   map[string]time.Time // host instances that left, by time
	starts int
	all    []*process
	// expiredWaits counts the waits of the managers that were over at once.
	expiredWaits atomic.Int64
}

func (w *world) absentFor(host string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.gone[host]; ok {
		return time.Since(at)
	}
	return 0
}

func (w *world) leave(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[host] = time.Now()
}

func (w *world) start(host string) *process {
	w.starts++
	clock := clockwork.NewRealClock()
	rates := w.s.rates
	if w.s.firstOnly && host != "a" {
		rates = faultlog.Rates{}
	}
	f := faultlog.New(w.mem, clock, rand.New(rand.NewSource(w.random.Int63())), rates)
	w.faults = append(w.faults, f)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{host: host, stop: stop}
	pauses := rand.New(rand.NewSource(w.random.Int63()))
	var mu sync.Mutex
	draw := func(longest time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if pauses.Intn(4) > 0 || longest == 0 {
			return 0
		}
		return time.Duration(pauses.Int63n(int64(longest)))
	}
	p.m = newManager(Options{
		Client: f, Clock: countingClock{clock, &w.expiredWaits}, Rand: rand.New(rand.NewSource(w.random.Int63())),
		Incarnation: fmt.Sprintf("%s.%d", host, w.starts), Host: host, Address: host + ":1",
		Keys: []Key{testKey}, HostAbsentFor: w.absentFor, HostListLag: hostLag,
	}, w.s.guards, func(string) { time.Sleep(draw(w.s.pauseAppend)) })
	w.all = append(w.all, p)
	for range 3 { // orders in flight at the same time
		w.wg.Go(func() {
			for ctx.Err() == nil {
				w.send(p, draw)
				time.Sleep(time.Second + draw(time.Second))
			}
		})
	}
	return p
}

// send is an order with a pause of the process before the check, and between
// check and send.
func (w *world) send(p *process, draw func(time.Duration) time.Duration) {
	use, err := p.m.Begin(testKey)
	if err != nil {
		return
	}
	defer use.Done()
	if w.s.pauseAfter > 0 && len(p.m.Uncleared(testKey, nil)) > 0 {
		return
	}
	time.Sleep(draw(40 * time.Second))
	grant, err := use.Check()
	if err != nil {
		return
	}
	time.Sleep(draw(w.s.pauseAfter))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.dead {
		w.rc.apply(grant)
	}
}

func runSchedule(t *testing.T, seed int64, s schedule) (violation bool, orders int) {
	w := &world{s: s, gone: map[string]time.Time{}}
	synctest.Test(t, func(t *testing.T) {
		w.random = rand.New(rand.NewSource(seed))
		w.mem = logservice.NewMemory(clockwork.NewRealClock())
		procs := []*process{w.start("a")}
		if s.firstOnly {
			time.Sleep(time.Minute) // host a holds the lease first
		}
		procs = append(procs, w.start("b"), w.start("c"))
		for step := range 12 {
			time.Sleep(time.Duration(w.random.Int63n(int64(20 * time.Second))))
			n := w.random.Intn(len(procs))
			switch w.random.Intn(5) {
			case 0: // the process is killed and restarted on its host
				procs[n].kill()
				procs[n] = w.start(procs[n].host)
			case 1: // the host is replaced
				procs[n].kill()
				w.leave(procs[n].host)
				procs[n] = w.start(fmt.Sprint("host", step))
			case 2: // the log is down for one host, at times longer than a lease
				f := w.faults[w.random.Intn(len(w.faults))]
				f.SetDown(true)
				time.Sleep(time.Duration(w.random.Int63n(int64(30 * time.Second))))
				f.SetDown(false)
			case 3: // planned stop
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				_ = procs[n].m.Release(ctx, testKey)
				cancel()
			case 4:
				if s.truncate {
					w.mem.TruncateOlderThan(time.Now().Add(-time.Duration(w.random.Int63n(int64(4 * time.Second)))))
					procs = append(procs, w.start(fmt.Sprint("late", step)))
				}
			}
		}
		for _, p := range procs {
			p.stop()
		}
		w.wg.Wait()
		for _, p := range procs {
			p.m.Close()
		}
		for _, f := range w.faults {
			f.Close()
		}
	})
	if n := w.expiredWaits.Load(); n > 0 {
		t.Errorf("seed %d: %d waits were over before they began", seed, n)
	}
	return !porcupine.CheckOperations(model, w.rc.orders), len(w.rc.orders)
}

var (
	rates     = faultlog.Rates{Lost: .15, Late: .15, Never: .05, Slow: .1, MaxDelay: 20 * time.Second}
	timing    = schedule{rates: rates, pauseAppend: 20 * time.Second}
	paused    = schedule{rates: rates, pauseAppend: 20 * time.Second, pauseAfter: 90 * time.Second}
	slow      = schedule{rates: faultlog.Rates{Slow: .6, MaxDelay: 40 * time.Second}, firstOnly: true, pauseAppend: 20 * time.Second}
	truncated = schedule{rates: rates, pauseAppend: 20 * time.Second, truncate: true}
	both      = schedule{rates: rates, pauseAppend: 20 * time.Second, truncate: true, pauseAfter: 90 * time.Second}
)

// TestReceiverSeesOneAuthority runs every kind of schedule with all guards.
func TestReceiverSeesOneAuthority(t *testing.T) {
	for name, s := range map[string]schedule{"timing": timing, "slow": slow, "paused": paused, "truncated": truncated, "both": both} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			total := 0
			seeds := faultlog.Seeds(seedEnv, schedules)
			for _, seed := range seeds {
				violation, orders := runSchedule(t, seed, s)
				total += orders
				if violation {
					t.Errorf("%s=%d: an order of an earlier term arrived after one of a later term", seedEnv, seed)
				}
			}
			t.Logf("%d schedules, %d orders received", len(seeds), total)
		})
	}
}

// TestCheckerDetectsMissingGuards guards against a checker that cannot fail:
// the same schedules without a guard have to show two authorities.
func TestCheckerDetectsMissingGuards(t *testing.T) {
	for name, c := range map[string]struct {
		s schedule
		g guards
	}{
		"check at the last moment":      {timing, guards{noExpiry: true}},
		"condition of a claim":          {timing, guards{acceptAnyClaim: true}},
		"measuring from the start":      {slow, guards{measureLate: true}},
		"waiting for the lease to pass": {timing, guards{noWait: true}},
		"care with a truncated view":    {truncated, guards{trustTruncated: true}},
		"clearance":                     {paused, guards{noClearance: true}},
		"no release while in use":       {paused, guards{releaseInUse: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			detected, ran := 0, 0
			for seed := int64(1); seed <= schedules || (detected == 0 && seed <= 8*schedules); seed++ {
				ran++
				s := c.s
				s.guards = c.g
				if violation, _ := runSchedule(t, seed, s); violation {
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

// TestSuccessorTakesOver guards against an authority that nobody can use any
// more: after a kill, a replaced host, a planned stop and the loss of all
// records, some process holds the lease, and its predecessors get cleared.
func TestSuccessorTakesOver(t *testing.T) {
	whole := DefaultDuration + DefaultMargin
	for name, c := range map[string]struct {
		change func(w *world, a *process)
		wait   time.Duration
	}{
		"restart":  {func(w *world, a *process) { a.kill(); w.start("a") }, 10 * time.Second},
		"replaced": {func(w *world, a *process) { a.kill(); w.leave("a"); w.start("b") }, whole + hostLag + 10*time.Second},
		"release": {func(w *world, a *process) {
			w.start("b")
			time.Sleep(5 * time.Second)
			_ = a.m.Release(context.Background(), testKey)
		}, 10 * time.Second},
		"live holder after truncation": {func(w *world, a *process) {
			w.mem.TruncateOlderThan(time.Now().Add(time.Hour))
			w.start("b")
			time.Sleep(90 * time.Second) // two consecutive renewals despite pauses
			a.kill()
			w.leave("a")
		}, whole + hostLag + 10*time.Second},
		"every record lost": {func(w *world, a *process) {
			a.kill()
			w.mem.TruncateOlderThan(time.Now().Add(time.Hour))
			b := w.start("b")
			time.Sleep(5 * time.Second)
			_ = b.m.DeclareUnknownEnded(context.Background())
			time.Sleep(2 * whole)
			_ = b.m.DeclareUnknownEnded(context.Background())
		}, whole},
	} {
		t.Run(name, func(t *testing.T) {
			for _, seed := range faultlog.Seeds(seedEnv, 40) {
				synctest.Test(t, func(t *testing.T) {
					w := &world{s: schedule{pauseAfter: 5 * time.Second}, gone: map[string]time.Time{}, random: rand.New(rand.NewSource(seed))}
					w.mem = logservice.NewMemory(clockwork.NewRealClock())
					a := w.start("a")
					time.Sleep(60 * time.Second)
					w.rc.mu.Lock()
					before := len(w.rc.orders)
					w.rc.mu.Unlock()
					procs := w.collect(func() { c.change(w, a) })
					time.Sleep(c.wait + 150*time.Second) // pauses of the senders
					w.rc.mu.Lock()
					last := w.rc.orders[len(w.rc.orders)-1].Input.(order)
					w.rc.mu.Unlock()
					if before == 0 || last.holder == "a.1" {
						t.Errorf("%s=%d: %d orders before, last order by %s", seedEnv, seed, before, last.holder)
					}
					for _, p := range append(procs, a) {
						p.stop()
					}
					w.wg.Wait()
					for _, p := range append(procs, a) {
						p.m.Close()
					}
				})
			}
		})
	}
}

// collect runs f and returns the processes that it started.
func (w *world) collect(f func()) []*process {
	from := len(w.all)
	f()
	return w.all[from:]
}

// TestSteadyCost prints appends a second per key as hosts grow and heap bytes
// per lease. It guards against claims by everybody and renewals by many.
func TestSteadyCost(t *testing.T) {
	for _, hosts := range []int{2, 4, 8, 16, 64} {
		synctest.Test(t, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			mem := logservice.NewMemory(clock)
			var managers []*Manager
			for i := range hosts {
				host := fmt.Sprint("h", i)
				managers = append(managers, New(Options{Client: mem, Clock: clock, Rand: rand.New(rand.NewSource(int64(i))),
					Incarnation: host + ".1", Host: host, Address: host, Keys: []Key{testKey}, LiveHosts: func() int { return hosts }}))
			}
			time.Sleep(10 * time.Second)
			start, _ := mem.Read(context.Background(), logservice.StreamLease, 0, 1, 0)
			time.Sleep(100 * time.Second)
			end, _ := mem.Read(context.Background(), logservice.StreamLease, 0, 1, 0)
			perSecond := float64(end.End-start.End) / 100
			t.Logf("hosts=%d claims=%d appends_per_s_per_key=%.2f", hosts, start.End, perSecond)
			if perSecond > 0.3 || start.End > int64(2+hosts/2) {
				t.Errorf("%d hosts append %.2f records a second after %d claims", hosts, perSecond, start.End)
			}
			for _, m := range managers {
				m.Close()
			}
		})
	}
	const n = 10_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newFold(time.Now(), guards{})
	for i := range n {
		term := Term{Holder: "host-0123456789abcdef", Host: "host-0123456789ab", Address: "10.0.0.1:7000"}
		e, _ := logservice.NewEntry("id", kindClaim, statement{Key: Key{Domain: fmt.Sprint("domain", i), Duty: UsageReports}, Term: term, Previous: none})
		f.fold(logservice.Record{Offset: int64(i)}, e, time.Time{})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("heap_bytes_per_lease=%d", (after.HeapAlloc-before.HeapAlloc)/n)
	runtime.KeepAlive(f)
}

// TestMergeKeepsUnknownTerms guards against a predecessor that is lost because
// an inexact list, which has UnknownHolder in its place, is taken as complete.
// Random schedules found this about once in 400.
func TestMergeKeepsUnknownTerms(t *testing.T) {
	unknown, a, b := Term{Holder: UnknownHolder}, Term{Holder: "a"}, Term{Holder: "b", Fence: 3}
	for i, c := range []struct{ known, stated, want []Term }{
		{[]Term{a, b}, []Term{b}, []Term{b}},
		{[]Term{b}, []Term{a, b}, []Term{b}},
		{[]Term{a}, []Term{unknown, b}, []Term{a}},
		{[]Term{unknown, b}, []Term{a}, []Term{a}},
		{[]Term{unknown, a}, []Term{unknown, b}, []Term{unknown}},
	} {
		if got := merge(c.known, c.stated); !slices.Equal(got, c.want) {
			t.Errorf("case %d: got %v, want %v", i, got, c.want)
		}
	}
}

// TestHeldSoonAfterAnOutage guards against a holder that gets its lease back so
// late after an outage of the log that what was due meanwhile is missed.
func TestHeldSoonAfterAnOutage(t *testing.T) {
	const bound = 1200 * time.Millisecond
	for _, seed := range faultlog.Seeds(seedEnv, 20) {
		synctest.Test(t, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			random := rand.New(rand.NewSource(seed))
			f := faultlog.New(logservice.NewMemory(clock), clock, rand.New(rand.NewSource(seed)), faultlog.Rates{})
			m := New(Options{Client: f, Clock: clock, Rand: random, Incarnation: "a.1", Host: "a", Address: "a:1", Keys: []Key{testKey},
				HostAbsentFor: func(string) time.Duration { return 0 }, Duration: 3 * time.Second, Margin: 700 * time.Millisecond,
				ClaimSpread: 300 * time.Millisecond, Reading: logservice.Reading{Pace: 400 * time.Millisecond, MaxBackoff: 400 * time.Millisecond}})
			time.Sleep(10 * time.Second)
			f.SetDown(true)
			time.Sleep(8*time.Second + time.Duration(random.Int63n(int64(time.Second))))
			f.SetDown(false)
			began := time.Now()
			for _, err := m.Check(testKey); err != nil && time.Since(began) < time.Minute; _, err = m.Check(testKey) {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(began); took > bound {
				t.Errorf("%s=%d: held %v after the outage", seedEnv, seed, took)
			}
			m.Close()
			f.Close()
		})
	}
}
