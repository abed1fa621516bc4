package routes

import (
	"fmt"
	"testing"
)

func sampleDocument(version int64) Document {
	priority := 4
	return Document{Version: version,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Services: []Share{{"s", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Services: []Share{{"s", 1}}},
			{Name: "split", Host: "b.example", Prefix: "/", Services: []Share{{"s", 3}, {"t", 1}}},
		},
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Teams:    []Team{{Name: "acme", Keys: []string{"k1", "k2"}, Priority: &priority}},
	}
}

// TestMatch guards against a shorter prefix that takes the requests of a longer
// one, and against the routes of another host.
func TestMatch(t *testing.T) {
	table := NewTable(sampleDocument(1))
	cases := map[string]string{"a.example/x/1": "short", "a.example/x/y/1": "long", "A.Example/x/y/": "long", "a.example/x": "", "b.example/x/1": "split", "c.example/x/1": ""}
	for request, want := range cases {
		host, path := request[:9], request[9:]
		route, err := table.Match(host, path)
		if got := ""; err == nil {
			got = route.Name
			if got != want {
				t.Errorf("%s: got %s, want %s", request, got, want)
			}
		} else if want != "" {
			t.Errorf("%s: %v, want %s", request, err, want)
		}
	}
}

// TestServiceFor guards against a split that does not follow the weights.
func TestServiceFor(t *testing.T) {
	route := sampleDocument(1).Routes[2]
	counts := map[string]int{}
	for i := range 4000 {
		counts[route.ServiceFor(fmt.Sprint("request-", i))]++
	}
	if counts["s"] < 2800 || counts["s"] > 3200 {
		t.Errorf("counts %v, want 3 to 1", counts)
	}
}

// TestHolderNeverGoesBack guards against an older document that arrives late.
func TestHolderNeverGoesBack(t *testing.T) {
	var h Holder
	if _, err := h.Current(); err != ErrNoConfiguration {
		t.Errorf("without a document: error %v", err)
	}
	for _, step := range []struct {
		version  int64
		accepted bool
	}{{5, true}, {4, false}, {5, false}, {9, true}} {
		if got := h.Update(NewTable(sampleDocument(step.version))); got != step.accepted {
			t.Errorf("Update to version %d returned %v", step.version, got)
		}
	}
	if table, _ := h.Current(); table.Version() != 9 {
		t.Errorf("version %d", table.Version())
	}
}

// TestTeam guards against a key that is mapped to the wrong team or priority, and
// against a missing key that is accepted.
func TestTeam(t *testing.T) {
	table := NewTable(sampleDocument(1))
	if team, err := table.Team("k2"); err != nil || team.Name != "acme" || *team.Priority != 4 {
		t.Errorf("got %v, %v", team, err)
	}
	if _, err := table.Team(""); err != ErrUnknownKey {
		t.Errorf("without a key: %v", err)
	}
}
