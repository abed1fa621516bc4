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
	// minReadWait and maxReadWait bound how long a read of the store waits for
	// a record. A store that has stopped answering looks like one without new
	// records, so the reads of a leader are short. A host that reads because it
	// hears no leader is one of many, so its reads get longer by
	// readWaitPerHost with each live host.
	minReadWait     = 700 * time.Millisecond
	maxReadWait     = 8 * time.Second
	readWaitPerHost = 130 * time.Millisecond
	// endpointsReadInterval is the least time between two reads of the
	// announcements, because many change at once. A leaving endpoint must be
	// known within its drain time, which is at least two seconds.
	endpointsReadInterval = 250 * time.Millisecond
	// maxLeaders is the number of hosts that read the store for all. Two of
	// them may fail at once.
	maxLeaders = 3
	// maxConfirmationAge is how long a host relies on the store's last answer
	// to another host before it reads the configuration and the announcements
	// itself. A change must be known within a limit of at least two seconds,
	// also on a host that is cut off from the others. A leader's reads are
	// answered within minReadWait.
	maxConfirmationAge = 1600 * time.Millisecond
	// peersMaxConfirmationAge and peersReadWait are the corresponding times for
	// the addresses of the hosts, which may be outdated for seconds without
	// harm.
	peersMaxConfirmationAge = 6 * time.Second
	peersReadWait           = 2500 * time.Millisecond
	// reloadSpreadPerHost is the time per live host over which the reloads of a topic
	// are spread after the store was restored. With three topics, all hosts together
	// begin 600 of them a second, of the 2,000 reads that the store allows; 300 hosts
	// need 1.5 s, within the time in which a configuration must be in force.
	reloadSpreadPerHost = 5 * time.Millisecond
)

// discoveryPeriod returns how long this process listens for other hosts after its
// start.
func (h *Host) discoveryPeriod() time.Duration {
	if h.settings.FirstStart {
		return firstDiscoveryTime
	}
	return discoveryTime
}

// leads reports whether this host reads the store for the others.
func (h *Host) leads() bool {
	if h.settings.FirstStart && time.Since(h.startedAt) < firstDiscoveryTime {
		return false
	}
	return slices.Contains(h.leaders(), h.settings.Host)
}

// leaders returns the names of the hosts that are to read the store for all.
func (h *Host) leaders() []string {
	candidates := h.duties.candidates()
	return candidates[:min(len(candidates), maxLeaders)]
}

// sharing returns the options by which the leaders read a topic and publish its
// pages to the other hosts.
func (h *Host) sharing(topic string, maxAge time.Duration) *keyedlog.Sharing {
	return &keyedlog.Sharing{Leads: h.leads, MaxConfirmationAge: maxAge, Publish: func(from int64, page keyedlog.Page) { h.exchange.Publish(topic, from, page) }}
}

// readWait returns how long the next read of the store waits for a record.
func (h *Host) readWait() time.Duration {
	wait := minReadWait
	if !h.leads() {
		wait = min(maxReadWait, max(minReadWait, time.Duration(h.liveHosts())*readWaitPerHost))
	}
	// The random part keeps the reads of the hosts apart.
	return wait - rand.N(wait/4)
}

// reloadSpread returns the time over which the hosts spread their reloads of a topic
// after the store was restored. The leaders, whose progress tells the others what they
// lack, do not wait.
func (h *Host) reloadSpread() time.Duration {
	if h.leads() {
		return 0
	}
	return time.Duration(h.liveHosts()) * reloadSpreadPerHost
}

// observeEra tells all followers that the store has reached an era.
func (h *Host) observeEra(era int64) {
	for _, f := range h.followers {
		f.ObserveEra(era)
	}
	h.duties.counter.ObserveEra(era)
	h.exchange.SendSoon()
}

// readProgress returns how far this host has followed each topic in the newest era of the
// store, and that era. It leaves out topics for which the store has not answered recently.
func (h *Host) readProgress() map[string]loadshare.Progress {
	now := time.Now()
	out := map[string]loadshare.Progress{}
	era := int64(0)
	for _, f := range h.followers {
		era = max(era, f.Progress().Era)
	}
	for topic, f := range h.followers {
		if p := f.Progress(); p.Era == era && now.Sub(p.At) <= peersMaxConfirmationAge {
			out[topic] = loadshare.Progress{Next: p.Next, AgeMillis: now.Sub(p.At).Milliseconds()}
		}
	}
	if era > 0 {
		out[loadshare.EraTopic] = loadshare.Progress{Next: era}
	}
	addStoreReport(out, h.settings.Domain, h.fleet.StoreStatus(now), now)
	return out
}

