package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/standin/faultproxy"
	"github.com/clementineshed/clementineshed/pkg/standin/orderd"
)

// call is one request of a caller and its answer.
type call struct {
	Key, Host string
	Answer
}

// checkAtMostOnce returns the violations of at-most-once execution that the
// callers' answers and the order services' journals show.
func checkAtMostOnce(calls []call, executions []orderd.Execution) []string {
	var faults []string
	byKey, requests := map[string]int{}, map[string]bool{}
	for _, e := range executions {
		byKey[e.Key]++
		requests[e.Headers["X-Request-Id"]] = true
	}
	mayRun, outcome := map[string]bool{}, map[string]string{}
	for _, c := range calls {
		switch {
		case c.OK():
			if byKey[c.Key] == 0 {
				faults = append(faults, "answered but never executed: "+c.Key)
			}
			if first, ok := outcome[c.Key]; ok && first != c.Body {
				faults = append(faults, fmt.Sprintf("two outcomes for %s: %s and %s", c.Key, first, c.Body))
			}
			outcome[c.Key] = c.Body
		case c.Ran == refusal.RanNo && requests[c.RequestID]:
			faults = append(faults, fmt.Sprintf("answered \"not run\" by %s and executed: %s %s", c.Host, c.Key, c.RequestID))
		}
		mayRun[c.Key] = mayRun[c.Key] || c.Ran != refusal.RanNo
	}
	for key, n := range byKey {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("%d executions for %s", n, key))
		}
		if !mayRun[key] {
			faults = append(faults, "executed although every answer says not run: "+key)
		}
	}
	return faults
}

// schedule runs callers and injects faults; seed determines both.
type schedule struct {
	d    *Deployment
	seed uint64
	stop chan struct{}

	mu    sync.Mutex
	calls []call
	keys  int
}

func (s *schedule) newRand(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, part)) }

// call sends an order with key through h. The body depends on the key only, so
// that a repeated key is a repeated request.
func (s *schedule) call(h *Host, key string) Answer {
	a := h.Order(s.d.Key, key, `{"shipment":"`+key+`"}`)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call{Key: key, Host: h.Name, Answer: a})
	return a
}

// key returns a new key or, more often, one of the last eight.
func (s *schedule) key(rng *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == 0 || rng.Float64() < 0.3 {
		s.keys++
		return s.keyName(s.keys)
	}
	return s.keyName(max(1, s.keys-rng.IntN(8)))
}

func (s *schedule) keyName(n int) string { return fmt.Sprintf("order-%d-%d", s.seed, n) }

// wait sleeps for d. It returns false if the schedule ends first.
func (s *schedule) wait(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (s *schedule) runCaller(part uint64) {
	rng := s.newRand(part)
	for s.wait(time.Duration(rng.IntN(120)) * time.Millisecond) {
		s.call(s.d.Hosts[rng.IntN(len(s.d.Hosts))], s.key(rng))
	}
}

// injectFault injects one random fault, keeps it for a while and ends it.
func (s *schedule) injectFault(rng *rand.Rand) {
	d := s.d
	h := d.Hosts[rng.IntN(len(d.Hosts))]
	duration := time.Duration(200+rng.IntN(1500)) * time.Millisecond
	outages := []string{"unavailable", "reset", "silent"}
	switch n := rng.IntN(9); n {
	case 0:
		h.Kill()
		s.wait(duration / 2)
		h.Restart()
	case 1:
		h.Pause()
		s.wait(duration * time.Duration(1+rng.IntN(4)))
		h.Continue()
	case 2:
		h.LogLink.SetFaults(faultproxy.Faults{Cut: true})
		s.wait(duration * 2)
		h.LogLink.SetFaults(faultproxy.Faults{})
	case 3:
		h.LogLink.SetFaults(faultproxy.Faults{LoseAnswers: 1 + rng.IntN(5)})
		s.wait(duration)
		h.LogLink.SetFaults(faultproxy.Faults{})
	case 4:
		s.injectStandInFault(d.Log, duration, map[string]any{"lose_answers": 1 + rng.IntN(20)})
	case 5:
		s.injectStandInFault(d.Log, duration*2, map[string]any{"outage": outages[rng.IntN(3)]})
	case 6:
		s.injectStandInFault(d.Log, duration, map[string]any{"delay_appends": 1 + rng.IntN(20), "delay_ms": 500 + rng.IntN(5000)})
	case 7:
		s.injectStandInFault(d.Log, duration, map[string]any{"read_lag_ms": 100 + rng.IntN(4000)})
	default:
		crash := []string{"crash_before", "crash_after", "lose_answers"}[rng.IntN(3)]
		s.injectStandInFault(d.OrderServices[rng.IntN(len(d.OrderServices))], duration, map[string]any{crash: 1 + rng.IntN(2)})
	}
}

func (s *schedule) injectStandInFault(target *StandIn, duration time.Duration, faults map[string]any) {
	s.d.SetFaults(target, faults)
	s.wait(duration)
	s.d.SetFaults(target, map[string]any{})
}

// run lets callers and, if faults is true, faults act for length. Then it
// repeats every key through every host.
func (s *schedule) run(length time.Duration, faults bool) {
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { s.runCaller(uint64(i + 1)) })
	}
	if faults {
		wg.Go(func() {
			for rng := s.newRand(0); s.wait(time.Duration(rng.IntN(300)) * time.Millisecond); {
				s.injectFault(rng)
			}
		})
	}
	time.Sleep(length)
	close(s.stop)
	wg.Wait()
	for _, h := range s.d.Hosts {
		h.WaitReady()
	}
	limit := make(chan struct{}, 16)
	for n := range s.keys {
		for _, h := range s.d.Hosts {
			limit <- struct{}{}
			wg.Go(func() { s.call(h, s.keyName(n+1)); <-limit })
		}
	}
	wg.Wait()
}

