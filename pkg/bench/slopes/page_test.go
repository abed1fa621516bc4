package slopes

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against figures on the page that differ from the committed results, and
// against results with fewer than four sizes or without a command to repeat them.
func TestPageAgreesWithResults(t *testing.T) {
	docs := filepath.Join("..", "..", "..", "docs")
	data, err := os.ReadFile(filepath.Join(docs, "capacity-results.json"))
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	report, err := ReadReport(data)
	if err != nil {
		t.Fatal(err)
	}
	renewed, err := UpdatePage(string(page), report)
	if err != nil {
		t.Fatal(err)
	}
	if renewed != string(page) {
		t.Error("docs/CAPACITY.md differs from docs/capacity-results.json; renew it with bench slopes --from --page")
	}
	for _, name := range Names() {
		if !strings.Contains(string(page), markerStart+name+" -->") {
			t.Errorf("the page lacks slope %s", name)
		}
	}
	for _, r := range report.Results {
		if len(r.Sizes) < 4 || len(r.Values) != len(r.Sizes) || r.Unit == "" || r.Command != "clementineshed bench slopes --only "+r.Name {
			t.Errorf("incomplete result %s, %s: sizes %v, unit %q, command %q", r.Name, r.Measure, r.Sizes, r.Unit, r.Command)
		}
	}
}

// Guards against a page that keeps outdated tables because of a damaged marker.
func TestDamagedMarkersAreErrors(t *testing.T) {
	report := Report{Results: []Result{{Name: "a", Measure: "m", Unit: "B", Sizes: []float64{1}}}}
	if page, err := UpdatePage("x\n<!-- slope a -->\nold\n<!-- end of slope -->\ny", report); err != nil || strings.Contains(page, "old") || !strings.HasSuffix(page, "\ny") {
		t.Errorf("UpdatePage returned %q, error %v; want the old table replaced", page, err)
	}
	for _, page := range []string{"<!-- slope a -->\nold", "<!-- slope b -->\n<!-- end of slope -->"} {
		if _, err := UpdatePage(page, report); err == nil {
			t.Errorf("UpdatePage(%q) returned no error", page)
		}
	}
}

// Guards against a slope that fails or reports nothing. Slopes over HTTP run only
// in the command's quick run: fasthttp's client keeps a goroutine for 10 s after
// its last connection, which TestMain would report as a leak.
func TestQuickSlopesReport(t *testing.T) {
	only := []string{"routing-table", "prefix-index", "fairness-teams", "burn-pairs", "config-hosts", "once-attempts", "usage-hosts"}
	report, err := Run(context.Background(), Options{Only: only, Quick: true})
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	for _, r := range report.Results {
		found[r.Name] = true
		if strings.HasPrefix(r.Measure, "heap") && r.Name != "once-attempts" && r.Fit.Slope <= 0 {
			t.Errorf("%s: heap does not grow: %v", r.Name, r.Values)
		}
	}
	for _, name := range only {
		if !found[name] {
			t.Errorf("no result of %s", name)
		}
	}
	if _, err := Run(context.Background(), Options{Only: []string{"nothing"}}); err == nil {
		t.Error("Run with an unknown slope returned no error")
	}
}
