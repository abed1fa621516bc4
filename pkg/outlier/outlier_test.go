package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

// TestSilentEndpointIsEjected guards against more requests for an endpoint that
// has gone dark, and checks that it is left alone for longer each time.
func TestSilentEndpointIsEjected(t *testing.T) {
	tr := NewTracker()
	now := start
	last := time.Duration(0)
	for range 3 {
		if !tr.Failed(at("a"), Silent, now).Ejected {
			t.Fatal("not ejected")
		}
		out := time.Duration(0)
		for tr.Suspect(at("a"), now.Add(out)) {
			out += 100 * time.Millisecond
		}
		if out <= last {
			t.Errorf("ejected for %v after %v", out, last)
		}
		last = out
		now = now.Add(out)
	}
	if tr.Suspect(at("b"), start) {
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
				ejected = tr.Failed(at("a"), Erratic, now).Ejected || ejected
			} else {
				tr.Succeeded(at("a"), now)
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
	ids := make([]fleet.Member, endpoints)
	for i := range trackers {
		trackers[i] = NewTracker()
	}
	for i := range ids {
		ids[i] = at(string(rune('a' + i)))
	}
	lost, now := 0, start
	for round := range 40 {
		for h, tr := range trackers {
			now = now.Add(time.Millisecond)
			id := ids[(round+h)%endpoints]
			switch {
			case tr.Suspect(id, now):
			case id.ID != "a":
				tr.Succeeded(id, now)
			default:
				lost++
				if tr.Failed(id, Silent, now).Ejected {
					for _, other := range trackers {
						other.Heard(id, Silent, ids, 0.5, now)
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
	var all []fleet.Member
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		all = append(all, at(id))
	}
	other, now := NewTracker(), start
	for _, m := range all {
		now = now.Add(100 * time.Millisecond)
		other.Heard(m, Silent, all, 0, now)
	}
	ejected := 0
	for _, m := range all {
		if other.Suspect(m, now) {
			ejected++
		}
	}
	if ejected > 4 {
		t.Errorf("%d of %d endpoints are ejected by the word of a host that is cut off", ejected, len(all))
	}
}

// TestOwnAnswerCountsMore guards against the loss of an endpoint that answers here
// and that another host does not reach.
func TestOwnAnswerCountsMore(t *testing.T) {
	all := []fleet.Member{at("a"), at("b"), at("c")}
	tr := NewTracker()
	tr.Succeeded(at("a"), start)
	soon, later := start.Add(100*time.Millisecond), start.Add(2*time.Second)
	if tr.Heard(at("a"), Silent, all, 0, soon).Ejected || tr.Suspect(at("a"), soon) {
		t.Error("an endpoint that has just answered is ejected by another host's word")
	}
	if !tr.Heard(at("a"), Silent, all, 0, later).Ejected {
		t.Error("an endpoint that answered two seconds ago is not ejected")
	}
}

// TestCutDomainIsLeftAlone replays a host that is cut off from one of two domains of
// twenty endpoints. It guards against requests that wait for each endpoint in turn,
// and against a domain that is not used again once it is back.
func TestCutDomainIsLeftAlone(t *testing.T) {
	tr, now, lost := NewTracker(), start, 0
	far := func(i int) fleet.Member { return in(fmt.Sprintf("far-%d", i%20), "far") }
	for i := range 60 {
		now = now.Add(50 * time.Millisecond)
		tr.Succeeded(in(fmt.Sprintf("near-%d", i%20), "near"), now)
		if m := far(i); !tr.Suspect(m, now) {
			lost++
			tr.Failed(m, Silent, now)
		}
	}
	// Three seconds: the first endpoints, and one when the ejection of 1.5 s ends.
	if lost > domainSilent+2 {
		t.Errorf("%d requests were lost to the domain", lost)
	}
	if tr.Suspect(in("near-1", "near"), now) {
		t.Error("the other domain is ejected")
	}
	now = now.Add(domainEjection)
	tr.Succeeded(far(19), now)
	if tr.Suspect(far(18), now) {
		t.Error("a domain that answers is still ejected")
	}
}

// TestDarkEndpointsAreNotADomain guards against the loss of a domain in which some
// endpoints are dark and others answer.
func TestDarkEndpointsAreNotADomain(t *testing.T) {
	tr, now := NewTracker(), start
	for i := range 12 {
		now = now.Add(100 * time.Millisecond)
		m := in(fmt.Sprintf("e-%d", i), "d")
		if i%2 == 0 {
			tr.Succeeded(m, now)
		} else if tr.Failed(m, Silent, now).DomainEjected {
			t.Fatal("the domain is ejected while it answers")
		}
	}
}

// TestHearsayEjectsNoDomain guards against a domain that is left alone because other
// hosts do not reach it.
func TestHearsayEjectsNoDomain(t *testing.T) {
	tr := NewTracker()
	for i := range 10 {
		if tr.Heard(in(fmt.Sprintf("e-%d", i), "d"), Silent, nil, 0, start).DomainEjected {
			t.Fatal("the domain is ejected by the words of others alone")
		}
	}
	erratic := NewTracker()
	for i := range 10 {
		erratic.Heard(in(fmt.Sprintf("e-%d", i), "d"), Erratic, nil, 0, start)
	}
	if erratic.Failed(in("e-11", "d"), Silent, start).DomainEjected {
		t.Error("endpoints that answer with failures count as silent")
	}
	if !tr.Failed(in("e-11", "d"), Silent, start).DomainEjected {
		t.Error("an own silent endpoint beside many that others found does not eject the domain")
	}
}

// at returns an endpoint in a domain of its own.
func at(id string) fleet.Member { return in(id, "of-"+id) }

func in(id, domain string) fleet.Member {
	return fleet.Member{Endpoint: endpoint.Endpoint{ID: id, Domain: domain}}
}
