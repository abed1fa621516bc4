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

// TestManyHostsLoseFewRequests replays many hosts with few requests each and an
// endpoint that goes dark. It guards against each host losing requests to it before
// it is ejected there.
func TestManyHostsLoseFewRequests(t *testing.T) {
	const hosts, endpoints = 80, 20
	trackers := make([]*Tracker, hosts)
	ids := make([]string, endpoints)
	for i := range trackers {
		trackers[i] = NewTracker()
	}
	for i := range ids {
		ids[i] = string(rune('a' + i))
	}
	lost, now := 0, start
	for round := range 40 {
		for h, tr := range trackers {
			now = now.Add(time.Millisecond)
			id := ids[(round+h)%endpoints]
			switch {
			case tr.Suspect(id, now):
			case id != "a":
				tr.Succeeded(id, now)
			default:
				lost++
				if tr.Failed(id, Silent, now) && tr.Believable(ids, now) {
					for _, other := range trackers {
						other.Heard(id, ids, 0.5, now)
					}
				}
			}
		}
	}
	// Forty rounds take 3.2 s: the first failure, and one when its ejection ends.
	if lost > 3 {
		t.Errorf("%d requests were lost to the dark endpoint", lost)
	}
}

// TestCutOffHostIsNotBelieved guards against a host that reaches no endpoint and has
// the others eject all of them.
func TestCutOffHostIsNotBelieved(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	cut, other, now := NewTracker(), NewTracker(), start
	for _, id := range ids {
		now = now.Add(100 * time.Millisecond)
		if cut.Failed(id, Silent, now) && cut.Believable(ids, now) {
			other.Heard(id, ids, 0, now)
		}
	}
	ejected := 0
	for _, id := range ids {
		if other.Suspect(id, now) {
			ejected++
		}
	}
	if ejected > 4 {
		t.Errorf("%d of %d endpoints are ejected by the word of a host that is cut off", ejected, len(ids))
	}
}

// TestOwnAnswerCountsMore guards against the loss of an endpoint that answers here
// and that another host does not reach.
func TestOwnAnswerCountsMore(t *testing.T) {
	ids := []string{"a", "b", "c"}
	tr := NewTracker()
	tr.Succeeded("a", start)
	if tr.Heard("a", ids, 0, start.Add(100*time.Millisecond)) || tr.Suspect("a", start.Add(100*time.Millisecond)) {
		t.Error("an endpoint that has just answered is ejected by another host's word")
	}
	if !tr.Heard("a", ids, 0, start.Add(2*time.Second)) {
		t.Error("an endpoint that answered two seconds ago is not ejected")
	}
}
