package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

// TestSilentEndpointIsEjected guards against more requests to an endpoint that
// cannot be reached. It checks that each ejection is longer than the last.
func TestSilentEndpointIsEjected(t *testing.T) {
	tr := NewTracker()
	now := start
	last := time.Duration(0)
	for range 3 {
		if !tr.Failed(memberInOwnDomain("a"), Unreachable, now).Ejected {
			t.Fatal("not ejected")
		}
		ejectedFor := time.Duration(0)
		for tr.Ejected(memberInOwnDomain("a"), now.Add(ejectedFor)) {
			ejectedFor += 100 * time.Millisecond
		}
		if ejectedFor <= last {
			t.Errorf("ejected for %v after %v", ejectedFor, last)
		}
		last = ejectedFor
		now = now.Add(ejectedFor)
	}
	if tr.Ejected(memberInOwnDomain("b"), start) {
		t.Error("another endpoint is ejected")
	}
}

// TestErraticEndpointIsEjected guards against an endpoint that fails half of
// its requests while it reports to be healthy, and against the ejection of one
// that fails occasionally.
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
				ejected = tr.Failed(memberInOwnDomain("a"), BadAnswer, now).Ejected || ejected
			} else {
				tr.Succeeded(memberInOwnDomain("a"), now)
			}
		}
		if ejected != c.want {
			t.Errorf("%s of the requests fail: ejected %v", name, ejected)
		}
	}
}

// TestFailuresOfTheWholeService replays a service that answers 14% of its requests with
// failures. It guards against ejections of its endpoints for that, and against one that
// fails six of ten requests and stays in use.
func TestFailuresOfTheWholeService(t *testing.T) {
	const hosts, requests = 65, 400
	ejections, missed := 0, 0
	for host := range hosts {
		rng := rand.New(rand.NewPCG(uint64(host), 14))
		tr, now := NewTracker(), start
		answer := func(m fleet.Member, rate float64) bool {
			now = now.Add(40 * time.Millisecond)
			if rng.Float64() >= rate {
				tr.Succeeded(m, now)
				return false
			}
			return tr.Failed(m, BadAnswer, now).Ejected
		}
		for i := range requests {
			if answer(memberInOwnDomain(fmt.Sprint(i%5)), 0.14) {
				ejections++
			}
		}
		found := false
		for i := range 5 * 60 {
			if i%5 > 0 {
				answer(memberInOwnDomain(fmt.Sprint(i%5)), 0.14)
			} else if answer(memberInOwnDomain("0"), 0.6) {
				found = true
			}
		}
		if !found {
			missed++
		}
	}
	t.Logf("%d ejections in %d requests, %d of %d hosts missed the failing endpoint", ejections, hosts*requests, missed, hosts)
	if ejections > hosts/3 || missed > hosts/20 {
		t.Errorf("%d ejections in %d requests, %d of %d hosts missed the failing endpoint", ejections, hosts*requests, missed, hosts)
	}
}

// TestManyHostsLoseFewRequests replays many hosts with few requests each and
// one unreachable endpoint. It guards against losing requests at every host
// before the endpoint is ejected there.
func TestManyHostsLoseFewRequests(t *testing.T) {
	const hosts, endpoints = 80, 20
	trackers := make([]*Tracker, hosts)
	members := make([]fleet.Member, endpoints)
	for i := range trackers {
		trackers[i] = NewTracker()
	}
	for i := range members {
		members[i] = memberInOwnDomain(string(rune('a' + i)))
	}
	lost, now := 0, start
	for round := range 40 {
		for h, tr := range trackers {
			now = now.Add(time.Millisecond)
			m := members[(round+h)%endpoints]
			switch {
			case tr.Ejected(m, now):
			case m.ID != "a":
				tr.Succeeded(m, now)
			default:
				lost++
				if tr.Failed(m, Unreachable, now).Ejected {
					for _, other := range trackers {
						other.ApplyPeerEjection(m, Unreachable, members, 0.5, now)
					}
				}
			}
		}
	}
	// Forty rounds take 3.2 s: a failure at the start, and one when the first
	// ejection ends.
	if lost > 3 {
		t.Errorf("%d requests were lost to the unreachable endpoint", lost)
	}
}

