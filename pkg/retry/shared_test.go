package retry

import (
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
		budgets = append(budgets, NewSharedBudget(limits, func() int { return hosts }))
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
	b := NewSharedBudget(SharedLimits{Fixed: 20, Window: 10 * time.Second}, func() int { return 1 })
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
