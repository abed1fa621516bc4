package relayhost

import (
	"context"
	"expvar"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/loadshare"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/relay"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/routes"
	"github.com/clementineshed/clementineshed/pkg/upstream"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// dialTimeout bounds the opening of a connection to an endpoint, which takes
	// milliseconds; an endpoint without power answers nothing.
	dialTimeout = 350 * time.Millisecond
	// idleLimit is how long connections to endpoints are kept.
	idleLimit = 8 * time.Second
	maxIdle   = 24
	// housekeeping is the interval of work that nothing triggers, stateInterval that
	// of the lines on the state of the host.
	housekeeping  = 250 * time.Millisecond
	stateInterval = 10 * time.Second
	// readBufferBytes bounds the head of a caller's request.
	readBufferBytes = 16 << 10
	// requestReadTime and callerIdleTime are the limits for callers. Callers reuse
	// connections that were idle for up to four fifths of what the operators
	// declare, so the host must not close them earlier.
	requestReadTime = 5 * time.Second
	callerIdleTime  = 20 * time.Second
	maxBodyBytes    = 8 << 20
)

// Adapter is the platform that a host runs on.
type Adapter struct {
	Codec relay.Codec
	// Keyed reads the configuration and the announcements.
	Keyed keyedlog.Client
	// ConfigurationTopic, ConfigurationKey and EndpointsTopic are where they are.
	ConfigurationTopic, ConfigurationKey, EndpointsTopic string
	DecodeConfiguration                                  func([]byte) (routes.Document, error)
	DecodeEndpoint                                       func(id string, data []byte) (fleet.Member, error)
	// HostsTopic is where hosts announce themselves to each other.
	HostsTopic string
	// Stream keeps the streams of leases and usage.
	Stream   logservice.Client
	Platform Platform
	// StoreCalls counts the calls to the store by name.
	StoreCalls *expvar.Map
}

// Host is one entry host.
type Host struct {
	settings Settings
	adapter  Adapter
	log      log.Interface

	routes   routes.Holder
	fleet    *fleet.Registry
	models   *placement.Models
	outliers *outlier.Tracker
	client   *upstream.Client
	handler  *relay.Handler
	metrics  *relay.Metrics
	server   *fasthttp.Server
	conns    *callerConns
	// followers follow the store, by topic; they are not changed after New.
	followers map[string]*keyedlog.Follower
	exchange  *loadshare.Exchange
	duties    *duties

	// fleetVersion is the version of the fleet that the models know; it is used
	// by one goroutine at a time under modelMu.
	modelMu      sync.Mutex
	fleetVersion int64

	// endpointsKnown is set once the announcements have been read; known is closed
	// once the configuration has been read as well.
	endpointsKnown atomic.Bool
	known          chan struct{}
	knownOnce      sync.Once
	draining       atomic.Bool
}

// New returns a host that Run starts.
func New(settings Settings, adapter Adapter, logger log.Interface) *Host {
	h := &Host{settings: settings, adapter: adapter, log: logger, fleet: fleet.NewRegistry(), models: placement.NewModels(),
		outliers: outlier.NewTracker(), metrics: relay.NewMetrics(), fleetVersion: -1, known: make(chan struct{}),
		client: upstream.New(upstream.Options{DialTimeout: dialTimeout, IdleLimit: idleLimit, MaxIdle: maxIdle})}
	h.handler = relay.New(relay.Options{
		Codec: adapter.Codec, Routes: &h.routes, Fleet: h.fleet, Models: h.models,
		Balancer: placement.NewBalancer(settings.Domain), Outliers: h.outliers,
		Budget: retry.NewShared(settings.Repeats, h.knownHosts), Client: h.client,
		OnSent: h.sent, OnRun: h.ran, OnEjected: h.ejected, Known: h.known, Metrics: h.metrics, Log: logger,
	})
	h.conns = newCallerConns()
	h.followers = map[string]*keyedlog.Follower{
		adapter.ConfigurationTopic: h.configurationFollower(),
		adapter.EndpointsTopic:     h.endpointsFollower(),
		adapter.HostsTopic:         h.peersFollower(),
	}
	h.server = &fasthttp.Server{
		Handler: h.handler.Handle, ConnState: h.conns.changed, ReadBufferSize: readBufferBytes, MaxRequestBodySize: maxBodyBytes,
		ReadTimeout: requestReadTime, IdleTimeout: callerIdleTime, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true, Logger: quietLogger{},
	}
	return h
}