// TestIsolatedHostEjectsNoEndpoint guards against a host that reaches no
// endpoint and makes the other hosts eject all of them.
func TestIsolatedHostEjectsNoEndpoint(t *testing.T) {
	var all []fleet.Member
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		all = append(all, memberInOwnDomain(id))
	}
	other, now := NewTracker(), start
	for _, m := range all {
		now = now.Add(100 * time.Millisecond)
		other.ApplyPeerEjection(m, Unreachable, all, 0, now)
	}
	ejected := 0
	for _, m := range all {
		if other.Ejected(m, now) {
			ejected++
		}
	}
	if ejected > 4 {
		t.Errorf("%d of %d endpoints are ejected by the reports of a host that is cut off", ejected, len(all))
	}
}

// TestOwnAnswerCountsMore guards against the ejection of an endpoint that
// answers this host but that another host does not reach.
func TestOwnAnswerCountsMore(t *testing.T) {
	all := []fleet.Member{memberInOwnDomain("a"), memberInOwnDomain("b"), memberInOwnDomain("c")}
	tr := NewTracker()
	tr.Succeeded(memberInOwnDomain("a"), start)
	soon, later := start.Add(100*time.Millisecond), start.Add(2*time.Second)
	if tr.ApplyPeerEjection(memberInOwnDomain("a"), Unreachable, all, 0, soon).Ejected || tr.Ejected(memberInOwnDomain("a"), soon) {
		t.Error("an endpoint that has just answered is ejected by another host's report")
	}
	if !tr.ApplyPeerEjection(memberInOwnDomain("a"), Unreachable, all, 0, later).Ejected {
		t.Error("an endpoint that answered two seconds ago is not ejected")
	}
}

// TestUnreachableDomainIsEjected replays a host that is cut off from one of two
// failure domains with twenty endpoints each. It guards against requests that
// time out at each endpoint in turn, and against a domain that gets no requests
// after it is back.
func TestUnreachableDomainIsEjected(t *testing.T) {
	tr, now, lost := NewTracker(), start, 0
	far := func(i int) fleet.Member { return memberInDomain(fmt.Sprintf("far-%d", i%20), "far") }
	for i := range 60 {
		now = now.Add(50 * time.Millisecond)
		tr.Succeeded(memberInDomain(fmt.Sprintf("near-%d", i%20), "near"), now)
		if m := far(i); !tr.Ejected(m, now) {
			lost++
			tr.Failed(m, Unreachable, now)
		}
	}
	// In three seconds the first endpoints fail, and one more when the ejection
	// of 1.5 s ends.
	if lost > domainEjectionThreshold+2 {
		t.Errorf("%d requests were lost to the domain", lost)
	}
	if tr.Ejected(memberInDomain("near-1", "near"), now) {
		t.Error("the other domain is ejected")
	}
	now = now.Add(domainEjectionTime)
	tr.Succeeded(far(19), now)
	if tr.Ejected(far(18), now) {
		t.Error("a domain that answers is still ejected")
	}
}

// TestPartlyReachableDomainIsNotEjected guards against the ejection of a
// failure domain in which some endpoints are unreachable and others answer.
func TestPartlyReachableDomainIsNotEjected(t *testing.T) {
	tr, now := NewTracker(), start
	for i := range 12 {
		now = now.Add(100 * time.Millisecond)
		m := memberInDomain(fmt.Sprintf("e-%d", i), "d")
		if i%2 == 0 {
			tr.Succeeded(m, now)
		} else if tr.Failed(m, Unreachable, now).DomainEjected {
			t.Fatal("the domain is ejected while it answers")
		}
	}
}

