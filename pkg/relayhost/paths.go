package relayhost

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/clementineshed/clementineshed/pkg/acceptretry"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/pathwatch"
	"github.com/clementineshed/clementineshed/pkg/tunnel"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

// initPaths sets up the ways to the endpoints.
func (h *Host) initPaths() {
	h.paths = pathwatch.New()
	h.opener = tunnel.NewOpener(tunnel.OpenerOptions{
		Domain: h.settings.Domain, Watch: h.paths, Hosts: h.helpingHosts, Direct: h.dialEndpoint, Log: h.log,
		Known: func(address string) bool { _, known := h.fleet.FindAddress(address); return known }, HealthCheck: h.healthCheck,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	h.tunnels = tunnel.NewServer(tunnel.ServerOptions{
		MaxTunnels: h.shares.Tunnels, Check: h.mayCarry, Dial: h.opener.DialDirect, Sound: func() bool { return h.paths.Sound(time.Now()) }, OnAnswer: h.observeCarriedAnswer,
	})
}

// dialEndpoint opens a direct connection to an endpoint.
func (h *Host) dialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	if h.adapter.DialEndpoint == nil {
		return upstream.DialTCP(ctx, address, dialTimeout, upstreamIdleTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return h.adapter.DialEndpoint(ctx, address)
}

// healthCheck returns the request that checks the health of the endpoint at an address.
func (h *Host) healthCheck(address string) []byte {
	path := "/"
	if m, known := h.fleet.FindAddress(address); known {
		if table, err := h.routes.Current(); err == nil {
			if s := table.Service(m.Service); s != nil && s.HealthPath != "" {
				path = s.HealthPath
			}
		}
	}
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address)
}

// helpingHosts returns the other hosts that live. They accept tunnels at the port at which
// they receive datagrams.
func (h *Host) helpingHosts() []pathwatch.Helper {
	if h.exchange == nil {
		return nil
	}
	peers := h.exchange.LivePeers()
	hosts := make([]pathwatch.Helper, 0, len(peers))
	for _, p := range peers {
		hosts = append(hosts, pathwatch.Helper(p))
	}
	return hosts
}

// mayCarry decides whether another host gets a connection to the endpoint at an address.
func (h *Host) mayCarry(address string) tunnel.Outcome {
	m, known := h.fleet.FindAddress(address)
	_, lost := h.paths.Lost(address)
	switch {
	case !known || m.State != endpoint.StateLive || time.Now().Before(h.fleet.PausedUntil(m)):
		return tunnel.NotServing
	case lost:
		return tunnel.CutOff
	}
	return tunnel.Opened
}

// observeCarriedAnswer applies what an answer on a tunnel states about its endpoint: this
// host is bound by what it has passed on.
func (h *Host) observeCarriedAnswer(address string, head []byte) (done bool) {
	answer, complete := upstream.ParseHead(head)
	if !complete {
		return false
	}
	if m, known := h.fleet.FindAddress(address); known {
		h.handler.ObserveAnswer(m, answer)
	}
	return true
}

// serveTunnels carries the tunnels of other hosts until the listener closes.
func (h *Host) serveTunnels(l net.Listener) {
	if err := h.tunnels.Serve(acceptretry.New(l, acceptretry.Options{Free: h.client.CloseLongestIdle, Log: h.log})); err != nil && !h.draining.Load() {
		h.log.WithError(err).Error("tunnels_listener_failed")
	}
}

// pathMetrics writes the metrics of the paths to the endpoints.
func (h *Host) pathMetrics(line func(name string, value any)) {
	line("cut_off_from_endpoints", boolNumber(h.paths.CutOff()))
	line("endpoint_paths_lost", h.paths.LostPaths())
	outcomes := func(name string, m *expvar.Map) {
		m.Do(func(kv expvar.KeyValue) { line(fmt.Sprintf("%s{outcome=%q}", name, kv.Key), kv.Value) })
	}
	opened, failed := h.opener.Counts()
	line("connections_through_hosts", opened.Value())
	outcomes("connections_through_hosts_failed", failed)
	served, refused := h.tunnels.Served()
	line("tunnels_carried", served.Value())
	line("tunnels_open", h.tunnels.Open())
	line("tunnels_limit", h.shares.Tunnels)
	outcomes("tunnels_refused", refused)
}
