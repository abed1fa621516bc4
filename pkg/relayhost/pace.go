package relayhost

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/placement"
)

const (
	// paceInterval is how often a host reports what it has learned of limited
	// endpoints. It is about the time of a request.
	paceInterval = 100 * time.Millisecond
)

// limitStarted limits an endpoint that has joined or restarted. Endpoints that were
// announced before this host read the announcements have joined earlier.
func (h *Host) limitStarted(m fleet.Member, change fleet.Change) {
	if !h.endpointsLoaded.Load() {
		return
	}
	var reason pace.Reason
	switch change {
	case fleet.Joined:
		reason = pace.Joined
	case fleet.Restarted:
		reason = pace.Restarted
	default:
		return
	}
	h.pace.Limit(placement.PaceEndpoint(m), reason, time.Now())
}

// applyPeerPace applies what another host has learned of a limited endpoint, unless
// that was learned of an earlier or later start of it.
func (h *Host) applyPeerPace(p pace.Report, startedMillis int64) {
	if m, found := h.fleet.Find(p.ID); found && m.StartedMillis == startedMillis {
		h.pace.ApplyReport(placement.PaceEndpoint(m), p, time.Now())
	}
}

// runPace reports what this host has learned of endpoints, and logs limits that begin
// and end, until ctx ends.
func (h *Host) runPace(ctx context.Context) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.pace.SetHosts(h.liveHosts())
			for _, p := range h.pace.TakeReports() {
				if m, found := h.fleet.Find(p.ID); found {
					h.exchange.ReportPace(p, m.StartedMillis)
				}
			}
			h.logLimits()
			h.reportPrefills()
		}
	}
}

// reportPrefills reports the last prefill of each service, so that the hosts learn
// together how long prefills take.
func (h *Host) reportPrefills() {
	table, err := h.routes.Current()
	if err != nil {
		return
	}
	for _, s := range table.Services() {
		if s.Engine == nil {
			continue
		}
		if sample, ok := h.models.For(s.Name).TakePrefillSample(); ok {
			h.exchange.ReportPrefill(s.Name, sample)
		}
	}
}

func (h *Host) applyPeerPrefill(service string, sample placement.PrefillSample) {
	h.models.For(service).ApplyPeerPrefill(sample)
}

func (h *Host) logLimits() {
	for _, t := range h.pace.TakeTransitions() {
		fields := log.Fields{"endpoint": t.ID, "service": t.Service, "reason": t.Reason.String()}
		if t.Limited {
			h.log.WithFields(fields).Info("endpoint_limited")
			continue
		}
		fields["cause"], fields["limited_ms"] = t.Cause, time.Since(t.Since).Milliseconds()
		fields["in_time"], fields["late"], fields["refused"] = t.Counts.Good, t.Counts.Late, t.Counts.Refused
		h.log.WithFields(fields).Info("endpoint_limit_ended")
	}
}
