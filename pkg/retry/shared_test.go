package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSharedBudget guards against hosts that together send more retries than the
// operators allow in any window.
func TestSharedBudget(t *testing.T) {
	limits := SharedLimits{Ratio: 0.2, Fixed: 60, Window: 10 * time.Second}
	const hosts = 6
	var budgets []*SharedBudget
	for range hosts {
		budgets = append(budgets, NewSharedBudget(limits, func() int { return hosts }, time.Time{}))
	}
	start := time.Unix(1_700_000_000, 0)
	var requests, retries []time.Time
	for i := range 6000 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		b := budgets[i%hosts]
		b.RecordRequest("s", now)
		requests = append(requests, now)
		// Every request fails once.
		if b.Spend("s", now) {
			retries = append(retries, now)
		}
	}
	if len(retries) < 600 {
		t.Errorf("%d retries, want most of what is allowed", len(retries))
	}
	for _, from := range retries {
		inWindow := func(times []time.Time) int {
			n := 0
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(limits.Window)) {
					n++
				}
			}
			return n
		}
		if r := inWindow(retries); from.Before(start.Add(20*time.Second)) && float64(r) > limits.Ratio*float64(inWindow(requests))+float64(limits.Fixed) {
			t.Fatalf("%d retries from %v", r, from.Sub(start))
		}
	}
}

// TestRejectedSendsCount guards against a budget that ignores rejected first
// sends: they count as retries too.
func TestRejectedSendsCount(t *testing.T) {
	b := NewSharedBudget(SharedLimits{Fixed: 20, Window: 10 * time.Second}, func() int { return 1 }, time.Time{})
	now := time.Unix(1_700_000_000, 0)
	for range 20 {
		b.RecordRetry("s", now)
	}
	if b.Allows("s", now) || b.Spend("s", now) {
		t.Error("a retry was allowed")
	}
	if !b.Allows("s", now.Add(11*time.Second)) {
		t.Error("no retry is allowed in the next window")
	}
}

// TestKilledHostsKeepTheBudget guards against hosts that together send more retries than
// the operators allow because each process that starts has its full part at once. Hosts
// are killed at random, often all of them within a window, while every request fails.
func TestKilledHostsKeepTheBudget(t *testing.T) {
	limits := SharedLimits{Ratio: 0.2, Fixed: 60, Window: 10 * time.Second}
	const hosts, perSecond, seconds = 6, 60, 120
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		start := time.Unix(1_700_000_000, 0)
		var budgets []*SharedBudget
		for range hosts {
			budgets = append(budgets, NewSharedBudget(limits, func() int { return hosts }, time.Time{}))
		}
		// The share of seconds in which a host is killed.
		kills := []float64{0.1, 0.5, 2}[seed%3]
		var requests, retries []time.Time
		for i := range perSecond * seconds {
			now := start.Add(time.Duration(i) * time.Second / perSecond)
			if rng.Float64() < kills/perSecond {
				budgets[rng.IntN(hosts)] = NewSharedBudget(limits, func() int { return hosts }, now)
			}
			b := budgets[rng.IntN(hosts)]
			b.RecordRequest("s", now)
			requests = append(requests, now)
			if b.Spend("s", now) {
				retries = append(retries, now)
			}
		}
		first, last, firstRequest, lastRequest, most := 0, 0, 0, 0, 0.0
		for ; first < len(retries) && retries[first].Before(start.Add((seconds-10)*time.Second)); first++ {
			until := retries[first].Add(limits.Window)
			for ; last < len(retries) && retries[last].Before(until); last++ {
			}
			for ; requests[firstRequest].Before(retries[first]); firstRequest++ {
			}
			for ; lastRequest < len(requests) && requests[lastRequest].Before(until); lastRequest++ {
			}
			most = max(most, float64(last-first)/(limits.Ratio*float64(lastRequest-firstRequest)+float64(limits.Fixed)))
		}
		if most > 1 {
			t.Errorf("seed %d, %v kills a second: %.2f of what is allowed", seed, kills, most)
		}
		if len(retries) < perSecond*seconds/100 {
			t.Errorf("seed %d: %d retries of %d requests that fail", seed, len(retries), len(requests))
		}
		t.Logf("seed %d, %v kills a second: up to %.2f of what is allowed, %d retries", seed, kills, most, len(retries))
	}
}

// TestStartedHostEarnsItsPart guards against a host that starts with its full part, and
// against one that never gets it.
func TestStartedHostEarnsItsPart(t *testing.T) {
	limits := SharedLimits{Fixed: 40, Window: 10 * time.Second}
	start := time.Unix(1_700_000_000, 0)
	spent := func(startedAt time.Time, hosts int, after time.Duration) int {
		b := NewSharedBudget(limits, func() int { return hosts }, startedAt)
		n := 0
		for b.Spend("s", start.Add(after)) {
			n++
		}
		return n
	}
	for _, c := range []struct {
		startedAt time.Time
		hosts     int
		after     time.Duration
		want      int
	}{
		{start, 1, 0, 0}, {start, 1, 5 * time.Second, 4}, {start, 1, 10 * time.Second, 30}, {start, 2, 10 * time.Second, 15},
		{time.Time{}, 1, 0, 30}, {time.Time{}, 0, 0, 0},
	} {
		if got := spent(c.startedAt, c.hosts, c.after); got != c.want {
			t.Errorf("%d retries %v after the start (zero: first start: %t) with %d hosts, want %d", got, c.after, c.startedAt.IsZero(), c.hosts, c.want)
		}
	}
}
