package relayhost

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/fleet"
)

// ejected tells the other hosts of an endpoint that this one has ejected, unless so
// many are that this host's own links may be at fault.
func (h *Host) ejected(m fleet.Member) {
	if h.outliers.Believable(h.endpointIDs(m.Service), time.Now()) {
		h.share.Eject(m.Service, m.ID)
	}
}

// heardOfEjection applies the ejection of another host.
func (h *Host) heardOfEjection(service, endpoint, host string) {
	if h.outliers.Heard(endpoint, h.endpointIDs(service), rand.Float64(), time.Now()) {
		h.log.WithFields(log.Fields{"endpoint": endpoint, "service": service, "by": host}).Info("endpoint_ejected_elsewhere")
	}
}

func (h *Host) endpointIDs(service string) []string {
	members := h.fleet.Members(service)
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}
