package fleet

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

var start = time.Unix(1_700_000_000, 0)

func member(id string, started, sequence int64, state endpoint.State) Member {
	return Member{Endpoint: endpoint.Endpoint{ID: id, Service: "s", State: state}, StartedMillis: started, Sequence: sequence}
}

// TestOldAnnouncementsAreDropped guards against an endpoint that gets work
// again because of an announcement from before its drain or restart.
func TestOldAnnouncementsAreDropped(t *testing.T) {
	r := NewRegistry()
	steps := []struct {
		m    Member
		want Change
	}{
		{member("a", 10, 1, endpoint.StateLive), Joined},
		{member("a", 10, 2, endpoint.StateLeaving), Leaving},
		{member("a", 10, 1, endpoint.StateLive), Unchanged},
		{member("a", 20, 1, endpoint.StateLive), Restarted},
		{member("a", 10, 9, endpoint.StateLeaving), Unchanged},
	}
	for i, s := range steps {
		if got := r.Announce(s.m); got != s.want {
			t.Errorf("step %d: %q, want %q", i, got, s.want)
		}
	}
	if m, _ := r.Find("a"); m.State != endpoint.StateLive || m.StartedMillis != 20 {
		t.Errorf("member %+v", m)
	}
}

// TestMisdirectedEndpoint guards against requests to an endpoint at whose address another
// instance has answered, also after its old announcement is read once more, and against
// one that is left out although it has announced itself again.
func TestMisdirectedEndpoint(t *testing.T) {
	excluded := func(r *Registry, m Member, after time.Duration) bool { return r.PausedUntil(m).After(start.Add(after)) }
	old, repeated, restarted := member("a", 10, 2, endpoint.StateLive), member("a", 10, 3, endpoint.StateLive), member("a", 20, 1, endpoint.StateLive)
	for name, next := range map[string]Member{"repeated": repeated, "restarted": restarted} {
		r := NewRegistry()
		r.Announce(old)
		if !r.MarkMisdirected(old, start) || r.MarkMisdirected(old, start) || !excluded(r, old, 0) {
			t.Errorf("%s: the endpoint is not left out", name)
		}
		r.Announce(old)
		r.Announce(member("a", 10, 1, endpoint.StateLive))
		if !excluded(r, old, 0) {
			t.Errorf("%s: an old announcement ended the exclusion", name)
		}
		if excluded(r, old, misdirectedTime) {
			t.Errorf("%s: the exclusion lasts although the announcement has not lapsed", name)
		}
		r.Announce(next)
		if excluded(r, next, 0) {
			t.Errorf("%s: a new announcement did not end the exclusion", name)
		}
		if r.MarkMisdirected(old, start) != (name == "repeated") {
			t.Errorf("%s: late answer", name)
		}
	}
}

// TestLapsesInAnOutage guards against endpoints that are removed because their
// announcements lapsed during an outage of the store, and against endpoints
// that are kept although they do not announce themselves again.
func TestLapsesInAnOutage(t *testing.T) {
	r := NewRegistry()
	r.Announce(member("back", 1, 1, endpoint.StateLive))
	r.Announce(member("dead", 1, 1, endpoint.StateLive))
	r.StoreAnswered(start.Add(-outageThreshold))
	r.StoreUnavailable(start.Add(time.Second))
	for _, id := range []string{"back", "dead"} {
		if got := r.Remove(id, start.Add(time.Second)); got != Retained {
			t.Errorf("%s: %q", id, got)
		}
	}
	if gone := r.Expire(start.Add(30 * time.Second)); len(gone) > 0 {
		t.Errorf("removed in the outage: %v", gone)
	}
	recovered := start.Add(40 * time.Second)
	answered := recovered
	// answer makes the store answer once per second until a time.
	answer := func(until time.Time) time.Time {
		for ; !answered.After(until); answered = answered.Add(time.Second) {
			r.StoreAnswered(answered)
		}
		return until
	}
	answer(recovered)
	r.Announce(member("back", 1, 2, endpoint.StateLive))
	if gone := r.Expire(answer(recovered.Add(OutageGrace / 2))); len(gone) > 0 {
		t.Errorf("removed too early: %v", gone)
	}
	if gone := r.Expire(answer(recovered.Add(OutageGrace))); len(gone) != 1 || gone[0] != "dead" {
		t.Errorf("removed %v", gone)
	}
	if got := r.Remove("back", answer(recovered.Add(time.Minute))); got != Removed {
		t.Errorf("without an outage: %q", got)
	}
}

// TestCutOffHost guards against endpoints that are retained after they are gone
// because one host got no answers while the store answered others.
func TestCutOffHost(t *testing.T) {
	r := NewRegistry()
	r.Announce(member("gone", 1, 1, endpoint.StateLive))
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += time.Second {
		// These are answers to other hosts.
		r.StoreAnswered(start.Add(elapsed))
	}
	if got := r.Remove("gone", start.Add(10*time.Second)); got != Removed {
		t.Errorf("%q", got)
	}
}

