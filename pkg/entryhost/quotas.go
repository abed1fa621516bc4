package entryhost

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/membership"
	"github.com/clementineshed/clementineshed/pkg/peer"
	"github.com/clementineshed/clementineshed/pkg/quota"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
)

const (
	// quotaHearTime is the silence up to which a host counts toward the limit of a team.
	// Heartbeats pass through other hosts, with membership.Interval between two steps.
	quotaHearTime = 6 * membership.Interval
	// quotaRelayTime is the time in which a heartbeat reaches the last host.
	quotaRelayTime = 3 * membership.Interval
	// quotaSendTimeout bounds the sending of a message about quotas. A later one is of no
	// use.
	quotaSendTimeout = 300 * time.Millisecond
)

// quotas connects package quotashare to the other hosts.
type quotas struct {
	host    *Host
	service *quotashare.Service
	metrics *quotashare.Metrics

	mu sync.Mutex
	// heard holds when each host was last and first heard after a silence; guarded by mu.
	heard map[string]heardHost
}

type heardHost struct{ at, since time.Time }

func newQuotas(h *Host) *quotas {
	q := &quotas{host: h, metrics: quotashare.NewMetrics(), heard: map[string]heardHost{}}
	q.service = quotashare.New(quotashare.Options{
		Book: quota.Options{Host: h.settings.Host.Name, Bounds: quota.DefaultBounds(), StartedAt: time.Now(), HearTime: quotaHearTime, RelayTime: quotaRelayTime},
		Send: func(host string, data []byte) bool {
			go q.send(host, data)
			return true
		},
		// The membership exchange tells which hosts are heard.
		Heard: func(string) {},
		Peers: q.peers, Metrics: q.metrics, Log: h.log,
	})
	peer.HandleOneWay(h.peers.node, kindQuota, func(_ context.Context, from string, data []byte) error {
		if len(data) > 0 {
			q.service.Receive(data, func(reply []byte) { go q.send(from, reply) })
		}
		return nil
	})
	return q
}

// send treats a failed send as a lost message, which the sender of the question sends
// again.
func (q *quotas) send(host string, data []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), quotaSendTimeout)
	defer cancel()
	_ = peer.Send(ctx, q.host.peers.node, host, kindQuota, data)
}

func (q *quotas) peers() []quota.Peer {
	q.mu.Lock()
	defer q.mu.Unlock()
	var peers []quota.Peer
	for _, h := range q.host.peers.table.Hosts() {
		if h.Host == q.host.settings.Host.Name || h.State == membership.StateGone {
			continue
		}
		seen := q.heard[h.Host]
		if h.LastSeen.Sub(seen.at) > 2*quotaHearTime {
			seen.since = h.LastSeen
		}
		seen.at = h.LastSeen
		q.heard[h.Host] = seen
		peers = append(peers, quota.Peer{Host: h.Host, HeardAt: seen.at, HeardSince: seen.since, Live: h.State == membership.StateAlive && !h.Leaving})
	}
	return peers
}

// vars returns the metrics of the quotas.
func (q *quotas) vars() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("questions", &q.metrics.Questions)
	m.Set("refusals", &q.metrics.Refusals)
	m.Set("tokens_granted", &q.metrics.Granted)
	m.Set("tokens_refused", &q.metrics.Refused)
	m.Set("tokens_returned", &q.metrics.Returned)
	m.Set("state", expvar.Func(func() any { return q.service.State() }))
	return m
}
