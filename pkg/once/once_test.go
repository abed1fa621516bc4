package once

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
)

const (
	testPeriod = 60 * time.Second
	seedEnv    = "ONCE_SEED"
	schedules  = 200
)

// schedule is one random run: three hosts, two keys, faults and pauses.
type schedule struct {
	rates          faultlog.Rates
	pause          time.Duration // longest pause between attempt record and send
	gap            time.Duration // longest time between requests
	truncate       bool          // retention passes young records and a host restarts
	disabled       disabledGuards
	unguardedTable bool
}

// receiver records what reached the order service. The checkers rely on it alone.
type receiver struct {
	mu   sync.Mutex
	runs map[string][]time.Time // by key
	seen map[string]bool        // by request
	ops  []porcupine.Operation
}

type operation struct{ key, request string }
type result struct {
	outcome string // request whose outcome was returned
	ran     bool   // the receiver saw this request
}

func (rc *receiver) run(key, request string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.runs[key] = append(rc.runs[key], time.Now())
	rc.seen[request] = true
}

// model is an at-most-once register: a key runs one request, and every outcome
// of the key is that request's. The result says whether the receiver saw the
// request, so the run of a request that was refused as not run counts too.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(operation).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		ran, in, out := state.(string), input.(operation), output.(result)
		if out.ran {
			if ran != "" {
				return false, state
			}
			ran = in.request
		}
		return out.outcome == "" || out.outcome == ran, ran
	},
}

func runSchedule(t *testing.T, seed int64, s schedule) (violation string) {
	rc := &receiver{runs: map[string][]time.Time{}, seen: map[string]bool{}}
	falseRefusals := map[string]bool{}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewSource(seed))
		clock := clockwork.NewRealClock()
		mem := logservice.NewMemory(clock)
		var executors []*Executor
		var faults []*faultlog.Client
		start := func(name string) *Executor {
			f := faultlog.New(mem, clock, rand.New(rand.NewSource(random.Int63())), s.rates)
			pauses := rand.New(rand.NewSource(random.Int63()))
			var mu sync.Mutex
			pause := func(string) {
				mu.Lock()
				d, p := time.Duration(pauses.Int63n(int64(s.pause)+1)), pauses.Intn(2)
				mu.Unlock()
				time.Sleep(d * time.Duration(p))
			}
			x, err := newExecutor(Options{
				Client: f, Clock: clock, Rand: rand.New(rand.NewSource(random.Int63())), Incarnation: name, Period: testPeriod,
			}, s.disabled, pause, s.unguardedTable)
			if err != nil {
				t.Fatal(err)
			}
			executors, faults = append(executors, x), append(faults, f)
			return x
		}
		hosts := []*Executor{start("h0.0"), start("h1.0"), start("h2.0")}
		began := time.Now()
		var wg sync.WaitGroup
		for i := range 16 {
			key, request, x := fmt.Sprint("key", random.Intn(2)), fmt.Sprint("request", i), hosts[random.Intn(len(hosts))]
			wg.Go(func() {
				op := porcupine.Operation{ClientId: i, Input: operation{key, request}, Call: int64(time.Since(began))}
				outcome, err := x.Execute(context.Background(), Request{Team: "t", Key: key, Digest: sha256.Sum256([]byte(key))},
					func(context.Context) (Outcome, error) {
						rc.run(key, request)
						time.Sleep(50 * time.Millisecond)
						return Outcome{Status: 200, Body: []byte(request)}, nil
					})
				out := result{}
				if err == nil {
					out.outcome = string(outcome.Body)
				}
				op.Output, op.Return = out, int64(time.Since(began))
				rc.mu.Lock()
				defer rc.mu.Unlock()
				if errors.Is(err, ErrNotRun) {
					falseRefusals[request] = rc.seen[request]
				}
				rc.ops = append(rc.ops, op)
			})
			time.Sleep(time.Duration(random.Int63n(int64(s.gap))))
			if s.truncate && random.Intn(3) == 0 {
				mem.TruncateOlderThan(time.Now().Add(-time.Duration(random.Int63n(int64(testPeriod / 2)))))
				n := random.Intn(len(hosts))
				hosts[n] = start(fmt.Sprintf("h%d.%d", n, i+1)) // the old process keeps running
			}
		}
		wg.Wait()
		time.Sleep(20 * time.Second) // late appends, and the sends that they may cause
		for i, x := range executors {
			x.Close()
			faults[i].Close()
		}
	})
	for key, runs := range rc.runs {
		for i := 1; i < len(runs); i++ {
			if gap := runs[i].Sub(runs[i-1]); gap < testPeriod-DefaultSendLimit {
				return fmt.Sprintf("%s ran twice within %v", key, gap)
			}
		}
	}
	for request, falseRefusal := range falseRefusals {
		if falseRefusal {
			return request + " was refused as not run but ran"
		}
	}
	if s.pause > 0 || s.truncate {
		return "" // the period ends during the run, so a key may run again
	}
	for i, op := range rc.ops {
		out := op.Output.(result)
		out.ran = rc.seen[op.Input.(operation).request]
		rc.ops[i].Output = out
	}
	if !porcupine.CheckOperations(model, rc.ops) {
		return "history is not linearizable"
	}
	return ""
}