// TestReset guards against keeping endpoints that left while records were
// missed.
func TestReset(t *testing.T) {
	r := NewRegistry()
	r.Announce(member("a", 1, 1, endpoint.StateLive))
	r.Announce(member("b", 1, 1, endpoint.StateLive))
	if gone := r.Reset(map[string]bool{"a": true}, nil, start); len(gone) != 1 || gone[0] != "b" || len(r.Members("s")) != 1 {
		t.Errorf("removed %v", gone)
	}
}

// TestObscuredEndpoint guards against an endpoint that is lost because the newest record of
// its key is of another writer, and against one that is kept for good although it is gone.
func TestObscuredEndpoint(t *testing.T) {
	r := NewRegistry()
	r.Announce(member("alive", 1, 1, endpoint.StateLive))
	r.Announce(member("gone", 1, 1, endpoint.StateLive))
	if gone := r.Reset(nil, map[string]bool{"alive": true, "gone": true}, start); len(gone) != 0 || len(r.Members("s")) != 2 {
		t.Errorf("removed %v at once", gone)
	}
	r.Announce(member("alive", 1, 2, endpoint.StateLive))
	if gone := r.Expire(start.Add(obscuredTime - time.Millisecond)); len(gone) != 0 {
		t.Errorf("removed %v too early", gone)
	}
	if gone := r.Expire(start.Add(obscuredTime)); len(gone) != 1 || gone[0] != "gone" || len(r.Members("s")) != 1 {
		t.Errorf("removed %v", gone)
	}
}

// TestEndpointKeepsItsService guards against an announcement of another writer that brings
// an endpoint to another service, whose requests it would then run.
func TestEndpointKeepsItsService(t *testing.T) {
	r := NewRegistry()
	r.Announce(member("a", 1, 1, endpoint.StateLive))
	foreign := member("a", 1, 100, endpoint.StateLive)
	foreign.Service = "other"
	if change := r.Announce(foreign); change != Unchanged || len(r.Members("other")) != 0 {
		t.Errorf("%q", change)
	}
	if change := r.Announce(member("a", 1, 2, endpoint.StateLeaving)); change != Leaving {
		t.Errorf("its own announcement: %q", change)
	}
}

// TestAnnouncementAfterAnotherWriter guards against an announcement that repeats the last
// one, is therefore not passed on, and is not known to a host that has read only the record
// of another writer in between.
func TestAnnouncementAfterAnotherWriter(t *testing.T) {
	a := NewAnnouncements()
	foreign := member("a", 1, 100, endpoint.StateLive)
	foreign.Service = "other"
	steps := []struct {
		m    Member
		odd  bool
		want bool
	}{
		{member("a", 1, 1, endpoint.StateLive), false, true},
		{member("a", 1, 2, endpoint.StateLive), false, false},
		{member("a", 1, 3, endpoint.StateLive), true, true},
		{member("a", 1, 4, endpoint.StateLive), false, false},
		{foreign, false, true},
		{member("a", 1, 5, endpoint.StateLive), false, true},
		{member("a", 1, 6, endpoint.StateLive), false, false},
	}
	for i, s := range steps {
		if s.odd {
			a.Obscure("a")
		}
		if got := a.Announce(s.m); got != s.want {
			t.Errorf("step %d: %v, want %v", i, got, s.want)
		}
	}
}

// TestRepeatedAnnouncementChangesNothing guards against the cost of announcements that
// endpoints write again each second: with a thousand endpoints, each request had the
// list of members sorted anew.
func TestRepeatedAnnouncementChangesNothing(t *testing.T) {
	r := NewRegistry()
	r.Announce(member("a", 1, 1, endpoint.StateLive))
	version, list := r.Version(), r.Members("s")
	if change := r.Announce(member("a", 1, 2, endpoint.StateLive)); change != Unchanged || r.Version() != version {
		t.Errorf("change %q, version %d after %d", change, r.Version(), version)
	}
	if again := r.Members("s"); &again[0] != &list[0] {
		t.Error("the list of members was built again")
	}
	if change := r.Announce(member("a", 1, 3, endpoint.StateLeaving)); change != Leaving || r.Members("s")[0].State != endpoint.StateLeaving {
		t.Errorf("change %q, members %+v", change, r.Members("s"))
	}
}

// TestSoftwareVersionIsAChange guards against hosts that keep the software version which an
// endpoint had before, because leaders pass on only announcements that change something.
func TestSoftwareVersionIsAChange(t *testing.T) {
	r, a := NewRegistry(), NewAnnouncements()
	old, next := member("a", 1, 1, endpoint.StateLive), member("a", 1, 2, endpoint.StateLive)
	next.SoftwareVersion = "v2"
	r.Announce(old)
	a.Announce(old)
	if change := r.Announce(next); change != Updated || r.Members("s")[0].SoftwareVersion != "v2" {
		t.Errorf("change %q, members %+v", change, r.Members("s"))
	}
	if !a.Announce(next) {
		t.Error("the announcement is no news to other hosts")
	}
}

