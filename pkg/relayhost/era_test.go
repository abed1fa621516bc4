package relayhost

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/loadshare"
)

// TestHostsTellEachOtherTheEra guards against a host that goes on with offsets of an
// earlier era of the store because it does not read itself, and against progress of an
// earlier era that is taken for progress of the newest.
func TestHostsTellEachOtherTheEra(t *testing.T) {
	h, _, _ := startLeader(t)
	f := h.followers["endpoints"]
	wait := func(what string, ok func() bool) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("not reached: " + what)
			}
		}
	}
	wait("the state is loaded", func() bool { return !f.Progress().At.IsZero() })
	if era, states := h.readProgress()[loadshare.EraTopic]; states {
		t.Errorf("the host states the era %d, which the store has not stated", era.Next)
	}
	// The progress in one topic states the era of all.
	h.applyPeerProgress(map[string]loadshare.Progress{loadshare.EraTopic: {Next: 3}, "configuration": {Next: 1}})
	wait("the state of the new era is loaded", func() bool { return f.Progress().Era == 3 })
	if p := h.readProgress(); p[loadshare.EraTopic].Next != 3 {
		t.Errorf("the host tells %v, want era 3", p)
	}
	h.applyPeerProgress(map[string]loadshare.Progress{loadshare.EraTopic: {Next: 2}, "endpoints": {Next: 90}})
	h.applyPeerProgress(map[string]loadshare.Progress{"endpoints": {Next: 90}})
	if p := f.Progress(); p.Era != 3 || p.Next != 0 {
		t.Errorf("after progress in an earlier era: %+v", p)
	}
}