// TestPeerReportsAloneEjectNoDomain guards against the ejection of a failure
// domain only because other hosts do not reach it.
func TestPeerReportsAloneEjectNoDomain(t *testing.T) {
	tr := NewTracker()
	for i := range 10 {
		if tr.ApplyPeerEjection(memberInDomain(fmt.Sprintf("e-%d", i), "d"), Unreachable, nil, 0, start).DomainEjected {
			t.Fatal("the domain is ejected by reports of other hosts alone")
		}
	}
	answering := NewTracker()
	for i := range 10 {
		answering.ApplyPeerEjection(memberInDomain(fmt.Sprintf("e-%d", i), "d"), BadAnswer, nil, 0, start)
	}
	if answering.Failed(memberInDomain("e-11", "d"), Unreachable, start).DomainEjected {
		t.Error("endpoints that answer with failures count as unreachable")
	}
	if !tr.Failed(memberInDomain("e-11", "d"), Unreachable, start).DomainEjected {
		t.Error("an endpoint that this host does not reach, in addition to those that others report, does not eject the domain")
	}
}

// TestCrashOfMostEndpoints replays the crash of four of five endpoints with 65 hosts. It
// guards against a request of each host that is lost to each crashed endpoint, because
// the reports of the others are applied for a third of the endpoints only, and against
// the ejection of the last endpoint or by the reports of one host.
func TestCrashOfMostEndpoints(t *testing.T) {
	var all []fleet.Member
	for i := range 5 {
		m := memberInOwnDomain(fmt.Sprint(i))
		m.State = endpoint.StateLive
		all = append(all, m)
	}
	for name, tt := range map[string]struct {
		kind         FailureKind
		least, limit int
	}{"refused": {Refused, 4, 16}, "unreachable": {Unreachable, 100, 260}} {
		trackers := make([]*Tracker, 65)
		for i := range trackers {
			trackers[i] = NewTracker()
		}
		lost := 0
		for i := range 65 * 4 {
			now, host := start.Add(time.Duration(i)*3*time.Millisecond), i%65
			for _, m := range all[:4] {
				if trackers[host].Ejected(m, now) {
					continue
				}
				lost++
				if !trackers[host].Failed(m, tt.kind, now).Reportable {
					continue
				}
				for other, tr := range trackers {
					if other == host {
						continue
					}
					if tt.kind == Refused {
						tr.ApplyPeerRefusal(m, fmt.Sprint(host), all, 0.5, now)
					} else {
						tr.ApplyPeerEjection(m, tt.kind, all, 0.5, now)
					}
				}
				break
			}
		}
		t.Logf("%s: %d requests lost", name, lost)
		if lost < tt.least || lost > tt.limit {
			t.Errorf("%s: %d requests lost, want %d to %d", name, lost, tt.least, tt.limit)
		}
	}
	tr := NewTracker()
	for _, m := range all {
		for range 3 {
			tr.ApplyPeerRefusal(m, "a", all, 0, start)
		}
	}
	if tr.Ejected(all[2], start) {
		t.Error("one host's reports eject more than a third of the endpoints")
	}
	for _, m := range all {
		tr.ApplyPeerRefusal(m, "b", all, 0, start)
	}
	if !tr.Ejected(all[3], start) || tr.Ejected(all[4], start) {
		t.Error("the reports of two hosts must eject all endpoints but the last one")
	}
	tr.Succeeded(all[4], start)
	if tr.ApplyPeerRefusal(all[4], "a", all, 0, start).Ejected {
		t.Error("an endpoint that answered is ejected by one later report")
	}
}

// memberInOwnDomain returns an endpoint that is alone in its failure domain.
func memberInOwnDomain(id string) fleet.Member { return memberInDomain(id, "of-"+id) }

func memberInDomain(id, domain string) fleet.Member {
	return fleet.Member{Endpoint: endpoint.Endpoint{ID: id, Domain: domain}}
}