// TestAnnouncementAfterLapseIsAChange guards against an endpoint that other hosts give
// up after an outage of the store: a leader does not pass on announcements that
// change nothing, and this one ends their wait.
func TestAnnouncementAfterLapseIsAChange(t *testing.T) {
	r := NewRegistry()
	now := time.Now()
	r.Announce(member("a", 1, 1, endpoint.StateLive))
	r.StoreAnswered(now)
	r.StoreUnavailable(now.Add(outageThreshold + time.Second))
	if change := r.Remove("a", now.Add(outageThreshold+time.Second)); change != Retained {
		t.Fatalf("change %q", change)
	}
	if change := r.Announce(member("a", 1, 2, endpoint.StateLive)); change != Confirmed {
		t.Errorf("change %q, want %q", change, Confirmed)
	}
}

// TestLaggingAnnouncementDoesNotReturnLeavingEndpoint guards against an endpoint that
// gets work again because an announcement from before its statement that it leaves
// arrives after it, also once the endpoint was removed.
func TestLaggingAnnouncementDoesNotReturnLeavingEndpoint(t *testing.T) {
	r := NewRegistry()
	wantState := func(step string, want endpoint.State) {
		t.Helper()
		if list := r.Members("s"); len(list) != 1 || list[0].State != want {
			t.Errorf("%s: members %+v, want state %s", step, list, want)
		}
	}
	r.Announce(member("a", 10, 1, endpoint.StateLive))
	version := r.Version()
	if !r.MarkLeaving("a", 10) || r.Version() == version {
		t.Error("the first statement changes nothing")
	}
	if r.MarkLeaving("a", 10) {
		t.Error("the second statement is reported as a change")
	}
	wantState("after the statement", endpoint.StateLeaving)
	if change := r.Announce(member("a", 10, 2, endpoint.StateLive)); change != Unchanged {
		t.Errorf("the lagging announcement changes %q", change)
	}
	wantState("after a lagging announcement", endpoint.StateLeaving)
	r.Remove("a", start)
	r.Announce(member("a", 10, 3, endpoint.StateLive))
	wantState("after the removal and a lagging announcement", endpoint.StateLeaving)
	if change := r.Announce(member("a", 20, 1, endpoint.StateLive)); change != Restarted {
		t.Errorf("the restart changes %q", change)
	}
	wantState("after the restart", endpoint.StateLive)
	if r.MarkLeaving("a", 10) {
		t.Error("a late statement of the earlier start is reported as a change")
	}
	wantState("after a late statement of the earlier start", endpoint.StateLive)
}

// TestStatementBeforeAnnouncement guards against an endpoint that gets work because
// another host has reported that it leaves before its announcement was read.
func TestStatementBeforeAnnouncement(t *testing.T) {
	r := NewRegistry()
	if r.MarkLeaving("a", 10) {
		t.Error("the statement of an unknown endpoint is reported as a change")
	}
	r.Announce(member("a", 10, 1, endpoint.StateLive))
	if m, _ := r.Find("a"); m.State != endpoint.StateLeaving {
		t.Errorf("member %+v", m)
	}
}

// TestPauseBelongsToOneStart guards against a restarted endpoint that gets no requests
// because of a pause from before its restart, and against a pause that ends with a
// repeated announcement or a lapse.
func TestPauseBelongsToOneStart(t *testing.T) {
	r := NewRegistry()
	m := member("a", 10, 1, endpoint.StateLive)
	r.Announce(m)
	if !r.Pause(m, time.Minute, start) || r.Pause(m, time.Second, start) {
		t.Error("the first pause alone is new")
	}
	r.Remove("a", start)
	r.Announce(member("a", 10, 2, endpoint.StateLive))
	if again, _ := r.Find("a"); !r.PausedUntil(again).Equal(start.Add(time.Minute)) {
		t.Errorf("paused until %v", r.PausedUntil(again))
	}
	r.Announce(member("a", 20, 1, endpoint.StateLive))
	if restarted, _ := r.Find("a"); !r.PausedUntil(restarted).IsZero() {
		t.Errorf("paused until %v after the restart", r.PausedUntil(restarted))
	}
}

// TestFindAddressPrefersTheLiveMember guards against an endpoint that is taken for the one
// that had its address before, and against a list that is out of date.
func TestFindAddressPrefersTheLiveMember(t *testing.T) {
	r := NewRegistry()
	at := func(id string, state endpoint.State) Member {
		m := member(id, 1, 1, state)
		m.Address = "10.0.0.1:80"
		return m
	}
	if _, found := r.FindAddress("10.0.0.1:80"); found {
		t.Error("found without members")
	}
	r.Announce(at("old", endpoint.StateLeaving))
	if m, found := r.FindAddress("10.0.0.1:80"); !found || m.ID != "old" {
		t.Errorf("found %v, %v", m.ID, found)
	}
	r.Announce(at("new", endpoint.StateLive))
	if m, _ := r.FindAddress("10.0.0.1:80"); m.ID != "new" {
		t.Errorf("found %v", m.ID)
	}
	r.MarkLeaving("new", 1)
	if m, _ := r.FindAddress("10.0.0.1:80"); m.State == endpoint.StateLive {
		t.Error("a member that leaves is live")
	}
}
