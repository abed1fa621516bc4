package relayhost

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/outlier"
)

// ejected tells the other hosts of an endpoint that this one has ejected.
func (h *Host) ejected(m fleet.Member, severity outlier.Severity) {
	h.exchange.ReportEjection(m.Service, m.ID, severity == outlier.Silent)
}

// heardOfEjection applies the ejection of another host.
func (h *Host) heardOfEjection(endpoint, host string, silent bool) {
	member, found := h.fleet.Find(endpoint)
	if !found {
		return
	}
	severity := outlier.Erratic
	if silent {
		severity = outlier.Silent
	}
	verdict := h.outliers.Heard(member, severity, h.fleet.Members(member.Service), rand.Float64(), time.Now())
	fields := log.Fields{"endpoint": endpoint, "service": member.Service, "domain": member.Domain, "by": host}
	if verdict.Ejected {
		h.log.WithFields(fields).Info("endpoint_ejected_elsewhere")
	}
	if verdict.DomainEjected {
		h.log.WithFields(fields).Warn("domain_ejected")
	}
}
