package entryhost

import (
	"context"

	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

type usageReporter struct {
	reporter *usage.Reporter
}

func newUsageReporter(h *Host, seed int64) *usageReporter {
	return &usageReporter{reporter: usage.New(usage.Options{
		Client: h.logs, Clock: h.clock, Rand: newRand(seed, 5), Incarnation: h.incarnation,
		LiveHosts: h.platform.liveHosts, Key: usageLeaseKey(h.settings.Host.Domains),
		Leases: h.authority.leases, Sender: h.authority.sender,
		Interface: usage.HTTPInterface{Address: h.settings.Platform.Usage, TLS: h.tls.platformTLS()},
		Peers:     h.peers,
		Log:       h.log,
		Window:    h.settings.Authority.UsageWindow.Std(),
	})}
}

func (b *usageReporter) flush(ctx context.Context) error { return b.reporter.Flush(ctx) }

func (b *usageReporter) close() { b.reporter.Close() }

// recorder passes ended requests to the usage reporter and the service levels.
type recorder struct {
	levels *serviceLevels
	usage  *usageReporter
}

// RequestEnded implements gate.Recorder. Usage counts what was delivered,
// including incomplete responses. Refused requests deliver nothing.
func (r recorder) RequestEnded(e gate.RequestRecord) {
	r.levels.record(e)
	if e.Team == "" || e.Outcome == gate.OutcomeRefused {
		return
	}
	r.usage.reporter.Add(e.Team, usage.Counts{
		InputTokens:  int64(e.PromptTokens),
		CachedTokens: int64(e.CachedTokens),
		OutputTokens: int64(e.OutputTokens),
		Requests:     1,
	})
}