var (
	lossy      = faultlog.Rates{Lost: .15, Late: .3, Never: .1, Slow: .2, MaxDelay: 6 * time.Second}
	faulty     = schedule{rates: lossy, gap: 2 * time.Second}
	paused     = schedule{rates: faultlog.Rates{Lost: .1}, gap: 12 * time.Second, pause: 100 * time.Second}
	truncating = schedule{rates: faultlog.Rates{Lost: .1}, gap: 6 * time.Second, truncate: true}
)

// TestAtMostOnce runs every kind of schedule with all guards.
func TestAtMostOnce(t *testing.T) {
	for name, s := range map[string]schedule{"faults": faulty, "pauses": paused, "truncation": truncating} {
		t.Run(name, func(t *testing.T) {
			for _, seed := range faultlog.Seeds(seedEnv, schedules) {
				if v := runSchedule(t, seed, s); v != "" {
					t.Errorf("%s=%d: %s", seedEnv, seed, v)
				}
			}
		})
	}
}

// TestCheckersDetectMissingGuards guards against a checker that cannot fail:
// the same schedules without a guard have to violate at-most-once.
func TestCheckersDetectMissingGuards(t *testing.T) {
	without := map[string]schedule{}
	s := faulty
	s.disabled.firstWins = true
	without["first record wins"] = s
	s = faulty
	s.disabled.withdraw = true
	without["withdrawal after a lost answer"] = s
	s = paused
	s.disabled.sendLimit = true
	without["limit between winning and sending"] = s
	s = truncating
	s.unguardedTable = true
	without["refusal after truncation"] = s
	for name, s := range without {
		t.Run(name, func(t *testing.T) {
			detected, ran := 0, 0
			for seed := int64(1); seed <= schedules || (detected == 0 && seed <= 8*schedules); seed++ {
				ran++
				if runSchedule(t, seed, s) != "" {
					detected++
				}
			}
			t.Logf("without %s: violations in %d of %d schedules", name, detected, ran)
			if detected == 0 {
				t.Errorf("no violation detected")
			}
		})
	}
}

