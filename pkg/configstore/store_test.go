package configstore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// deployment returns declarations for n teams with four keys each.
func deployment(n int) declaration.Document {
	doc := declaration.Document{
		Classes:  []declaration.Class{{Name: "c", Share: 0.95, Completion: declaration.Duration(time.Second)}},
		Services: []declaration.Service{{Name: "s"}},
		Models:   []declaration.Model{{Name: "m", Version: "1", Adapters: []string{"a"}}},
		Routes: []declaration.Route{
			{Name: "m", Kind: declaration.RouteModel, Model: "m", Adapter: "a", Class: "c", Repeatable: true},
			{Name: "o", Kind: declaration.RouteService, Service: "s", Path: "/o/", Class: "c", Teams: []string{"team-0"}},
			{Name: "p", Kind: declaration.RouteService, Service: "s", Path: "/o/p/", Class: "c", Repeatable: true, Open: true},
		},
	}
	for i := range n {
		team := fmt.Sprint("team-", i)
		doc.Teams = append(doc.Teams, declaration.Team{Name: team})
		for k := range 4 {
			name := fmt.Sprint(team, "-", k)
			doc.Keys = append(doc.Keys, declaration.Key{Name: name, Team: team, SHA256: HashKey([]byte(name)).String()})
		}
	}
	return doc
}

func newFoldOf(t testing.TB, doc declaration.Document) *fold {
	f := newFold()
	c := NewChange("c", "", NoVersion, declaration.Diff(declaration.Document{}, doc))
	if v := f.apply(logservice.Record{Offset: 0}, record{Change: &c}); !v.Accepted {
		t.Fatal(v.Text())
	}
	return f
}

func propose(f *fold, base int64, upsert declaration.Document, deletes ...declaration.Ref) Verdict {
	c := Change{ID: fmt.Sprint(f.next), Base: base, Upserts: upsert.Objects(), Deletes: deletes}
	return *f.apply(logservice.Record{Offset: f.next}, record{Change: &c})
}

// TestRefusedChanges guards against changes of valid objects that make the
// configuration as a whole invalid, and against a withdrawn key hash that is
// granted again.
func TestRefusedChanges(t *testing.T) {
	f := newFoldOf(t, deployment(2))
	hash := HashKey([]byte("team-1-0"))
	team := declaration.Ref{Kind: declaration.KindTeam, Name: "team-1"}
	for name, v := range map[string]Verdict{
		"referred to":   propose(f, 0, declaration.Document{}, team),
		"same hash":     propose(f, 0, declaration.Document{Keys: []declaration.Key{{Name: "x", Team: "team-0", SHA256: hash.String()}}}),
		"same path":     propose(f, 0, declaration.Document{Routes: []declaration.Route{{Name: "x", Kind: declaration.RouteService, Service: "s", Path: "/o/", Class: "c"}}}),
		"no class":      propose(f, 0, declaration.Document{Routes: []declaration.Route{{Name: "m", Kind: declaration.RouteModel, Model: "m", Class: "x", Repeatable: true}}}),
		"used adapter":  propose(f, 0, declaration.Document{Models: []declaration.Model{{Name: "m", Version: "2"}}}),
		"future base":   propose(f, 1000, declaration.Document{Teams: []declaration.Team{{Name: "x"}}}),
		"invalid value": propose(f, 0, declaration.Document{Classes: []declaration.Class{{Name: "c", Share: 2}}}),
	} {
		if v.Accepted || len(v.Invalid) == 0 {
			t.Errorf("%s: %+v", name, v)
		}
	}
	if f.version != 0 {
		t.Errorf("refused changes moved the version to %d", f.version)
	}
	f.apply(logservice.Record{Offset: f.next}, record{Withdraw: &Withdrawal{ID: "w", Hashes: []KeyHash{hash}}})
	again := propose(f, f.version, declaration.Document{Keys: []declaration.Key{{Name: "new", Team: "team-1", SHA256: hash.String()}}})
	if again.Accepted {
		t.Error("a withdrawn key was granted again")
	}
	stale := propose(f, 0, declaration.Document{Keys: []declaration.Key{{Name: "team-1-0", Team: "team-1", SHA256: HashKey(nil).String()}}})
	if stale.Accepted || len(stale.Conflicts) != 1 || stale.Conflicts[0].Exists {
		t.Errorf("change of a withdrawn key: %+v", stale)
	}
}

