package relayhost

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/loadshare"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

const (
	// leastWait and mostWait bound how long a read of the store waits for a record,
	// and waitPerHost is its growth with the hosts. A store that has gone silent
	// looks like one without records, so a leader's reads are short; a host that
	// reads because no leader is heard is one of many.
	leastWait   = 700 * time.Millisecond
	mostWait    = 8 * time.Second
	waitPerHost = 130 * time.Millisecond
	// endpointsPace is the least time between two reads of the announcements: many
	// change at once, and a leaving endpoint must be known within its drain time,
	// which is two seconds or more.
	endpointsPace = 250 * time.Millisecond
	// maxLeaders is the number of hosts that read the store for all: two of them
	// may be lost at once.
	maxLeaders = 3
	// coverTime is how long a host goes without own reads of the configuration and
	// the announcements after the last answer of the store that it is told of. A
	// change must be known within two seconds or more, also to a host that is cut
	// off from the others. A leader's reads are answered within leastWait.
	coverTime = 1600 * time.Millisecond
	// peersCover and peersWait are the same for the addresses of the hosts, which
	// nothing depends on for seconds.
	peersCover = 6 * time.Second
	peersWait  = 2500 * time.Millisecond
)

// leads reports whether this host reads the store for the others.
func (h *Host) leads() bool {
	first := h.duties.candidates()
	return slices.Contains(first[:min(len(first), maxLeaders)], h.settings.Host)
}

// sharing has the leaders read a topic and publish what they read.
func (h *Host) sharing(topic string, cover time.Duration) *keyedlog.Sharing {
	return &keyedlog.Sharing{Leads: h.leads, MaxConfirmationAge: cover, Publish: func(from int64, page keyedlog.Page) { h.exchange.Publish(topic, from, page) }}
}

// storeWait is how long a read of the store waits for a record.
func (h *Host) storeWait() time.Duration {
	wait := leastWait
	if !h.leads() {
		wait = min(mostWait, max(leastWait, time.Duration(h.hosts())*waitPerHost))
	}
	// The spread keeps the hosts' reads apart.
	return wait - rand.N(wait/4)
}

// followed returns how far this host has read the store, for the other hosts.
func (h *Host) followed() map[string]loadshare.Progress {
	now := time.Now()
	out := map[string]loadshare.Progress{}
	for topic, f := range h.followers {
		if next, at := f.Progress(); now.Sub(at) <= peersCover {
			out[topic] = loadshare.Progress{Next: next, AgeMillis: now.Sub(at).Milliseconds()}
		}
	}
	return out
}

// told takes over how far another host has read the store.
func (h *Host) told(followed map[string]loadshare.Progress) {
	now := time.Now()
	for topic, p := range followed {
		f := h.followers[topic]
		if f == nil || p.AgeMillis < 0 {
			continue
		}
		answeredAt := now.Add(-time.Duration(p.AgeMillis) * time.Millisecond)
		h.fleet.StoreAnswered(answeredAt)
		f.ObserveProgress(p.Next, answeredAt)
	}
}

// offer takes a page of the store that another host has read.
func (h *Host) offer(topic string, from int64, page keyedlog.Page) {
	if f := h.followers[topic]; f != nil {
		f.Offer(from, page)
	}
}

// configurationFollower keeps the newest configuration in force.
func (h *Host) configurationFollower() *keyedlog.Follower {
	return keyedlog.NewFollower(keyedlog.Options{
		Client: h.adapter.Keyed, Topic: h.adapter.ConfigurationTopic, PollWait: h.storeWait,
		// A configuration may be larger than a datagram: the hosts read it themselves
		// once a leader tells that there is one.
		Sharing: &keyedlog.Sharing{Leads: h.leads, MaxConfirmationAge: coverTime},
		Apply:   h.applyConfiguration,
		Reset: func(records []keyedlog.Record) {
			for _, r := range records {
				h.applyConfiguration(r)
			}
		},
		Log: h.log,
	})
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
	h.exchange.SendSoon()
	h.log.WithFields(log.Fields{"version": document.Version, "offset": r.Offset, "routes": len(document.Routes), "teams": len(document.Teams), "taken": taken}).Info("configuration_read")
	if taken {
		h.refreshPhysics(document)
		h.forgetFleetVersion()
		h.refreshModels()
		h.noteKnown()
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

// endpointsFollower keeps the fleet as announced.
func (h *Host) endpointsFollower() *keyedlog.Follower {
	return keyedlog.NewFollower(keyedlog.Options{
		Client: h.adapter.Keyed, Topic: h.adapter.EndpointsTopic, PollWait: h.storeWait,
		MinInterval: func() time.Duration { return endpointsPace }, Sharing: h.sharing(h.adapter.EndpointsTopic, coverTime),
		Apply: func(r keyedlog.Record) {
			h.applyEndpoint(r)
			h.refreshModels()
		},
		Reset:    h.resetEndpoints,
		OnAnswer: func() { h.fleet.StoreAnswered(time.Now()) },
		Log:      h.log,
	})
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
	h.noteKnown()
}

// noteKnown lets the requests in that came before the store was read.
func (h *Host) noteKnown() {
	if _, err := h.routes.Current(); err == nil && h.endpointsKnown.Load() {
		h.knownOnce.Do(func() { close(h.known) })
	}
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

// forgetFleetVersion has the next refresh tell the models of the whole fleet,
// because the services may be others.
func (h *Host) forgetFleetVersion() {
	h.modelMu.Lock()
	defer h.modelMu.Unlock()
	h.fleetVersion = -1
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
