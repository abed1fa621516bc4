package fleet

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// TestCutIsNoOutage guards against requests to an endpoint whose entry the store has
// removed, sent by a host that takes its own cut for an outage of the store, and against
// live endpoints that are removed because their announcements lapsed in an outage. The
// host is answered at 0 s and again after the gap. It reads the lapse at once.
func TestCutIsNoOutage(t *testing.T) {
	const gap = 5 * time.Second
	at := func(d time.Duration) time.Time { return start.Add(d) }
	answeredOthers := StoreReport{From: at(-time.Hour), Until: at(gap - 100*time.Millisecond)}
	cases := map[string]struct {
		// during happens 4 s after the last answer, after follows the next answer.
		during, after func(r *Registry, now time.Time)
		outage        bool
	}{
		"nothing is heard": {},
		"a host of the same cut is heard": {
			during: func(r *Registry, now time.Time) { r.StoreReported(StoreReport{From: start, Until: start}, false, now) }},
		"a host of another domain is not answered either": {
			during: func(r *Registry, now time.Time) { r.StoreReported(StoreReport{From: start, Until: start}, true, now) }, outage: true},
		"the store states it": {
			during: func(r *Registry, now time.Time) { r.StoreUnavailable(now) }, outage: true},
		"another host has known of it": {
			during: func(r *Registry, now time.Time) {
				r.StoreReported(StoreReport{From: start, Until: start, OutageFrom: start, OutageUntil: now}, false, now)
			}, outage: true},
		"another host confirms it afterwards": {
			after: func(r *Registry, now time.Time) {
				r.StoreReported(StoreReport{From: at(gap), Until: at(gap), OutageFrom: at(time.Second), OutageUntil: at(gap)}, false, now)
			}, outage: true},
		"another host was answered": {
			after: func(r *Registry, now time.Time) { r.StoreReported(answeredOthers, true, now) }},
		"another host was answered, one that was cut off as well states an outage": {
			during: func(r *Registry, now time.Time) { r.StoreReported(StoreReport{From: start, Until: start}, true, now) },
			after:  func(r *Registry, now time.Time) { r.StoreReported(answeredOthers, true, now) }},
		"the answer to another host is told late": {
			after: func(r *Registry, now time.Time) {
				r.StoreReported(StoreReport{From: start, Until: start}, true, now)
			}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry()
			r.Announce(member("a", 1, 1, endpoint.StateLive))
			r.StoreAnswered(start)
			if c.during != nil {
				c.during(r, at(4*time.Second))
			}
			r.StoreAnswered(at(gap))
			r.Remove("a", at(gap))
			if c.after != nil {
				c.after(r, at(gap+100*time.Millisecond))
			}
			removed := r.Expire(at(gap + confirmationTime))
			if kept := len(removed) == 0; kept != c.outage {
				t.Errorf("kept after %v: %t, want %t", confirmationTime, kept, c.outage)
			}
			if c.outage {
				removed = r.Expire(at(gap + OutageGrace))
			}
			if len(removed) != 1 {
				t.Errorf("removed %v in the end", removed)
			}
		})
	}
}

// TestStoreStatus guards against hosts that confirm an outage to each other for ever, and
// against a host that reports an outage although it was answered.
func TestStoreStatus(t *testing.T) {
	r := NewRegistry()
	r.StoreAnswered(start)
	r.StoreUnavailable(start.Add(time.Second))
	if s := r.StoreStatus(start.Add(3 * time.Second)); !s.OutageFrom.IsZero() {
		t.Errorf("outage without a statement since the threshold: %+v", s)
	}
	r.StoreUnavailable(start.Add(3 * time.Second))
	now := start.Add(4 * time.Second)
	if s := r.StoreStatus(now); !s.OutageFrom.Equal(start) || !s.OutageUntil.Equal(now) {
		t.Errorf("in the outage: %+v", s)
	}
	r.StoreAnswered(now)
	for d := time.Duration(0); d <= OutageGrace; d += time.Second / 5 {
		r.StoreAnswered(now.Add(d))
		// A host that has it from this one.
		if s := r.StoreStatus(now.Add(d)); !s.OutageFrom.IsZero() {
			r.StoreReported(s, true, now.Add(d))
		}
	}
	if s := r.StoreStatus(now.Add(OutageGrace)); !s.OutageFrom.IsZero() || r.RecentOutage(now.Add(OutageGrace)) {
		t.Errorf("after the grace time: %+v", s)
	}
}
