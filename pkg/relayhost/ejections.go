package relayhost

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/placement"
)

// reportEjection reports this host's ejection of an endpoint to other hosts.
func (h *Host) reportEjection(m fleet.Member, kind outlier.FailureKind) {
	h.exchange.ReportEjection(m.Service, m.ID, kind)
}

func (h *Host) applyPeerEjection(endpoint, host string, kind outlier.FailureKind) {
	member, found := h.fleet.Find(endpoint)
	if !found {
		return
	}
	var verdict outlier.Verdict
	if members := h.fleet.Members(member.Service); kind == outlier.Refused {
		verdict = h.outliers.ApplyPeerRefusal(member, host, members, rand.Float64(), time.Now())
	} else {
		verdict = h.outliers.ApplyPeerEjection(member, kind, members, rand.Float64(), time.Now())
	}
	fields := log.Fields{"endpoint": endpoint, "service": member.Service, "domain": member.Domain, "by": host, "kind": kind.String(), "confirmed": verdict.Confirmed}
	if verdict.Ejected {
		h.pace.Limit(placement.PaceEndpoint(member), pace.Ejected, time.Now())
		h.metrics.PeerEjections.Add(kind.String(), 1)
		h.log.WithFields(fields).Info("endpoint_ejected_elsewhere")
	}
	if verdict.DomainEjected {
		h.log.WithFields(fields).Warn("domain_ejected")
	}
}
