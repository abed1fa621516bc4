package relayhost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/loadshare"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/sleep"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// hostsPace bounds the reads of the other hosts' addresses, which change only
	// when hosts come and go.
	hostsPace = time.Second
	// announceTimeout bounds one announcement of this host; announceRetry is the
	// wait after one that failed.
	announceTimeout = 2 * time.Second
	announceRetry   = 500 * time.Millisecond
	// longestBlock bounds how long another host's word keeps an engine unused.
	longestBlock = 15 * time.Second
)

// peersFollower keeps the addresses of the other hosts.
func (h *Host) peersFollower() *keyedlog.Follower {
	return keyedlog.NewFollower(keyedlog.Options{
		Client: h.adapter.Keyed, Topic: h.adapter.HostsTopic, Sharing: h.sharing(h.adapter.HostsTopic, peersCover),
		PollWait: func() time.Duration { return peersWait - rand.N(peersWait/4) }, MinInterval: func() time.Duration { return hostsPace },
		Apply: h.applyHost,
		Reset: func(records []keyedlog.Record) {
			for _, r := range records {
				h.applyHost(r)
			}
		},
		Log: h.log,
	})
}

func (h *Host) applyHost(r keyedlog.Record) {
	if r.Dropped {
		h.exchange.RemovePeer(r.Key)
		return
	}
	var a announcement
	err := json.Unmarshal(r.Value, &a)
	if err == nil {
		err = h.exchange.SetPeer(loadshare.Member{Host: r.Key, LinkBytesPerSecond: a.LinkBytesPerSecond}, a.Address)
	}
	if err != nil {
		h.log.WithField("offset", r.Offset).WithError(err).Warn("host_not_readable")
	}
}

// announcement is what a host tells the others of itself, by its name.
type announcement struct {
	// Address takes the datagrams of other hosts.
	Address            string  `json:"address"`
	LinkBytesPerSecond float64 `json:"linkBytesPerSecond"`
}

// announce writes this host's announcement to the store until it succeeds. One
// that is written twice does no harm.
func (h *Host) announce(ctx context.Context) {
	value, err := json.Marshal(announcement{
		Address: net.JoinHostPort(h.settings.BindIP, strconv.Itoa(h.settings.LinkPort)), LinkBytesPerSecond: h.settings.LinkBytesPerSecond,
	})
	if err != nil {
		h.log.WithError(err).Error("host_not_announced")
		return
	}
	for ctx.Err() == nil {
		writeCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := h.adapter.Keyed.Write(writeCtx, h.adapter.HostsTopic, h.settings.Host, value)
		cancel()
		if err == nil {
			return
		}
		h.log.WithError(err).Warn("host_not_announced")
		sleep.For(ctx, announceRetry)
	}
}

// withdraw drops this host's address; the other hosts otherwise send to an
// address that may be somebody else's.
func (h *Host) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout/2)
	defer cancel()
	if err := h.adapter.Keyed.Write(ctx, h.adapter.HostsTopic, h.settings.Host, nil); err != nil {
		h.log.WithError(err).Warn("host_not_withdrawn")
	}
}

// observe applies a send of another host.
func (h *Host) observe(service string, sent placement.Sent) {
	h.models.For(service).Observe(sent, time.Now())
}

// blocked applies the news that an engine takes no work for a time.
func (h *Host) blocked(service, engine string, d time.Duration) {
	h.models.For(service).Block(engine, time.Now().Add(min(d, longestBlock)))
}

// accept takes counts of a host that does not reach the store.
func (h *Host) accept(flushes []usage.Flush) { h.duties.accept(flushes) }
