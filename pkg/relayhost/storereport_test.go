package relayhost

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/loadshare"
)

// TestStoreReportArrives guards against hosts that cannot tell a cut of their own from an
// outage of the store, because they do not understand what others report of it.
func TestStoreReportArrives(t *testing.T) {
	now := time.Now()
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	for name, sent := range map[string]fleet.StoreReport{
		"answered":      {From: at(-3600), Until: at(-0.25)},
		"in an outage":  {From: at(-3600), Until: at(-9.5), OutageFrom: at(-9.5), OutageUntil: now},
		"after outages": {From: at(-1.5), Until: now, OutageFrom: at(-8), OutageUntil: at(-1.5)},
	} {
		progress := map[string]loadshare.Progress{"endpoints": {Next: 7, AgeMillis: 100}}
		addStoreReport(progress, "zone-1", sent, now)
		if domain, got, ok := storeReportOf(progress, now); !ok || domain != "zone-1" || got != sent {
			t.Errorf("%s: got %+v of %q, %t, want %+v", name, got, domain, ok, sent)
		}
	}
	progress := map[string]loadshare.Progress{"endpoints": {Next: 7, AgeMillis: 100}}
	addStoreReport(progress, "zone-1", fleet.StoreReport{}, now)
	if _, _, ok := storeReportOf(progress, now); ok || len(progress) != 1 {
		t.Errorf("a host without an answer reports %v", progress)
	}
}
