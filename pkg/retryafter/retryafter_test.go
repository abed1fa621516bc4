package retryafter

import (
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0).UTC()

// TestValuesOfEndpoints guards against an endpoint that gets requests before its time,
// and against one that is paused forever by a value that is no time.
func TestValuesOfEndpoints(t *testing.T) {
	const httpDate = "Mon, 02 Jan 2006 15:04:05 GMT"
	tests := map[string]time.Duration{
		"2":                              2 * time.Second,
		" 0.25 ":                         250 * time.Millisecond,
		"1.":                             time.Second,
		"300":                            MaxPause,
		"301":                            MaxPause,
		"99999999999999":                 MaxPause,
		strings.Repeat("9", 400):         MaxPause,
		start.Add(3e9).Format(httpDate):  3 * time.Second,
		start.Add(1e18).Format(httpDate): MaxPause,
		start.Add(-3e9).Format(httpDate): 0,
		"0":                              0,
		"0.0":                            0,
		"-1":                             0,
		"+1":                             0,
		"":                               0,
		".":                              0,
		"1.2.3":                          0,
		"1e3":                            0,
		"0x10":                           0,
		"1_000":                          0,
		"NaN":                            0,
		"Inf":                            0,
		"soon":                           0,
		"2, 3":                           0,
		"2 days":                         0,
	}
	for value, want := range tests {
		if got, ok := Parse(value, start); got != want && (ok || want > 0) || ok != (want > 0) {
			t.Errorf("%q: %v, %v, want %v", value, got, ok, want)
		}
	}
}

// TestPauseIsNotShortened guards against a pause that a later, shorter one replaces, as
// with answers that arrive in another order than they were written.
func TestPauseIsNotShortened(t *testing.T) {
	var p Pauses[string]
	if !p.Until("a").IsZero() {
		t.Error("an endpoint is paused from the start")
	}
	if !p.Add("a", 4*time.Second, start) {
		t.Error("the first pause is not reported as new")
	}
	if p.Add("a", time.Second, start.Add(time.Second)) {
		t.Error("a pause within a pause is reported as new")
	}
	if got := p.Until("a").Sub(start); got != 4*time.Second {
		t.Errorf("paused until %v after the first refusal, want 4s", got)
	}
	p.Add("a", 5*time.Second, start.Add(2*time.Second))
	if got := p.Until("a").Sub(start); got != 7*time.Second {
		t.Errorf("paused until %v after the longer refusal, want 7s", got)
	}
	if !p.Until("b").IsZero() {
		t.Error("the pause of one endpoint holds for another")
	}
	if !p.Add("b", time.Second, start.Add(8*time.Second)) || len(p.until) != 1 {
		t.Errorf("%d pauses are kept, want that of b alone", len(p.until))
	}
}
