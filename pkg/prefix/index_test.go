package prefix

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
)

var start = time.Unix(1_700_000_000, 0)

func lookupOne(t *testing.T, x *Index, chain []uint64) Match {
	t.Helper()
	matches := x.Lookup(nil, chain, 4)
	if len(matches) != 1 {
		t.Fatalf("got %d matches, want 1: %v", len(matches), matches)
	}
	return matches[0]
}

// Guards against preferring a shorter cached prefix over a longer one.
func TestLookupPrefersLongestPrefix(t *testing.T) {
	x := NewIndex(0)
	x.RecordSend("a", "1", []uint64{1, 2}, start)
	x.RecordSend("b", "1", []uint64{1, 2, 3}, start)
	matches := x.Lookup(nil, []uint64{1, 2, 3, 4}, 4)
	if len(matches) != 2 || matches[0].Endpoint != "b" || matches[0].Chunks != 3 || matches[1].Chunks != 2 {
		t.Fatalf("got %v", matches)
	}
}

// Guards against full certainty after lost events, and against entries that stay
// uncertain after they are sent again.
func TestGapMakesEntriesUncertainUntilSeenAgain(t *testing.T) {
	x := NewIndex(0)
	x.ApplyEvents("a", enginewire.CacheEventsAnswer{Instance: "1", Next: 1,
		Events: []enginewire.CacheEvent{{Sequence: 0, Hash: 1, Stored: true}}}, start)
	if m := lookupOne(t, x, []uint64{1}); m.Certainty != CertaintyReported {
		t.Fatalf("before the gap: %v", m)
	}
	x.ApplyEvents("a", enginewire.CacheEventsAnswer{Instance: "1", Next: 9}, start)
	if m := lookupOne(t, x, []uint64{1}); m.Certainty != CertaintyGap {
		t.Fatalf("after the gap: %v", m)
	}
	x.RecordSend("a", "1", []uint64{1}, start)
	if m := lookupOne(t, x, []uint64{1}); m.Certainty != CertaintySent {
		t.Fatalf("after a send: %v", m)
	}
	x.RecordSend("a", "2", []uint64{7}, start)
	if m := lookupOne(t, x, []uint64{1}); m.Certainty != CertaintyReplaced {
		t.Fatalf("after a replacement: %v", m)
	}
}

// Guards against an eviction event that arrives late and removes the entry of a
// prompt sent after the eviction.
func TestLateEvictionDoesNotHideRecentSend(t *testing.T) {
	x := NewIndex(0)
	evict := func(sequence int64) enginewire.CacheEventsAnswer {
		return enginewire.CacheEventsAnswer{Instance: "1", Next: sequence + 1,
			Events: []enginewire.CacheEvent{{Sequence: sequence, Hash: 1}}}
	}
	x.RecordSend("a", "1", []uint64{1}, start)
	x.ApplyEvents("a", evict(0), start.Add(time.Second))
	if m := lookupOne(t, x, []uint64{1}); m.Certainty != CertaintyGap {
		t.Fatalf("got %v", m)
	}
	x.ApplyEvents("a", evict(1), start.Add(time.Minute))
	if matches := x.Lookup(nil, []uint64{1}, 4); len(matches) != 0 {
		t.Fatalf("evicted entry is still found: %v", matches)
	}
}

// Guards against an index that grows without bound.
func TestIndexIsBounded(t *testing.T) {
	x := NewIndex(100)
	for i := uint64(0); i < 1000; i++ {
		x.RecordSend("a", "1", []uint64{i}, start)
	}
	if x.Len() != 100 {
		t.Fatalf("holds %d chunks, want 100", x.Len())
	}
	x.Forget("a")
	if matches := x.Lookup(nil, []uint64{999}, 4); len(matches) != 0 {
		t.Fatalf("forgotten endpoint is still found: %v", matches)
	}
}
