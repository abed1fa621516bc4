package relayhost

import (
	"expvar"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/quota"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
)

// quotaSettleTime is the time after the first start of all hosts in which the requests
// of teams with a quota wait: the hosts read each other's addresses at the start, when
// most are missing, and hostsReadInterval later. Without the others' number a host would
// take itself for the only one and grant the whole limit.
const quotaSettleTime = hostsReadInterval + 300*time.Millisecond

func (h *Host) newQuotas() *quotashare.Service {
	return quotashare.New(quotashare.Options{
		Book:  quota.Options{Host: h.settings.Host, Bounds: h.settings.QuotaBounds, StartedAt: h.startedAt, FirstStart: h.settings.FirstStart},
		Send:  func(host string, data []byte) bool { return h.exchange.SendQuota(host, data) },
		Heard: func(host string) { h.exchange.Heard(host) },
		Peers: func() []quota.Peer { return h.exchange.QuotaPeers() },
		Settled: func() time.Duration {
			if !h.settings.FirstStart {
				return 0
			}
			return time.Until(h.startedAt.Add(quotaSettleTime))
		},
		Metrics: h.quotaMetrics, Log: h.log,
	})
}

// addQuotaState adds the state of the quotas to a log line, if there is any.
func (h *Host) addQuotaState(fields log.Fields) {
	if s := h.quotas.State(); s.Known > 0 {
		fields["quota_hosts_known"], fields["quota_hosts_heard"], fields["quota_teams"] = s.Known, s.Heard, len(s.Owned)
	}
}

// quotaMetricsLines writes the metrics of the quotas.
func (h *Host) quotaMetricsLines(line func(name string, value any)) {
	for _, counter := range []struct {
		name, label string
		values      *expvar.Map
	}{
		{"quota_questions", "kind", &h.quotaMetrics.Questions}, {"quota_refusals", "reason", &h.quotaMetrics.Refusals},
		{"quota_tokens_granted", "team", &h.quotaMetrics.Granted}, {"quota_tokens_refused", "team", &h.quotaMetrics.Refused},
		{"quota_tokens_returned", "team", &h.quotaMetrics.Returned},
	} {
		counter.values.Do(func(kv expvar.KeyValue) { line(labelled(counter.name, counter.label, kv.Key), kv.Value) })
	}
	s := h.quotas.State()
	if s.Known == 0 {
		return
	}
	line("quota_hosts_known", s.Known)
	line("quota_hosts_heard", s.Heard)
	slices.SortFunc(s.Owned, func(a, b quota.Usage) int { return strings.Compare(a.Team, b.Team) })
	for _, u := range s.Owned {
		line(labelled("quota_rate", "team", u.Team), u.Limit.Rate)
		line(labelled("quota_burst", "team", u.Team), u.Limit.Burst)
		line(labelled("quota_level", "team", u.Team), u.Level)
		line(labelled("quota_owner_granted", "team", u.Team), u.Granted)
	}
}

func labelled(name, label, value string) string {
	return name + "{" + label + "=" + strconv.Quote(value) + "}"
}
