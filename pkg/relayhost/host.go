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

	"github.com/clementineshed/clementineshed/pkg/acceptretry"
	"github.com/clementineshed/clementineshed/pkg/callerconn"
	"github.com/clementineshed/clementineshed/pkg/descriptors"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/loadshare"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/membudget"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/pathwatch"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
	"github.com/clementineshed/clementineshed/pkg/relay"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/routes"
	"github.com/clementineshed/clementineshed/pkg/streamorigin"
	"github.com/clementineshed/clementineshed/pkg/tunnel"
	"github.com/clementineshed/clementineshed/pkg/upstream"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// dialTimeout bounds the opening of a connection to an endpoint, which
	// normally takes milliseconds. An endpoint that is powered off does not
	// answer at all.
	dialTimeout = 350 * time.Millisecond
	// upstreamIdleTimeout is how long an idle connection to an endpoint is
	// kept, maxIdleUpstream the number kept per endpoint.
	upstreamIdleTimeout = 8 * time.Second
	maxIdleUpstream     = 24
	// maxIdleControl is the number kept for questions that belong to no request.
	maxIdleControl = 1
	// housekeepingInterval is the interval of periodic work, stateLogInterval
	// that of the host_state log lines.
	housekeepingInterval = 250 * time.Millisecond
	stateLogInterval     = 10 * time.Second
	// requestReadTimeout and operatorIdleTimeout are the limits for readiness checks
	// and for metrics.
	requestReadTimeout  = 5 * time.Second
	operatorIdleTimeout = 20 * time.Second
)

// Adapter connects a host to its platform. All fields must be set unless stated otherwise.
type Adapter struct {
	Codec relay.Codec
	// KeyedLog gives access to the topics named below.
	KeyedLog keyedlog.Client
	// The configuration is the record ConfigurationKey of ConfigurationTopic.
	// EndpointsTopic holds the announcements of the endpoints, by their ID.
	ConfigurationTopic, ConfigurationKey, EndpointsTopic string
	DecodeConfiguration                                  func([]byte) (routes.Document, error)
	DecodeEndpoint                                       func(id string, data []byte) (fleet.Member, error)
	// HostsTopic holds the addresses of the hosts, by their name.
	HostsTopic string
	// LogService gives access to the streams for leases and usage.
	LogService logservice.Client
	Platform   Platform
	// StoreCalls counts the calls to the store by their name, StoreEras its eras.
	StoreCalls *expvar.Map
	StoreEras  *logservice.Eras
	// DialEndpoint opens a direct connection to an endpoint; nil means by TCP.
	DialEndpoint func(ctx context.Context, address string) (net.Conn, error)
}

// Host is an entry host. Run must be called only once.
type Host struct {
	settings Settings
	adapter  Adapter
	log      log.Interface
	// startedAt is when New was called.
	startedAt time.Time

	routes routes.Holder
	fleet  *fleet.Registry
	// announced is used only by the follower of the announcements.
	announced *fleet.Announcements
	unnamed   unnamedEndpoints
	models    *placement.Models
	balancer  *placement.Balancer
	outliers  *outlier.Tracker
	pace      *pace.Limiter
	guard     *quarantine.Guard
	stored    storedEvidence
	// evidenceWake starts the next round of runEvidence.
	evidenceWake chan bool
	// announceWake announces this host again. ownAnnouncement is the value that the store
	// has acknowledged, nil if it has none yet.
	announceWake    chan struct{}
	ownAnnouncement atomic.Pointer[[]byte]
	client          *upstream.Client
	// control carries questions to endpoints that belong to no request. Their connections are
	// kept apart: an answer that names no request counts on a new connection only.
	control *upstream.Client
	// paths follows whether this host reaches the endpoints, opener opens the connections
	// to them, and tunnels carries those of other hosts.
	paths        *pathwatch.Watch
	opener       *tunnel.Opener
	tunnels      *tunnel.Server
	handler      *relay.Handler
	metrics      *relay.Metrics
	quotas       *quotashare.Service
	quotaMetrics *quotashare.Metrics
	server       *fasthttp.Server
	conns        *callerconn.Tracker
	// shares are the connections that the host may have open.
	shares descriptors.Shares
	// callersListener accepts the connections of callers. It is set by Run.
	callersListener atomic.Pointer[acceptretry.Listener]
	writes          callerconn.WriteProgress
	memory          *membudget.Budget
	// followers holds one follower per topic. It is not changed after New.
	followers map[string]*keyedlog.Follower
	exchange  *loadshare.Exchange
	duties    *duties
	origins   *streamorigin.Service
	served    servedVersions

	// modelMu serializes refreshModels and guards fleetVersion, the version of
	// the fleet that the placement models have; -1 if they must be updated.
	modelMu      sync.Mutex
	fleetVersion int64

	// endpointsLoaded is set once the announcements have been read. stateLoaded
	// is closed once the configuration has been read as well.
	endpointsLoaded atomic.Bool
	stateLoaded     chan struct{}
	stateLoadedOnce sync.Once
	draining        atomic.Bool
}

