package relayhost

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/loadshare"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/sleep"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// hostsReadInterval bounds the rate of reads of the host addresses, which
	// change only when hosts come and go.
	hostsReadInterval = time.Second
	// announceTimeout bounds one announcement of this host. announceRetryDelay
	// is the wait after a failed one.
	announceTimeout    = 2 * time.Second
	announceRetryDelay = 500 * time.Millisecond
	// maxPeerBlock bounds how long a report of another host keeps an engine
	// unused.
	maxPeerBlock = 15 * time.Second
)

// peersFollower keeps the addresses of the other hosts up to date.
func (h *Host) peersFollower() *keyedlog.Follower {
	return keyedlog.NewFollower(keyedlog.Options{
		Client: h.adapter.KeyedLog, Topic: h.adapter.HostsTopic, Sharing: h.sharing(h.adapter.HostsTopic, peersMaxConfirmationAge),
		PollWait: func() time.Duration { return peersReadWait - rand.N(peersReadWait/4) }, MinInterval: func() time.Duration { return hostsReadInterval },
		Apply: h.applyHost,
		Reset: h.resetHosts,
		OnEra: h.observeEra, ReloadSpread: h.reloadSpread,
		Log: h.log,
	})
}

// resetHosts applies all records of the topic. The topic may have been restored from a copy
// that is older than this host's announcement or than the stored evidence.
func (h *Host) resetHosts(records []keyedlog.Record) {
	announced := h.ownAnnouncement.Load()
	isOwn := func(r keyedlog.Record) bool {
		return r.Key == h.settings.Host && !r.Dropped && bytes.Equal(r.Value, *announced)
	}
	if announced != nil && !h.draining.Load() && !slices.ContainsFunc(records, isOwn) {
		select {
		case h.announceWake <- struct{}{}:
		default:
		}
	}
	if !slices.ContainsFunc(records, func(r keyedlog.Record) bool { return r.Key == evidenceKey }) {
		h.stored.replace(nil)
	}
	for _, r := range records {
		h.applyHost(r)
	}
}

func (h *Host) applyHost(r keyedlog.Record) {
	if r.Dropped {
		h.exchange.RemovePeer(r.Key)
		return
	}
	if r.Key == evidenceKey {
		if err := h.applyStoredEvidence(r.Value); err != nil {
			h.log.WithField("offset", r.Offset).WithError(err).Warn("evidence_not_readable")
		}
		return
	}
	var a announcement
	err := json.Unmarshal(r.Value, &a)
	if err == nil {
		err = h.exchange.SetPeer(loadshare.Member{Host: r.Key, Domain: a.Domain, LinkBytesPerSecond: a.LinkBytesPerSecond}, a.Address)
	}
	if err != nil {
		h.log.WithField("offset", r.Offset).WithError(err).Warn("host_not_readable")
	}
}

// announcement is the record in which a host publishes its address to the other
// hosts. Its key is the host's name.
type announcement struct {
	// Address receives the datagrams of other hosts, as IP:port.
	Address            string  `json:"address"`
	Domain             string  `json:"domain"`
	LinkBytesPerSecond float64 `json:"linkBytesPerSecond"`
}

// runAnnouncements announces this host at the start, and again after each loss of its
// announcement.
func (h *Host) runAnnouncements(ctx context.Context) {
	for ctx.Err() == nil {
		h.announce(ctx)
		select {
		case <-ctx.Done():
		case <-h.announceWake:
		}
	}
}

// announce writes this host's announcement to the store, with retries until it
// succeeds. Writing it twice does no harm.
func (h *Host) announce(ctx context.Context) {
	value, err := json.Marshal(announcement{
		Address: net.JoinHostPort(h.settings.BindIP, strconv.Itoa(h.settings.PeerPort)), Domain: h.settings.Domain, LinkBytesPerSecond: h.settings.LinkBytesPerSecond,
	})
	if err != nil {
		h.log.WithError(err).Error("host_not_announced")
		return
	}
	for ctx.Err() == nil {
		writeCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := h.adapter.KeyedLog.Write(writeCtx, h.adapter.HostsTopic, h.settings.Host, value)
		cancel()
		if err == nil {
			h.ownAnnouncement.Store(&value)
			return
		}
		h.log.WithError(err).Warn("host_not_announced")
		sleep.For(ctx, announceRetryDelay)
	}
}

// withdraw deletes this host's announcement. The other hosts would otherwise go
// on sending datagrams to an address that may be given to another
// host.
func (h *Host) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout/2)
	defer cancel()
	if err := h.adapter.KeyedLog.Write(ctx, h.adapter.HostsTopic, h.settings.Host, nil); err != nil {
		h.log.WithError(err).Warn("host_not_withdrawn")
	}
}

// applyPeerDecode passes another host's stream to the service's placement model.
func (h *Host) applyPeerDecode(service string, sample placement.DecodeSample) {
	h.models.For(service).ApplyPeerDecode(sample, time.Now())
}

// applyPeerSend adds another host's send to the service's placement model, or to the
// load of a plain endpoint.
func (h *Host) applyPeerSend(service string, sent placement.SendReport) {
	if sent.Role == "" {
		if m, found := h.fleet.Find(sent.EngineID); found && m.Service == service {
			h.balancer.ApplyPeerSend(m, sent, time.Now())
		}
		return
	}
	h.models.For(service).ApplyPeerSend(sent, time.Now())
}

// blockEngine marks an engine as taking no work for the time d, limited to
// maxPeerBlock.
func (h *Host) blockEngine(service, engine string, d time.Duration) {
	h.models.For(service).Block(engine, time.Now().Add(min(d, maxPeerBlock)))
}

func (h *Host) acceptUsage(flushes []usage.Flush) { h.duties.acceptUsage(flushes) }