func newSchedule(d *Deployment, seed uint64) *schedule {
	return &schedule{d: d, seed: seed, stop: make(chan struct{})}
}

// counts returns the number of answers by outcome.
func (s *schedule) counts() map[string]int {
	counts := map[string]int{}
	for _, c := range s.calls {
		if c.OK() {
			counts["served"]++
		} else {
			counts[string(c.Ran)+" "+c.Code]++
		}
	}
	return counts
}

// Guards, under faults, against an order that runs twice, an order that runs
// although its caller got the answer "not run", and two outcomes for one key.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	seeds := Scaled(3, 40)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			s := newSchedule(Start(t, Options{}), seed)
			s.run(7*time.Second, true)
			executions := s.d.Executions()
			for _, fault := range checkAtMostOnce(s.calls, executions) {
				t.Error(fault)
			}
			t.Logf("%d keys, %d executions, answers %v", s.keys, len(executions), s.counts())
			if len(executions) == 0 {
				t.Error("nothing was executed, so nothing was checked")
			}
			for _, h := range s.d.Hosts {
				Eventually(t, callerTimeout, h.Name+" serves orders again", func() bool {
					return s.call(h, fmt.Sprint("after-", rand.Uint64())).OK()
				})
			}
		})
	}
}

// Shows that checkAtMostOnce detects violations: those on a route declared
// repeatable, which has no at-most-once protection, and those of orders sent
// directly to the order service.
func TestAtMostOnceCheckDetectsViolations(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{EditDeclarations: func(doc *declaration.Document) { doc.Routes[1].Repeatable = true }})
	s := newSchedule(d, 1)
	s.run(500*time.Millisecond, false)
	if faults := checkAtMostOnce(s.calls, d.Executions()); len(faults) == 0 {
		t.Error("repeated executions on a repeatable route were not detected")
	} else {
		t.Logf("repeatable route: %d faults, first: %s", len(faults), faults[0])
	}
	for _, id := range []string{"r1", "r2"} {
		sendDirect(t, d.OrderServices[0], "direct", id)
	}
	calls := []call{{Key: "direct", Answer: Answer{Ran: refusal.RanNo, RequestID: "r1"}}}
	var executions []orderd.Execution
	for _, e := range d.Executions() {
		if e.Key == "direct" {
			executions = append(executions, e)
		}
	}
	if faults := checkAtMostOnce(calls, executions); len(faults) != 3 {
		t.Errorf("want two executions, one after \"not run\", all answers \"not run\": %v", faults)
	}
	two := []call{{Key: "direct", Answer: Answer{Status: 200, Body: "1"}}, {Key: "direct", Answer: Answer{Status: 200, Body: "2"}}}
	if faults := checkAtMostOnce(two, executions[:1]); len(faults) != 1 {
		t.Errorf("want two outcomes: %v", faults)
	}
}

// sendDirect sends an order to the order service, bypassing the entry hosts.
func sendDirect(t *testing.T, desk *StandIn, key, requestID string) {
	t.Helper()
	resp, err := Send(desk.Address, orderd.DefaultPrefix+"shipments", map[string]string{"Idempotency-Key": key, "X-Request-Id": requestID}, "{}")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
