package configcheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/routes"
)

func sound() routes.Document {
	return routes.Document{
		Version: 7,
		Routes: []routes.Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: routes.Stream, Target: time.Second, Timeout: 5 * time.Second, MaxAttempts: 2, Resumable: true,
				Services: []routes.Share{{Service: "llm", Weight: 1}}},
			{Name: "order", Host: "a.example", Prefix: "/order/", Kind: routes.Once, Timeout: time.Second, MaxAttempts: 1, Services: []routes.Share{{Service: "desk", Weight: 1}}},
		},
		Services: []routes.Service{
			{Name: "llm", Engine: &routes.Engine{Slots: 8, CacheTokens: 1000}, Scaling: &routes.Scaling{Min: 1, Max: 3, DomainPrices: map[string]float64{"a": 1}}},
			{Name: "desk"},
		},
		Teams:  []routes.Team{{Name: "red", Keys: []string{"k1"}}, {Name: "blue", Keys: []string{"k2"}}},
		Limits: routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20},
	}
}

// TestFindings guards against faults of a document that are not found, and against
// findings in a sound one.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(d *routes.Document)
		want  string
	}{
		"sound":                   {func(*routes.Document) {}, ""},
		"unknown service":         {func(d *routes.Document) { d.Routes[0].Services[0].Service = "x" }, `error: route "chat": service "x" does not exist`},
		"prefix without slash":    {func(d *routes.Document) { d.Routes[0].Prefix = "/chat" }, `error: route "chat": the path prefix`},
		"same prefix, other case": {func(d *routes.Document) { d.Routes[1].Prefix, d.Routes[1].Host = "/chat/", "A.example" }, `never matches: route "order": route "chat" before it`},
		"weight zero": {func(d *routes.Document) {
			d.Routes[0].Services = append(d.Routes[0].Services, routes.Share{Service: "desk"})
		}, `never matches: route "chat": service "desk" has the weight 0`},
		"service without route":  {func(d *routes.Document) { d.Services = append(d.Services, routes.Service{Name: "idle"}) }, `never matches: service "idle"`},
		"key of two teams":       {func(d *routes.Document) { d.Teams[1].Keys[0] = "k1" }, `never matches: team "red": key 1 of team "blue"`},
		"team without key":       {func(d *routes.Document) { d.Teams[1].Keys = nil }, `never matches: team "blue": it has no key`},
		"target above timeout":   {func(d *routes.Document) { d.Routes[0].Target = time.Minute }, `contradiction: route "chat": the target of 1m0s`},
		"minimum above maximum":  {func(d *routes.Document) { d.Services[0].Scaling.Min = 4 }, `contradiction: service "llm": at least 4`},
		"resumable with one try": {func(d *routes.Document) { d.Routes[0].MaxAttempts = 1 }, `contradiction: route "chat": it is resumable and allows one attempt`},
		"body above the host":    {func(d *routes.Document) { d.Limits.BodyBytes = 64 << 20 }, `contradiction: limits: bodies of 67108864 bytes`},
		"plain request over burst": {func(d *routes.Document) {
			d.Teams[0].Quota = &routes.Quota{Tokens: true, PlainTokens: 200}
			d.Teams[0].Quota.Limit.Rate, d.Teams[0].Quota.Limit.Burst = 100, 100
		}, `contradiction: team "red": a request without a token count costs 200`},
	} {
		t.Run(name, func(t *testing.T) {
			d := sound()
			c.spoil(&d)
			findings := Check(d, 8<<20)
			if c.want == "" {
				if len(findings) > 0 {
					t.Errorf("findings in a sound document: %v", findings)
				}
				return
			}
			if !slices.ContainsFunc(findings, func(f Finding) bool { return strings.HasPrefix(f.String(), c.want) }) {
				t.Errorf("%v, want %q", findings, c.want)
			}
		})
	}
}

// TestDifferences guards against changes that are not shown, and against keys that are
// printed.
func TestDifferences(t *testing.T) {
	next := sound()
	next.Version = 8
	next.Routes[0].Timeout = 9 * time.Second
	next.Services = next.Services[:1]
	next.Teams = append(next.Teams, routes.Team{Name: "green"})
	next.Teams[0].Keys = []string{"secret"}
	next.Limits.BodyBytes = 1 << 20
	var got []string
	for _, f := range Differences(sound(), next) {
		got = append(got, f.String())
	}
	want := []string{`difference: route "chat": changed: Timeout`, `difference: service "desk": removed`, `difference: team "green": added`,
		`difference: team "red": changed: Keys`, `difference: limits: changed: BodyBytes`}
	if !slices.Equal(got, want) {
		t.Errorf("differences %q, want %q", got, want)
	}
	if f := Differences(next, sound()); len(f) == 0 || f[0].Kind != Error {
		t.Errorf("a lower version is no error: %v", f)
	}
}
