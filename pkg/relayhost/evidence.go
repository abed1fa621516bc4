package relayhost

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/quarantine"
)

const (
	// evidenceInterval is how often the leaders repeat what counts against suspected
	// features, for hosts that have missed a datagram.
	evidenceInterval = time.Second
	// evidenceKey is the key in the hosts' topic under which the evidence against
	// suspected features is kept for hosts that start. No host has a name with a slash.
	evidenceKey = "quarantine/suspects"
)

// storedEvidence is what the store holds under evidenceKey, as far as this host knows. It
// is safe for concurrent use.
type storedEvidence struct {
	mu sync.Mutex
	// running is the number of features at each crash; guarded by mu.
	running map[quarantine.Crash]int
}

// replace sets what the store holds and reports whether that changes it.
func (s *storedEvidence) replace(list []quarantine.Evidence) bool {
	next := map[quarantine.Crash]int{}
	for _, e := range list {
		next[e.Crash] = len(e.Running)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := len(next) != len(s.running)
	for crash, n := range next {
		changed = changed || s.running[crash] != n
	}
	s.running = next
	return changed
}

func (h *Host) reportCrash(e quarantine.Evidence) {
	h.log.WithField("endpoint", e.Crash.Endpoint).WithField("features", len(e.Running)).Warn("endpoint_crashed")
	h.exchange.ReportCrash(e)
}

func (h *Host) reportRefuted(features []quarantine.Feature) { h.exchange.ReportRefuted(features) }

// applyRefuted applies what another host has refuted.
func (h *Host) applyRefuted(features []quarantine.Feature) { h.guard.ApplyRefuted(features) }

// shareEvidence reports the evidence against suspected features again, and keeps it in
// the store, if this host leads.
func (h *Host) shareEvidence(ctx context.Context) {
	leaders := h.leaders()
	if !h.leads() {
		return
	}
	list := h.guard.Suspected()
	for _, e := range list {
		h.exchange.ReportCrash(e)
	}
	if leaders[0] != h.settings.Host || !h.stored.replace(list) {
		return
	}
	if err := h.writeEvidence(ctx, list); err != nil {
		// The next call tries again.
		h.stored.replace(nil)
		h.log.WithError(err).Warn("evidence_not_stored")
	}
}

func (h *Host) writeEvidence(ctx context.Context, list []quarantine.Evidence) error {
	var value []byte
	if len(list) > 0 {
		var err error
		if value, err = json.Marshal(list); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return h.adapter.KeyedLog.Write(ctx, h.adapter.HostsTopic, evidenceKey, value)
}

// applyStoredEvidence applies the evidence that a leader has kept in the store.
func (h *Host) applyStoredEvidence(value []byte) error {
	var list []quarantine.Evidence
	if err := json.Unmarshal(value, &list); err != nil {
		return err
	}
	h.stored.replace(list)
	for _, e := range list {
		h.guard.ApplyEvidence(e)
	}
	return nil
}

// shareEvidenceSoon wakes runEvidence.
func (h *Host) shareEvidenceSoon() {
	select {
	case h.evidenceWake <- struct{}{}:
	default:
	}
}

// runEvidence shares evidence until ctx ends.
func (h *Host) runEvidence(ctx context.Context) {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.evidenceWake:
		case <-ticker.C:
		}
		h.shareEvidence(ctx)
	}
}