func (h *Host) applyPeerProgress(progress map[string]loadshare.Progress) {
	now := time.Now()
	if domain, report, ok := storeReportOf(progress, now); ok {
		// First, because it says whether there was a gap between the answers below.
		h.fleet.StoreReported(report, domain != h.settings.Domain, now)
	}
	era := progress[loadshare.EraTopic].Next
	for topic, f := range h.followers {
		f.ObserveEra(era)
		p, ok := progress[topic]
		if !ok || p.AgeMillis < 0 {
			continue
		}
		answeredAt := now.Add(-time.Duration(p.AgeMillis) * time.Millisecond)
		h.fleet.StoreAnswered(answeredAt)
		f.ObserveProgress(keyedlog.Progress{Era: era, Next: p.Next, At: answeredAt})
	}
}

// offerPage passes a page that another host has read to the topic's follower.
func (h *Host) offerPage(topic string, from int64, page keyedlog.Page) {
	if f := h.followers[topic]; f != nil {
		f.Offer(from, page)
	}
}

// configurationFollower keeps the newest configuration in force.
func (h *Host) configurationFollower() *keyedlog.Follower {
	return keyedlog.NewFollower(keyedlog.Options{
		Client: h.adapter.KeyedLog, Topic: h.adapter.ConfigurationTopic, PollWait: h.readWait,
		// Publish is not set, because a configuration may be larger than a
		// datagram. The hosts read it themselves once a leader reports a new
		// one.
		Sharing: &keyedlog.Sharing{Leads: h.leads, MaxConfirmationAge: maxConfirmationAge},
		Apply:   h.applyConfiguration,
		Reset: func(records []keyedlog.Record) {
			for _, r := range records {
				h.applyConfiguration(r)
			}
		},
		OnEra: h.observeEra, ReloadSpread: h.reloadSpread,
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
	accepted := h.routes.Update(routes.NewTable(document))
	h.exchange.SendSoon()
	h.log.WithFields(log.Fields{"version": document.Version, "offset": r.Offset, "routes": len(document.Routes), "teams": len(document.Teams), "taken": accepted}).Info("configuration_read")
	if accepted {
		h.announceNamed()
		h.updateEngineProperties(document)
		h.invalidateModels()
		h.refreshModels()
		h.releaseRequestsIfLoaded()
	}
}

// updateEngineProperties passes the declared engine properties to the placement
// models.
func (h *Host) updateEngineProperties(document routes.Document) {
	for _, s := range document.Services {
		if s.Engine == nil {
			continue
		}
		h.models.For(s.Name).SetEngineProperties(placement.EngineProperties{
			CacheTokens: s.Engine.CacheTokens, TokenBytes: s.Engine.TokenBytes,
			LinkBytesPerSecond: s.Engine.LinkBytesPerSecond, Slots: s.Engine.Slots,
		})
	}
}

// endpointsFollower keeps the registry of endpoints in line with the
// announcements.
func (h *Host) endpointsFollower() *keyedlog.Follower {
	return keyedlog.NewFollower(keyedlog.Options{
		Client: h.adapter.KeyedLog, Topic: h.adapter.EndpointsTopic, PollWait: h.readWait,
		MinInterval: func() time.Duration { return endpointsReadInterval }, Sharing: h.sharing(h.adapter.EndpointsTopic, maxConfirmationAge),
		Apply: h.applyEndpoint, Classify: h.classifyAnnouncement,
		// Hundreds of endpoints may come in one page, and each refresh costs as much
		// as there are endpoints.
		Applied:  h.refreshModels,
		Reset:    h.resetEndpoints,
		OnAnswer: func() { h.fleet.StoreAnswered(time.Now()) }, OnUnavailable: func() { h.fleet.StoreUnavailable(time.Now()) },
		OnEra: h.observeEra, ReloadSpread: h.reloadSpread,
		Log: h.log,
	})
}

// resetEndpoints replaces the registered endpoints with the announced ones.
func (h *Host) resetEndpoints(records []keyedlog.Record) {
	listed, obscured := map[string]bool{}, map[string]bool{}
	h.announced.Reset()
	h.unnamed.mu.Lock()
	clear(h.unnamed.last)
	h.unnamed.mu.Unlock()
	for _, r := range records {
		if h.classifyAnnouncement(r) == keyedlog.Unusable {
			obscured[r.Key] = true
			continue
		}
		listed[r.Key] = true
		h.applyEndpoint(r)
	}
	for _, id := range h.fleet.Reset(listed, obscured, time.Now()) {
		h.endpointGone(id)
	}
	h.refreshModels()
	h.endpointsLoaded.Store(true)
	h.releaseRequestsIfLoaded()
}

// releaseRequestsIfLoaded admits the requests that arrived before the
// configuration and the endpoints were read, once both are.
func (h *Host) releaseRequestsIfLoaded() {
	if _, err := h.routes.Current(); err == nil && h.endpointsLoaded.Load() {
		h.stateLoadedOnce.Do(func() { close(h.stateLoaded) })
	}
}

// classifyAnnouncement implements keyedlog.Options.Classify for announcements.
func (h *Host) classifyAnnouncement(r keyedlog.Record) keyedlog.Class {
	if r.Dropped {
		h.announced.Lapse(r.Key)
		return keyedlog.Change
	}
	member, err := h.adapter.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		h.log.WithField("offset", r.Offset).WithError(err).Warn("announcement_not_usable")
		h.announced.Obscure(r.Key)
		return keyedlog.Unusable
	}
	if h.announced.Announce(member) {
		return keyedlog.Change
	}
	return keyedlog.Repetition
}

// applyEndpoint applies an announcement or its lapse to the registry.
func (h *Host) applyEndpoint(r keyedlog.Record) {
	h.unnamed.mu.Lock()
	defer h.unnamed.mu.Unlock()
	if r.Dropped {
		delete(h.unnamed.last, r.Key)
		change := h.fleet.Remove(r.Key, time.Now())
		if change == fleet.Removed {
			h.endpointGone(r.Key)
		} else if change != fleet.Unchanged {
			h.log.WithField("endpoint", r.Key).WithField("change", string(change)).Info("endpoint_changed")
		}
		return
	}
	member, err := h.adapter.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		return
	}
	h.applyAnnouncement(endpointRecord{member, r.Offset})
}