// TestSnapshotParts guards against a snapshot that is assembled from the chunks
// of two, against a truncated state, and against a state that lowers the offset.
func TestSnapshotParts(t *testing.T) {
	f := newFoldOf(t, deployment(50))
	one, _ := f.encode()
	f.applyWithdrawal(f.next, []KeyHash{HashKey([]byte("team-7-0"))})
	f.next++
	two, _ := f.encode()
	mixed := func(ignore bool) []byte {
		a := assembler{ignoreDigest: ignore}
		size := max(len(one), len(two))/2 + 1
		parts := [][]byte{one[:size], two[size:]}
		var data []byte
		for i, part := range parts {
			digest := KeyHash(sha256.Sum256([][]byte{one, two}[i]))
			data = a.add(chunk{Next: 1, Index: i, Count: 2, SHA256: digest, Data: part})
		}
		return data
	}
	if mixed(false) != nil {
		t.Error("chunks of two snapshots were accepted as one")
	}
	if mixed(true) == nil {
		t.Error("without the digest check the mixed chunks were refused; the case proves nothing")
	}
	decoded, err := decodeFold(two)
	if err != nil || !bytes.Equal(foldDigest(decoded), foldDigest(f)) {
		t.Errorf("decoded state differs: %v", err)
	}
	follow := newFollower(nil)
	if err := follow.loadState(two); err != nil {
		t.Fatal(err)
	}
	if err := follow.loadState(one); !errors.Is(err, errOlderState) || follow.fold.next != 2 {
		t.Errorf("load of an older state: %v, offset %d", err, follow.fold.next)
	}
	if err := follow.loadState(two[:len(two)-9]); err == nil {
		t.Error("a truncated state was accepted")
	}
}

// TestKeyUsable guards against keys that stay usable after the confirmation
// window, and against a key that is reported as unknown while the view is
// unconfirmed.
func TestKeyUsable(t *testing.T) {
	doc := deployment(2)
	doc.Teams[1].OfflineKeys, doc.Teams[1].OfflineLimit = declaration.OfflineServe, declaration.Duration(time.Hour)
	v := newFoldOf(t, doc).view()
	now := time.Unix(1000, 0)
	strict, offline, unknown := HashKey([]byte("team-0-0")), HashKey([]byte("team-1-0")), HashKey([]byte("x"))
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for i, c := range []struct {
		c    Confirmation
		h    KeyHash
		want Usability
	}{
		{Confirmation{}, strict, KeyUnconfirmed},
		{Confirmation{}, offline, KeyUnconfirmed},
		{Confirmation{OwnRead: ago(ConfirmWindow)}, strict, KeyUsable},
		{Confirmation{OwnRead: ago(ConfirmWindow + 1)}, strict, KeyUnconfirmed},
		{Confirmation{OwnRead: ago(time.Minute), PeerRead: ago(time.Second)}, strict, KeyUsable},
		{Confirmation{OwnRead: ago(time.Minute), Majority: ago(time.Second)}, strict, KeyUsable},
		{Confirmation{OwnRead: ago(time.Hour)}, offline, KeyUsable},
		{Confirmation{OwnRead: ago(time.Hour + 1)}, offline, KeyUnconfirmed},
		{Confirmation{OwnRead: now}, unknown, KeyUnknown},
		{Confirmation{OwnRead: ago(time.Minute)}, unknown, KeyUnconfirmed},
	} {
		if _, u := CheckKey(now, v, c.c, c.h); u != c.want {
			t.Errorf("case %d: %s, want %s", i, u, c.want)
		}
	}
	direct := v.withDirect(map[KeyHash]struct{}{offline: {}})
	if _, u := CheckKey(now, direct, Confirmation{OwnRead: now}, offline); u != KeyWithdrawn {
		t.Errorf("directly withdrawn key: %s", u)
	}
	four := []string{"a", "b", "c", "d"}
	lastContact := map[string]time.Time{"a": now, "b": ago(1), "c": ago(2), "d": ago(3)}
	if got := MajorityContact("a", true, four, lastContact); got != ago(2) {
		t.Errorf("majority with own domain: %v", got)
	}
	if got := MajorityContact("a", false, four, lastContact); got != ago(2) {
		t.Errorf("majority without own domain: %v", got)
	}
	if got := MajorityContact("a", true, four[:1], lastContact); !got.IsZero() {
		t.Errorf("majority of one domain: %v", got)
	}
}

// TestLookups guards against allocations on the request path, and against a
// route with a shorter path that takes precedence over a longer match.
func TestLookups(t *testing.T) {
	s := New(Options{Clock: clockwork.NewFakeClock(), Log: logservice.NewMemory(clockwork.NewFakeClock())})
	f := newFoldOf(t, deployment(100))
	s.view.Store(f.view())
	s.confirmation.Store(&Confirmation{OwnRead: s.opts.Clock.Now()})
	key, path, model := []byte("team-7-0"), []byte("/o/p/x/y?z"), []byte("m")
	n := testing.AllocsPerRun(100, func() {
		entry, u := s.Check(HashKey(key))
		r, ok := s.View().ServiceRoute(path)
		m, found := s.View().ModelRoute(model)
		if u != KeyUsable || entry.Team.Name != "team-7" || !ok || r.Name != "p" || !found || m.ClassDeclaration.Name != "c" {
			t.Fatalf("key %s, route %v %v", u, r, m)
		}
	})
	if n != 0 {
		t.Errorf("%v allocations per lookup, want 0", n)
	}
	if r, ok := s.View().ServiceRoute([]byte("/o/q")); !ok || r.Name != "o" || r.Allows("team-1") || !r.Allows("team-0") {
		t.Errorf("service route of /o/q: %+v", r)
	}
	if _, ok := s.View().ServiceRoute([]byte("/other/p/")); ok {
		t.Error("found a route for another path")
	}
	if !declaration.Equal(s.View().Document(), deployment(100)) {
		t.Error("the view's document differs")
	}
}