// New returns a host that listens on no port until Run is called.
func New(settings Settings, adapter Adapter, logger log.Interface) *Host {
	memory := membudget.New(membudget.HostLimit(settings.MemoryBytes))
	h := &Host{settings: settings, memory: memory, adapter: adapter, log: logger, startedAt: time.Now(), fleet: fleet.NewRegistry(), announced: fleet.NewAnnouncements(), unnamed: unnamedEndpoints{last: map[string]endpointRecord{}}, pace: pace.NewLimiter(settings.Host),
		outliers: outlier.NewTracker(), metrics: relay.NewMetrics(), quotaMetrics: quotashare.NewMetrics(), fleetVersion: -1, evidenceWake: make(chan bool, 2), announceWake: make(chan struct{}, 1), stateLoaded: make(chan struct{}),
		shares: descriptors.Divide(descriptors.Limit(settings.MaxFDs))}
	h.initPaths()
	h.client = upstream.New(upstream.Options{IdleTimeout: upstreamIdleTimeout, MaxIdle: maxIdleUpstream, MaxOpen: h.shares.Endpoints, Memory: memory, Dial: h.opener.Open, MayUseIdle: h.paths.MayUseIdle,
		OnSent: func(address string) { h.paths.Sent(address, time.Now()) }, OnAnswered: h.opener.Answered})
	h.models = placement.NewModels(h.pace)
	h.balancer = placement.NewBalancer(settings.Domain)
	h.balancer.SetLimiter(h.pace)
	h.guard = quarantine.NewGuard(quarantine.GuardOptions{
		ProcessEnded: h.client.ProcessEnded, OnCrash: h.reportCrash, OnRefuted: h.reportRefuted, OnSuspected: h.shareEvidenceSoon, Log: logger,
	})
	h.quotas = h.newQuotas()
	h.control = upstream.New(upstream.Options{IdleTimeout: upstreamIdleTimeout, MaxIdle: maxIdleControl, Dial: h.opener.Open, MayUseIdle: h.paths.MayUseIdle})
	h.origins = h.newOrigins()
	h.handler = relay.New(relay.Options{
		Codec: adapter.Codec, Routes: &h.routes, Fleet: h.fleet, Models: h.models,
		Balancer: h.balancer, Outliers: h.outliers, Pace: h.pace, Guard: h.guard,
		Budget: retry.NewSharedBudget(settings.RetryBudget, h.retryHosts, h.budgetStart()), Quotas: h.quotas, Origins: h.origins, Client: h.client, LiveHosts: h.liveHosts,
		OnSent: h.reportSend, OnDecoded: h.reportDecode, OnRun: h.countRequest, OnEjected: h.reportEjection, OnLeaving: h.endpointLeaving, ReadStart: h.readStart, PathLostAfter: h.paths.LostAfter, PathsInDoubt: func() bool { return h.paths.InDoubt(time.Now()) }, Ready: h.stateLoaded, Metrics: h.metrics, Log: logger,
	})
	h.conns = callerconn.NewTracker(h.callerTimeouts)
	h.conns.Limit(h.shares.Callers, logger)
	h.writes.Timeout = func() time.Duration { return writeProgressTimeout }
	h.conns.UseBudget(memory, maxHeaderBytes)
	h.followers = map[string]*keyedlog.Follower{
		adapter.ConfigurationTopic: h.configurationFollower(),
		adapter.EndpointsTopic:     h.endpointsFollower(),
		adapter.HostsTopic:         h.peersFollower(),
	}
	h.server = &fasthttp.Server{
		Handler: h.handle, ErrorHandler: h.refuseUnread, ConnState: h.conns.OnStateChange, HeaderReceived: h.bodyLimits,
		// Without ReduceMemoryUsage each idle connection holds a buffer of this size.
		ReadBufferSize: maxHeaderBytes, ReduceMemoryUsage: true,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, DisablePreParseMultipartForm: true, Logger: discardLogger{},
	}
	return h
}

