package relayhost

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/quarantine"
)

const (
	// evidenceInterval is how often the first leader repeats what counts against
	// suspected features, for hosts that have missed a datagram.
	evidenceInterval = time.Second
	// evidenceKey is the key in the hosts' topic under which the evidence against
	// suspected features is kept for hosts that start. No host has a name with a slash.
	evidenceKey = "quarantine/suspects"
)

// storedEvidence is what the store holds under evidenceKey, as far as this host knows. It
// is safe for concurrent use.
type storedEvidence struct {
	mu sync.Mutex
	// features is the number of features at each crash; guarded by mu.
	features map[quarantine.Crash]int
}

// evidenceRecord is the value of evidenceKey. WrittenMillis is the time of day, in Unix
// milliseconds, to which the ages in Evidence refer.
type evidenceRecord struct {
	WrittenMillis int64                 `json:"writtenMillis"`
	Evidence      []quarantine.Evidence `json:"evidence"`
}

// replace sets what the store holds and reports whether that changes it.
func (s *storedEvidence) replace(list []quarantine.Evidence) bool {
	next := map[quarantine.Crash]int{}
	for _, e := range list {
		next[e.Crash] = len(e.Running)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := len(next) != len(s.features)
	for crash, n := range next {
		changed = changed || s.features[crash] != n
	}
	s.features = next
	return changed
}

func (h *Host) reportCrash(e quarantine.Evidence) {
	h.log.WithField("endpoint", e.Crash.Endpoint).WithField("features", len(e.Running)).Warn("endpoint_crashed")
	h.exchange.ReportCrashes([]quarantine.Evidence{e})
	if m, found := h.fleet.Find(e.Crash.Endpoint); found && strconv.FormatInt(m.StartedMillis, 10) == e.Crash.Process {
		// The guard found that new connections are refused.
		h.handler.EndpointGone(m)
	}
}

func (h *Host) reportRefuted(features []quarantine.Feature) { h.exchange.ReportRefuted(features) }

// applyRefuted applies what another host has refuted.
func (h *Host) applyRefuted(features []quarantine.Feature) { h.guard.ApplyRefuted(features) }

// shareEvidence reports the evidence against suspected features again if this host is the
// first leader or found the last crash itself. The first leader also keeps it in the
// store.
func (h *Host) shareEvidence(ctx context.Context, found bool) {
	leaders := h.leaders()
	first := h.leads() && leaders[0] == h.settings.Host
	if !first && !found {
		return
	}
	list := h.guard.Suspected()
	h.exchange.ReportCrashes(list)
	if !first || !h.stored.replace(list) {
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
		if value, err = json.Marshal(evidenceRecord{WrittenMillis: time.Now().UnixMilli(), Evidence: list}); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return h.adapter.KeyedLog.Write(ctx, h.adapter.HostsTopic, evidenceKey, value)
}

// applyStoredEvidence applies the evidence that a leader has kept in the store.
func (h *Host) applyStoredEvidence(value []byte) error {
	var record evidenceRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return err
	}
	h.stored.replace(record.Evidence)
	written := max(0, time.Since(time.UnixMilli(record.WrittenMillis)))
	for _, e := range record.Evidence {
		e.Age += written
		for i := range e.Running {
			e.Running[i].SentAge += written
		}
		if e.Age < quarantine.SuspicionTTL {
			h.guard.ApplyEvidence(e)
		}
	}
	return nil
}

// shareEvidenceSoon wakes runEvidence. found says that this host found the last crash.
func (h *Host) shareEvidenceSoon(found bool) {
	select {
	case h.evidenceWake <- found:
	default:
	}
}

// runEvidence shares evidence until ctx ends.
func (h *Host) runEvidence(ctx context.Context) {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		found := false
		select {
		case <-ctx.Done():
			return
		case found = <-h.evidenceWake:
		case <-ticker.C:
		}
		h.shareEvidence(ctx, found)
	}
}