type fakeHosts struct{ next map[string]int64 }

func (f fakeHosts) List(context.Context) ([]HostRef, error) {
	return []HostRef{{"h1", "a"}, {"h2", "b"}, {"h3", "c"}}, nil
}
func (f fakeHosts) Next(_ context.Context, host string) (int64, error) {
	next, ok := f.next[host]
	if !ok {
		return 0, errors.New("down")
	}
	return next, nil
}
func (f fakeHosts) Withdraw(context.Context, string, []KeyHash) error { return nil }

// TestStoreAndOperator guards against a Close that does not return, a watch that
// misses the withdrawal of its key, and hosts that count as confirmed without
// having answered.
func TestStoreAndOperator(t *testing.T) {
	clock := clockwork.NewRealClock()
	memory := logservice.NewMemory(clock)
	ids := 0
	o := NewOperator(memory, clock, func() string { ids++; return fmt.Sprint("id", ids) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	v, err := o.Load(ctx)
	if err != nil || v.Version() != NoVersion {
		t.Fatal(v, err)
	}
	change := NewChange("first", "", v.Version(), declaration.Diff(v.Document(), deployment(3)))
	if verdict, err := o.Propose(ctx, change); err != nil || !verdict.Accepted {
		t.Fatal(verdict, err)
	}
	s := New(Options{Log: memory, Clock: clock, Rand: rand.New(rand.NewSource(1)), Host: "h1", Nonce: "n", Domain: "a", Domains: []string{"a", "b", "c"}})
	s.Start()
	<-s.Ready()
	h := HashKey([]byte("team-1-1"))
	for u := KeyUnknown; u != KeyUsable && ctx.Err() == nil; _, u = s.Check(h) {
		time.Sleep(time.Millisecond)
	}
	watch, other := s.Watch(h), s.Watch(HashKey([]byte("team-1-2")))
	verdict, err := o.RecordWithdrawal(ctx, Withdrawal{ID: "w", Hashes: []KeyHash{h}})
	if err != nil || !verdict.Accepted {
		t.Fatal(verdict, err)
	}
	select {
	case <-watch.Done():
	case <-ctx.Done():
		t.Fatal("the watch did not end")
	}
	select {
	case <-other.Done():
		t.Error("the watch of another key ended")
	default:
	}
	if watch.Cause() != KeyWithdrawn {
		t.Errorf("cause %s", watch.Cause())
	}
	watch.Close()
	other.Close()
	s.Close()
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	hosts := fakeHosts{map[string]int64{"h1": s.View().Next(), "h2": verdict.Version}}
	p, err := o.AwaitHosts(short, hosts, verdict.Version)
	if err != nil || p.Complete() || len(p.Confirmed) != 1 || len(p.Pending) != 2 || !p.Pending[0].KeysStopBy.IsZero() {
		t.Errorf("progress %+v %v", p, err)
	}
	hosts.next["h2"]++
	short, stop = context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	if p, _ = o.AwaitHosts(short, hosts, verdict.Version); len(p.Pending) != 1 || p.Pending[0].Name != "h3" || p.Pending[0].KeysStopBy.IsZero() {
		t.Errorf("progress %+v", p)
	}
}

// TestPartsOfTheDocument guards against Classes, Models and EndpointKinds of a
// view that differ from its document in content or order.
func TestPartsOfTheDocument(t *testing.T) {
	doc := deployment(1)
	doc.Classes = append(doc.Classes, declaration.Class{Name: "a", Share: 0.5, Completion: declaration.Duration(time.Minute)})
	doc.Models = append(doc.Models, declaration.Model{Name: "a", Version: "2"})
	doc.EndpointKinds = []declaration.EndpointKind{{Name: "k", HourlyCost: 1}, {Name: "a", HourlyCost: 2, Reclaimable: true}}
	v := newFoldOf(t, doc).view()
	whole := v.Document()
	if !reflect.DeepEqual(v.Classes(), whole.Classes) || !reflect.DeepEqual(v.Models(), whole.Models) ||
		!reflect.DeepEqual(v.EndpointKinds(), whole.EndpointKinds) || len(whole.EndpointKinds) != 2 {
		t.Errorf("%v, %v, %v; whole document %+v", v.Classes(), v.Models(), v.EndpointKinds(), whole)
	}
}
