package relayhost

import (
	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/fleet"
)

// endpointLeaving makes all choices leave out an endpoint that has told this host that
// it leaves, and tells the other hosts.
func (h *Host) endpointLeaving(m fleet.Member) {
	h.refreshModels()
	h.log.WithFields(log.Fields{"endpoint": m.ID, "service": m.Service, "change": string(fleet.Leaving), "reason": "answer"}).Info("endpoint_changed")
	h.exchange.ReportLeaving(m.ID, m.StartedMillis)
}

func (h *Host) applyPeerLeaving(endpoint, host string, startedMillis int64) {
	if h.fleet.MarkLeaving(endpoint, startedMillis) {
		h.refreshModels()
		h.log.WithFields(log.Fields{"endpoint": endpoint, "change": string(fleet.Leaving), "reason": "report", "by": host}).Info("endpoint_changed")
	}
}