type quietLogger struct{}

// Printf implements fasthttp.Logger. Broken connections of callers are not
// worth a line each.
func (quietLogger) Printf(string, ...any) {}

// hosts is the number of hosts that serve.
func (h *Host) hosts() int {
	if h.exchange == nil {
		return 1
	}
	return h.exchange.LiveHosts()
}

// knownHosts is the number of hosts that may serve, heard or not.
func (h *Host) knownHosts() int {
	if h.exchange == nil {
		return 1
	}
	return h.exchange.KnownHosts()
}

func (h *Host) sent(service string, sent placement.Sent) { h.exchange.ReportSend(service, sent) }

// ran counts a request that an endpoint began to run.
func (h *Host) ran(team string) { h.duties.counter.Add(team, usage.Counts{Requests: 1}) }

// Run serves until ctx ends, then drains and returns.
func (h *Host) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", h.settings.CallersAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", h.settings.ReadyAddr)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	metrics, err := h.listenMetrics()
	if err != nil {
		return err
	}
	link, err := net.ListenPacket("udp", net.JoinHostPort(h.settings.BindIP, strconv.Itoa(h.settings.LinkPort)))
	if err != nil {
		return errors.Wrap(err, "listen for reports of other hosts")
	}
	defer func() { _ = link.Close() }()
	h.exchange = loadshare.New(loadshare.Options{Host: h.settings.Host, Conn: link, LinkBytesPerSecond: h.settings.LinkBytesPerSecond, OnSend: h.observe, OnBlock: h.blocked, OnEject: h.heardOfEjection, OnUsage: h.accept, ReadProgress: h.followed, OnProgress: h.told, OnPage: h.offer, Log: h.log})
	h.duties = newDuties(h, h.adapter.Stream, h.adapter.Platform)
	work, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.handler.Run(work) })
	for _, f := range h.followers {
		wg.Go(func() { f.Run(work) })
	}
	wg.Go(func() { h.announce(work) })
	wg.Go(func() { h.exchange.Run(work) })
	wg.Go(func() { h.duties.run(work) })
	wg.Go(func() { h.keepHouse(work) })
	wg.Go(func() { h.serveReady(ready) })
	if metrics != nil {
		wg.Go(func() { h.serveMetrics(metrics) })
	}
	wg.Go(func() {
		if err := h.server.Serve(callers); err != nil && ctx.Err() == nil {
			h.log.WithError(err).Error("callers_listener_failed")
		}
	})
	h.log.WithField("domain", h.settings.Domain).WithField("callers", h.settings.CallersAddr).Info("host_started")
	<-ctx.Done()
	h.drain(callers)
	h.withdraw()
	stop()
	h.duties.stop()
	_ = ready.Close()
	if metrics != nil {
		_ = metrics.Close()
	}
	h.client.Close()
	h.handler.Wait()
	wg.Wait()
	h.log.Info("host_stopped")
	return nil
}

// listenMetrics returns nil if no port is set.
func (h *Host) listenMetrics() (net.Listener, error) {
	if h.settings.MetricsPort == 0 {
		return nil, nil
	}
	l, err := net.Listen("tcp", net.JoinHostPort(h.settings.BindIP, strconv.Itoa(h.settings.MetricsPort)))
	return l, errors.Wrap(err, "listen for requests for metrics")
}

// keepHouse does the periodic work.
func (h *Host) keepHouse(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	stateAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(stateAt) >= stateInterval {
				stateAt = now
				h.logState()
			}
			h.client.Sweep()
			for _, id := range h.fleet.Expire(now) {
				h.gone(id)
			}
			h.refreshModels()
		}
	}
}

// logState writes what the host takes the deployment to be.
func (h *Host) logState() {
	fields := log.Fields{"ready": h.ready(), "leads": h.leads(), "hosts_heard": h.hosts(), "hosts_known": h.knownHosts(),
		"endpoints": h.fleet.Len(), "in_flight": h.handler.InFlight()}
	h.adapter.StoreCalls.Do(func(kv expvar.KeyValue) { fields["store"+strings.ReplaceAll(kv.Key, "/", "_")] = kv.Value.String() })
	h.log.WithFields(fields).Info("host_state")
}
