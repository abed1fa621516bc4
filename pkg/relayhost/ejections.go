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
	h.exchange.ReportEjection(m.Service, m.ID, kind == outlier.Unreachable)
}

func (h *Host) applyPeerEjection(endpoint, host string, unreachable bool) {
	member, found := h.fleet.Find(endpoint)
	if !found {
		return
	}
	kind := outlier.BadAnswer
	if unreachable {
		kind = outlier.Unreachable
	}
	verdict := h.outliers.ApplyPeerEjection(member, kind, h.fleet.Members(member.Service), rand.Float64(), time.Now())
	fields := log.Fields{"endpoint": endpoint, "service": member.Service, "domain": member.Domain, "by": host}
	if verdict.Ejected {
		h.pace.Limit(placement.PaceEndpoint(member), pace.Ejected, time.Now())
		h.log.WithFields(fields).Info("endpoint_ejected_elsewhere")
	}
	if verdict.DomainEjected {
		h.log.WithFields(fields).Warn("domain_ejected")
	}
}