// announceMember applies an announcement to the registry. It must be called with
// unnamed.mu held.
func (h *Host) announceMember(a endpointRecord) {
	member := a.member
	change := h.fleet.Announce(member)
	if change == fleet.Unchanged {
		return
	}
	if change == fleet.Restarted {
		h.forgetEndpoint(member.ID, member.Address)
	}
	h.limitStarted(member, change)
	h.log.WithFields(log.Fields{"endpoint": member.ID, "service": member.Service, "change": string(change),
		"state": string(member.State), "role": string(member.Role), "software": member.SoftwareVersion, "offset": a.offset}).Info("endpoint_changed")
}

// endpointGone logs that an endpoint has left and drops its outlier state.
func (h *Host) endpointGone(id string) {
	h.log.WithField("endpoint", id).WithField("change", string(fleet.Removed)).Info("endpoint_changed")
	h.outliers.Forget(id)
	h.pace.Forget(id, time.Now())
}

// forgetEndpoint drops the outlier state of an endpoint that has restarted, and
// its connections.
func (h *Host) forgetEndpoint(id, address string) {
	h.outliers.Forget(id)
	h.client.CloseIdle(address)
}

// invalidateModels makes the next refreshModels update all models, because the
// services may have changed.
func (h *Host) invalidateModels() {
	h.modelMu.Lock()
	defer h.modelMu.Unlock()
	h.fleetVersion = -1
}

// refreshModels passes the endpoints to the placement models if the fleet has
// changed.
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
		// Without a configuration no service is known; the next call tries
		// again.
		h.fleetVersion = -1
		return
	}
	for _, s := range table.Services() {
		if s.Engine != nil {
			h.models.For(s.Name).SetFleet(h.fleet.Members(s.Name))
		}
	}
}
