package e2e

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

// Guards against hosts that each grant a team its whole quota, and against a team that
// gets nothing.
func TestQuotaHoldsOverHosts(t *testing.T) {
	t.Parallel()
	const prompt, maxTokens, rate, burst = "ab", 20, 40, 200
	// The estimate for "user: ab\n" is three tokens.
	const tokens = 23
	d := Start(t, Options{EditDeclarations: func(doc *declaration.Document) {
		for i := range doc.Teams {
			if doc.Teams[i].Name == Team {
				doc.Teams[i].Quota = &declaration.Quota{TokensPerSecond: rate, BurstTokens: burst}
			}
		}
	}})
	chat := func(i int) Answer {
		a, _ := d.Hosts[i%len(d.Hosts)].Chat(d.Key, prompt, maxTokens).Wait(callerTimeout)
		return a
	}
	Eventually(t, 2*callerTimeout, "both hosts serve the team", func() bool { return chat(0).OK() && chat(1).OK() })
	served, refused, began := 0, 0, time.Now()
	for i := 0; time.Since(began) < 8*time.Second; i++ {
		switch a := chat(i); {
		case a.OK():
			served += tokens
		case a.Status == 429 && a.Code == "quota_exceeded":
			refused++
			time.Sleep(20 * time.Millisecond)
		default:
			t.Fatalf("%+v", a)
		}
	}
	most := (rate*time.Since(began).Seconds() + burst) * 1.1
	if float64(served) > most || served < 8*rate/2 || refused == 0 {
		t.Errorf("%d tokens served, at most %.0f allowed, %d requests refused", served, most, refused)
	}
	t.Logf("%d tokens served, at most %.0f allowed, %d requests refused", served, most, refused)
}