type discardLogger struct{}

// Printf implements fasthttp.Logger. It discards the lines, because broken
// connections of callers are too frequent to log.
func (discardLogger) Printf(string, ...any) {}

// liveHosts returns the number of hosts that were heard recently, including
// this one.
func (h *Host) liveHosts() int {
	if h.exchange == nil {
		return 1
	}
	return h.exchange.LiveHosts()
}

// knownHosts returns the number of hosts that may be serving, heard or not.
func (h *Host) knownHosts() int {
	if h.exchange == nil {
		return 1
	}
	return h.exchange.KnownHosts()
}

// retryHosts returns the number of hosts that share the retry budget, or zero while this
// host has not had the time to read of them: each of many that start would take itself
// for the only one.
func (h *Host) retryHosts() int {
	if time.Since(h.startedAt) < h.discoveryPeriod() {
		return 0
	}
	return h.knownHosts()
}

// budgetStart returns from when on this host earns its part of the retry budget, or zero
// if it has it at once.
func (h *Host) budgetStart() time.Time {
	if h.settings.FirstStart {
		return time.Time{}
	}
	return h.startedAt
}

func (h *Host) reportSend(service string, sent placement.SendReport) {
	h.exchange.ReportSend(service, sent)
}

func (h *Host) reportDecode(service string, sample placement.DecodeSample) {
	h.exchange.ReportDecode(service, sample)
}

// countRequest counts a request that an endpoint has begun to run.
func (h *Host) countRequest(team string) { h.duties.counter.Add(team, usage.Counts{Requests: 1}) }

