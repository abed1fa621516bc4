package relayhost

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

// followConfiguration keeps the newest configuration in force.
func (h *Host) followConfiguration(ctx context.Context) {
	keyedlog.NewFollower(keyedlog.Options{
		Client: h.adapter.Keyed, Topic: h.adapter.ConfigurationTopic, Wait: storeWait,
		Apply: h.applyConfiguration,
		Reset: func(records []keyedlog.Record) {
			for _, r := range records {
				h.applyConfiguration(r)
			}
		},
		Log: h.log,
	}).Run(ctx)
}

func (h *Host) applyConfiguration(r keyedlog.Record) {
	if r.Key != h.adapter.ConfigurationKey || r.Dropped {
		return
	}
	document, err := h.adapter.DecodeConfiguration(r.Value)
	if err != nil {
		// The last valid configuration stays in force.
		h.log.WithField("offset", r.Offset).WithError(err).Error("configuration_not_readable")
		return
	}
	taken := h.routes.Offer(routes.NewTable(document))
	h.log.WithFields(log.Fields{"version": document.Version, "offset": r.Offset, "routes": len(document.Routes), "teams": len(document.Teams), "taken": taken}).Info("configuration_read")
	if taken {
		h.refreshPhysics(document)
	}
}

func (h *Host) refreshPhysics(document routes.Document) {
	for _, s := range document.Services {
		if s.Engine == nil {
			continue
		}
		h.models.For(s.Name).SetPhysics(placement.Physics{
			CacheTokens: s.Engine.CacheTokens, TokenBytes: s.Engine.TokenBytes,
			LinkBytesPerSecond: s.Engine.LinkBytesPerSecond, Slots: s.Engine.Slots,
		})
	}
}

// followEndpoints keeps the fleet as announced.
func (h *Host) followEndpoints(ctx context.Context) {
	keyedlog.NewFollower(keyedlog.Options{
		Client: h.adapter.Keyed, Topic: h.adapter.EndpointsTopic, Wait: storeWait, Pace: endpointsPace,
		Apply: func(r keyedlog.Record) {
			h.applyEndpoint(r)
			h.refreshModels()
		},
		Reset: h.resetEndpoints,
		Failed: func(error) {
			h.fleet.StoreFailed(time.Now())
		},
		Answered: func() { h.fleet.StoreAnswered(time.Now()) },
		Log:      h.log,
	}).Run(ctx)
}

func (h *Host) resetEndpoints(records []keyedlog.Record) {
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		h.applyEndpoint(r)
	}
	for _, id := range h.fleet.Reset(listed, time.Now()) {
		h.gone(id)
	}
	h.refreshModels()
	h.endpointsKnown.Store(true)
}

func (h *Host) applyEndpoint(r keyedlog.Record) {
	if r.Dropped {
		change := h.fleet.Remove(r.Key, time.Now())
		if change == fleet.Gone {
			h.gone(r.Key)
		} else if change != fleet.Unchanged {
			h.log.WithField("endpoint", r.Key).WithField("change", string(change)).Info("endpoint_changed")
		}
		return
	}
	member, err := h.adapter.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		h.log.WithField("offset", r.Offset).WithError(err).Warn("announcement_not_usable")
		return
	}
	change := h.fleet.Announce(member)
	if change == fleet.Unchanged {
		return
	}
	if change == fleet.Restarted {
		h.forget(member.ID, member.Address)
	}
	h.log.WithFields(log.Fields{"endpoint": member.ID, "service": member.Service, "change": string(change),
		"state": string(member.State), "role": string(member.Role), "offset": r.Offset}).Info("endpoint_changed")
}

// gone drops what is known of an endpoint that has left.
func (h *Host) gone(id string) {
	h.log.WithField("endpoint", id).WithField("change", string(fleet.Gone)).Info("endpoint_changed")
	h.outliers.Forget(id)
}

func (h *Host) forget(id, address string) {
	h.outliers.Forget(id)
	h.client.Drop(address)
}

// refreshModels tells the models of the fleet if it has changed.
func (h *Host) refreshModels() {
	h.modelMu.Lock()
	defer h.modelMu.Unlock()
	version := h.fleet.Version()
	if version == h.fleetVersion {
		return
	}
	h.fleetVersion = version
	table, err := h.routes.Current()
	if err != nil {
		// Without a configuration no service is known; the version stays open.
		h.fleetVersion = -1
		return
	}
	for _, s := range table.Services() {
		if s.Engine != nil {
			h.models.For(s.Name).SetFleet(h.fleet.Members(s.Name))
		}
	}
}
