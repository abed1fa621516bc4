package outlier

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// TestSilentEndpointIsEjected guards against more requests for an endpoint that
// has gone dark, and checks that it is left alone for longer each time.
func TestSilentEndpointIsEjected(t *testing.T) {
	tr := NewTracker()
	now := start
	last := time.Duration(0)
	for range 3 {
		if !tr.Failed("a", Silent, now) {
			t.Fatal("not ejected")
		}
		out := time.Duration(0)
		for tr.Suspect("a", now.Add(out)) {
			out += 100 * time.Millisecond
		}
		if out <= last {
			t.Errorf("ejected for %v after %v", out, last)
		}
		last = out
		now = now.Add(out)
	}
	if tr.Suspect("b", start) {
		t.Error("another endpoint is a suspect")
	}
}

// TestErraticEndpointIsEjected guards against an endpoint that fails half of its
// requests while it says that it is healthy, and against the ejection of one that
// fails now and then.
func TestErraticEndpointIsEjected(t *testing.T) {
	for name, c := range map[string]struct {
		every int
		want  bool
	}{"half": {2, true}, "one in ten": {10, false}} {
		tr := NewTracker()
		ejected := false
		for i := range 60 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			if i%c.every == 0 {
				ejected = tr.Failed("a", Erratic, now) || ejected
			} else {
				tr.Succeeded("a", now)
			}
		}
		if ejected != c.want {
			t.Errorf("%s of the requests fail: ejected %v", name, ejected)
		}
	}
}
