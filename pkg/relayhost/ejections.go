package relayhost

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/fleet"
)

// ejected tells the other hosts of an endpoint that this one has ejected.
func (h *Host) ejected(m fleet.Member) { h.share.Eject(m.Service, m.ID) }

// heardOfEjection applies the ejection of another host.
func (h *Host) heardOfEjection(service, endpoint, host string) {
	member, found := h.fleet.Find(endpoint)
	if !found {
		return
	}
	verdict := h.outliers.Heard(member, h.fleet.Members(service), rand.Float64(), time.Now())
	fields := log.Fields{"endpoint": endpoint, "service": service, "domain": member.Domain, "by": host}
	if verdict.Ejected {
		h.log.WithFields(fields).Info("endpoint_ejected_elsewhere")
	}
	if verdict.DomainEjected {
		h.log.WithFields(fields).Warn("domain_ejected")
	}
}
