package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a retry storm: during an outage in which every send fails, the
// retries stay near a tenth of the requests.
func TestOutageCausesNoRetryStorm(t *testing.T) {
	b := NewBudgets()
	rng := rand.New(rand.NewPCG(1, 1))
	const requests = 10_000
	retries := 0
	for range requests {
		b.Earn("a", "chat", start)
		for n := 1; ; n++ {
			if _, again := b.Retry(Attempt{Team: "a", Class: "chat", Number: n, Repeatable: true}, start, rng); !again {
				break
			}
			retries++
		}
	}
	if limit := int(requests*TokensPerRequest + MaxTokens); retries > limit {
		t.Fatalf("%d retries, limit %d", retries, limit)
	}
	if _, again := b.Retry(Attempt{Team: "b", Class: "chat", Number: 1, Repeatable: true}, start, rng); !again {
		t.Fatal("one team's outage uses up another team's budget")
	}
}

// Guards against a second run of work that may not be repeated.
func TestUnrepeatableWorkIsNotRetried(t *testing.T) {
	b := NewBudgets()
	rng := rand.New(rand.NewPCG(1, 1))
	if _, again := b.Retry(Attempt{Number: 1}, start, rng); again {
		t.Error("retried unrepeatable work whose outcome is unknown")
	}
	if _, again := b.Retry(Attempt{Number: 1, NotRun: true, Planned: true}, start, rng); !again {
		t.Error("not retried after a refusal by a draining endpoint")
	}
	if b.Hedge(Hedge{Elapsed: time.Second, Expected: time.Millisecond, Limit: 2 * time.Second, Alternative: 1}, start) {
		t.Error("hedged unrepeatable work")
	}
}

// Guards against hedges that cannot help or that double the load.
func TestHedge(t *testing.T) {
	h := Hedge{Repeatable: true, Elapsed: 700 * time.Millisecond, Expected: 300 * time.Millisecond,
		Limit: 1600 * time.Millisecond, Alternative: 300 * time.Millisecond}
	b := NewBudgets()
	if !b.Hedge(h, start) {
		t.Error("late request is not hedged")
	}
	tooLate := h
	tooLate.Alternative = time.Second
	if b.Hedge(tooLate, start) {
		t.Error("hedged although the second cannot meet the limit")
	}
	for range int(MaxTokens) {
		b.Hedge(h, start)
	}
	if b.Hedge(h, start) {
		t.Error("hedged without budget")
	}
}

// TestSilentEndpointIsKeptWithoutRetry guards against a silent endpoint that is given
// up although the request cannot be sent to another one.
func TestSilentEndpointIsKeptWithoutRetry(t *testing.T) {
	permitted := Silence{Repeatable: true, Sends: 1, MaxSends: 2, Alternative: true}
	if !permitted.MayGiveUp() {
		t.Error("kept although another endpoint can take over")
	}
	for name, change := range map[string]func(*Silence){
		"unrepeatable work": func(s *Silence) { s.Repeatable = false },
		"the last send":     func(s *Silence) { s.Sends = 2 },
		"no alternative":    func(s *Silence) { s.Alternative = false },
	} {
		s := permitted
		if change(&s); s.MayGiveUp() {
			t.Errorf("%s: given up", name)
		}
	}
}
