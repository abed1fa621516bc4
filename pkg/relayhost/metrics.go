package relayhost

import (
	"expvar"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/relay"
)

// MetricsPath is the HTTP path at which the metrics are served as text.
const MetricsPath = "/metrics"

var quantiles = []float64{0.5, 0.9, 0.99, 1}

// serveMetrics serves the metrics until the listener closes.
func (h *Host) serveMetrics(l net.Listener) {
	err := h.serveOperators(l, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != MetricsPath {
			ctx.SetStatusCode(404)
			return
		}
		ctx.SetContentType("text/plain; charset=utf-8")
		ctx.SetBodyString(h.metricsText())
	})
	if err != nil && !h.draining.Load() {
		h.log.WithError(err).Error("metrics_listener_failed")
	}
}

// metricsText renders the metrics, one name and value per line.
func (h *Host) metricsText() string {
	var b strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&b, "%s %v\n", name, value) }
	h.metrics.Requests.Do(func(kv expvar.KeyValue) {
		line("requests_ended{outcome="+strconv.Quote(kv.Key)+"}", kv.Value)
	})
	h.adapter.StoreCalls.Do(func(kv expvar.KeyValue) {
		line("store_calls{call="+strconv.Quote(kv.Key)+"}", kv.Value)
	})
	eras := h.adapter.StoreEras.Stats()
	line("store_era", eras.Newest)
	line("store_era_changes", eras.Risen)
	line("store_answers_without_era", eras.Invalid)
	h.quotaMetricsLines(line)
	h.metrics.Ejections.Do(func(kv expvar.KeyValue) {
		line("endpoints_ejected{kind="+strconv.Quote(kv.Key)+"}", kv.Value)
	})
	h.metrics.PeerEjections.Do(func(kv expvar.KeyValue) {
		line("endpoints_ejected_elsewhere{kind="+strconv.Quote(kv.Key)+"}", kv.Value)
	})
	line("requests_late", h.metrics.Late.Value())
	line("sends_repeated", h.metrics.Retries.Value())
	line("streams_resumed", h.metrics.Resumed.Value())
	line("streams_of_unknown_software", h.metrics.UnknownOrigin.Value())
	line("silent_endpoints_kept", h.metrics.SilentKept.Value())
	line("silent_endpoints_left", h.metrics.SilentLeft.Value())
	line("requests_in_flight", h.handler.InFlight())
	line("hosts_heard", h.liveHosts())
	line("endpoints_known", h.fleet.Len())
	for _, l := range h.balancer.Loads(time.Now()) {
		line("plain_requests_running{endpoint="+strconv.Quote(l.Endpoint)+"}", l.Running)
		line("plain_service_seconds{endpoint="+strconv.Quote(l.Endpoint)+"}", l.ServiceTime.Seconds())
	}
	line("caller_connections", h.conns.Open())
	line("caller_connections_closed_idle", h.conns.ClosedIdle.Value())
	memory := h.memory.Stats()
	line("memory_budget_bytes", memory.Limit)
	line("memory_held_bytes", memory.Held)
	line("memory_held_peak_bytes", memory.Peak)
	line("memory_requests_refused", memory.Refused)
	line("memory_reads_evicted", memory.EvictedReads)
	line("memory_answers_evicted", memory.EvictedWrites)
	line("requests_read_in_close", h.conns.ReadInClose.Value())
	h.connectionMetrics(line)
	line("connections_dialed", h.client.Dials())
	h.pathMetrics(line)
	for _, s := range h.pace.Limited() {
		line(fmt.Sprintf("endpoint_window{endpoint=%q,service=%q,reason=%q}", s.ID, s.Service, s.Reason.String()), s.Window)
	}
	line("choices_limited", h.pace.Passed.Load())
	line("choices_beyond_limit", h.pace.Beyond.Load())
	line("requests_held_over_share", h.metrics.HeldOverShare.Value())
	line("requests_refused_over_share", h.metrics.RefusedOverShare.Value())
	h.teamMetrics(line)
	line("ready", boolNumber(h.ready()))
	if table, err := h.routes.Current(); err == nil {
		line("configuration_version", table.Version())
		for _, s := range table.Services() {
			if s.Engine == nil {
				continue
			}
			times := h.models.For(s.Name).DecodeTimes(time.Now())
			for _, id := range slices.Sorted(maps.Keys(times)) {
				line(fmt.Sprintf("engine_decode_ratio{service=%q,engine=%q}", s.Name, id), math.Round(100*times[id])/100)
			}
		}
	}
	for _, hist := range []struct {
		name string
		h    *relay.Histogram
	}{{"request_seconds", h.metrics.Total}, {"first_byte_seconds", h.metrics.FirstByte}, {"prefill_seconds", h.metrics.Prefill}, {"first_event_seconds", h.metrics.FirstEvent}} {
		for _, q := range quantiles {
			value, _ := hist.h.Quantile(q)
			line(fmt.Sprintf("%s{quantile=\"%g\"}", hist.name, q), value.Round(time.Microsecond).Seconds())
		}
		_, count := hist.h.Quantile(1)
		line(hist.name+"_count", count)
	}
	return b.String()
}

func boolNumber(b bool) int {
	if b {
		return 1
	}
	return 0
}