// Run serves until ctx ends, then drains, releases the lease and returns. It
// returns an error only if it cannot listen on one of its ports.
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
	peerConn, err := net.ListenPacket("udp", net.JoinHostPort(h.settings.BindIP, strconv.Itoa(h.settings.PeerPort)))
	if err != nil {
		return errors.Wrap(err, "listen for load reports of other hosts")
	}
	defer func() { _ = peerConn.Close() }()
	tunnels, err := net.Listen("tcp", net.JoinHostPort(h.settings.BindIP, strconv.Itoa(h.settings.PeerPort)))
	if err != nil {
		return errors.Wrap(err, "listen for tunnels of other hosts")
	}
	h.exchange = loadshare.New(loadshare.Options{
		Host: h.settings.Host, Domain: h.settings.Domain, Conn: peerConn, LinkBytesPerSecond: h.settings.LinkBytesPerSecond,
		OnSend: h.applyPeerSend, OnDecoded: h.applyPeerDecode, OnPrefilled: h.applyPeerPrefill, OnCached: h.applyCached, OnBlock: h.blockEngine, OnEject: h.applyPeerEjection, OnLeaving: h.applyPeerLeaving, OnPace: h.applyPeerPace, OnTeamWork: h.applyPeerTeamWork,
		OnCrash: h.guard.ApplyEvidence, OnRefuted: h.applyRefuted, OnUsage: h.acceptUsage, OnQuota: h.quotas.Receive,
		ReadProgress: h.readProgress, Leads: h.leads, OnProgress: h.applyPeerProgress, OnPage: h.offerPage, Log: h.log,
	})
	retrying := h.retryAccept(callers)
	h.callersListener.Store(retrying)
	h.duties = newDuties(h, h.adapter.LogService, h.adapter.Platform)
	workCtx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.handler.Run(workCtx) })
	for _, f := range h.followers {
		wg.Go(func() { f.Run(workCtx) })
	}
	wg.Go(func() { h.runAnnouncements(workCtx) })
	wg.Go(func() { h.exchange.Run(workCtx) })
	wg.Go(func() { h.quotas.Run(workCtx) })
	wg.Go(func() { h.duties.run(workCtx) })
	wg.Go(func() { h.runHousekeeping(workCtx) })
	wg.Go(func() { h.runEvidence(workCtx) })
	wg.Go(func() { h.origins.Run(workCtx) })
	wg.Go(func() { h.runPace(workCtx) })
	wg.Go(func() { h.runTeams(workCtx) })
	wg.Go(func() { h.recoverCaches(workCtx) })
	wg.Go(func() { h.serveReady(ready) })
	wg.Go(func() { h.serveTunnels(tunnels) })
	wg.Go(func() { h.opener.Run(workCtx) })
	if metrics != nil {
		wg.Go(func() { h.serveMetrics(metrics) })
	}
	wg.Go(func() {
		if err := h.server.Serve(h.conns.Listener(h.writes.Listener(retrying))); err != nil && ctx.Err() == nil {
			h.log.WithError(err).Error("callers_listener_failed")
			// New callers are refused by the kernel instead of waiting in the backlog.
			_ = callers.Close()
		}
	})
	h.log.WithField("domain", h.settings.Domain).WithField("callers", h.settings.CallersAddr).Info("host_started")
	<-ctx.Done()
	h.quotas.Leave()
	h.drain(callers)
	h.withdraw()
	stop()
	h.duties.stop()
	_ = ready.Close()
	if metrics != nil {
		_ = metrics.Close()
	}
	_ = tunnels.Close()
	h.tunnels.Close()
	h.client.Close()
	h.control.Close()
	h.handler.Wait()
	h.guard.Wait()
	wg.Wait()
	h.opener.Wait()
	h.log.Info("host_stopped")
	return nil
}

// listenMetrics returns nil if no metrics port is set.
func (h *Host) listenMetrics() (net.Listener, error) {
	if h.settings.MetricsPort == 0 {
		return nil, nil
	}
	l, err := net.Listen("tcp", net.JoinHostPort(h.settings.BindIP, strconv.Itoa(h.settings.MetricsPort)))
	return l, errors.Wrap(err, "listen for metrics requests")
}

// runHousekeeping does the periodic work until ctx ends: it closes idle
// connections, removes expired endpoints and logs the host's state.
func (h *Host) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	stateAt, outage := time.Now(), false
	var memory memoryLog
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(stateAt) >= stateLogInterval {
				stateAt = now
				h.logState()
			}
			memory.update(h.memory.Stats(), now, h.log)
			h.client.Sweep()
			h.control.Sweep()
			h.handler.ForgetEndpoints()
			outage = h.logOutage(outage, now)
			for _, id := range h.fleet.Expire(now) {
				h.endpointGone(id)
			}
			h.refreshModels()
		}
	}
}

func (h *Host) logState() {
	fields := log.Fields{"ready": h.ready(), "leads": h.leads(), "hosts_heard": h.liveHosts(), "hosts_known": h.knownHosts(),
		"endpoints": h.fleet.Len(), "in_flight": h.handler.InFlight(), "store_era": h.adapter.StoreEras.Stats().Newest, "memory_held": h.memory.Stats().Held}
	h.addQuotaState(fields)
	h.adapter.StoreCalls.Do(func(kv expvar.KeyValue) { fields["store"+strings.ReplaceAll(kv.Key, "/", "_")] = kv.Value.String() })
	h.log.WithFields(fields).Info("host_state")
}