// TestReceiverFailures guards against a retry that is refused although the
// request did not reach the receiver, against a second run after a request that
// may have reached it, and against a key that is used for two requests.
func TestReceiverFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		x, _ := New(Options{Client: logservice.NewMemory(clock), Clock: clock, Rand: rand.New(rand.NewSource(1)), Incarnation: "a", Period: testPeriod})
		defer x.Close()
		send := func(err error) func(context.Context) (Outcome, error) {
			return func(context.Context) (Outcome, error) { return Outcome{Status: 201}, err }
		}
		for i, step := range []struct {
			key, body  string
			send, want error
		}{
			{"k", "a", errors.Wrap(ErrNotRun, "connection refused"), ErrNotRun},
			{"k", "a", nil, nil},
			{"k", "a", errors.New("sent twice"), nil},
			{"k", "b", nil, ErrKeyReused},
			{"l", "a", errors.New("connection reset"), ErrOutcomeUnknown},
			{"l", "a", nil, ErrOutcomeUnknown},
			{"", "a", nil, ErrNotRun},
		} {
			_, err := x.Execute(context.Background(), Request{Team: "t", Key: step.key, Digest: sha256.Sum256([]byte(step.body))}, send(step.send))
			if !errors.Is(err, step.want) {
				t.Errorf("step %d: got %v, want %v", i, err, step.want)
			}
			if err := x.Flush(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestTableMemory prints the heap bytes per attempt. It guards against a table
// that grows past its bound, or counts as complete after it dropped a young entry.
func TestTableMemory(t *testing.T) {
	const n = 20_000
	table := newTable(time.Hour, n, 1<<20, func(keyHash) {})
	fold := func(i int) {
		key := hashKey("team", fmt.Sprint(i))
		id := fmt.Sprintf("host-0123456789abcdef/%d", i)
		e, _ := logservice.NewEntry(id, kindAttempt, attemptRecord{Team: "team", KeyHash: fmt.Sprintf("%x", key[:]), Digest: fmt.Sprintf("%x", key[:]), Incarnation: "host-0123456789abcdef", Attempt: id})
		table.fold(logservice.Record{Offset: int64(i), TimeMillis: int64(i) + 1}, e)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range n {
		fold(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("heap_bytes_per_attempt=%d", (after.HeapAlloc-before.HeapAlloc)/n)
	if !table.complete() {
		t.Error("view is incomplete before an entry was dropped")
	}
	fold(n)
	if len(table.entries) != n || table.complete() {
		t.Errorf("%d entries, complete %v, after the bound was passed", len(table.entries), table.complete())
	}
}

// TestDoubtfulKeyStaysBlocked folds the records of a key whose first owner is
// missing from a truncated view. It guards against a second owner in that view:
// the view takes a losing attempt for the owner, and when that attempt is
// abandoned, another attempt already owns the key in a complete view.
func TestDoubtfulKeyStaysBlocked(t *testing.T) {
	for _, unguarded := range []bool{false, true} {
		complete, late := newTable(testPeriod, 10, 10, func(keyHash) {}), newTable(testPeriod, 10, 10, func(keyHash) {})
		late.unguarded = unguarded
		late.markTruncated()
		key := hashKey("t", "k")
		for i, r := range []struct {
			second        int64
			kind, attempt string
		}{
			{1, kindAttempt, "missing owner"},
			{10, kindAttempt, "loser"},
			{62, kindAttempt, "owner"},
			{63, kindAbandoned, "loser"},
			{72, kindAttempt, "late"},
		} {
			e, _ := logservice.NewEntry(r.attempt, r.kind, attemptRecord{KeyHash: fmt.Sprintf("%x", key[:]), Digest: fmt.Sprintf("%x", key[:]), Attempt: r.attempt})
			rec := logservice.Record{Offset: int64(i), TimeMillis: 1000 * r.second}
			complete.fold(rec, e)
			if i > 0 {
				late.fold(rec, e)
			}
		}
		owner, other := complete.entries[key], late.entries[key]
		twoOwners := other.attempt != owner.attempt && !other.ownerUncertain
		if owner.attempt != "owner" || twoOwners != unguarded {
			t.Errorf("unguarded %v: owner %s, truncated view has %s, owner uncertain %v", unguarded, owner.attempt, other.attempt, other.ownerUncertain)
		}
	}
}
