package entryhost

import (
	"context"
	"crypto/tls"
	"expvar"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/descriptors"
	"github.com/clementineshed/clementineshed/pkg/dispatch"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/once"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/routing"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	// flushTimeout bounds the flush of unwritten records and the release of the
	// leases at a stop.
	flushTimeout = 10 * time.Second
	// interDomainDelay is the one-way delay between failure domains that
	// routing assumes. Both present deployments are close to it.
	interDomainDelay = 1500 * time.Microsecond
)

// errReplaced reports that a newer process of the same host was seen.
var errReplaced = errors.New("a newer process of this host is running")

// Options configure a Host. Settings, Log and Clock are required.
type Options struct {
	Settings settings.Settings
	Log      log.Interface
	Clock    clockwork.Clock
	// Seed seeds the random choices, so that tests are reproducible.
	Seed int64
	// Roles assigns roles to engines; roles.DefaultMixedRolePolicy if nil.
	Roles roles.Policy
	// TLSPollInterval is the time between two checks of the TLS files for
	// changes. It defaults to tlsconfig.DefaultPollInterval.
	TLSPollInterval time.Duration
}

// Host is one entry host. Its methods are safe for concurrent use, but Run may
// be called only once.
type Host struct {
	settings    settings.Settings
	log         log.Interface
	clock       clockwork.Clock
	incarnation string

	tls        *tlsSources
	logs       logservice.Client
	platform   *platformView
	store      *configstore.Store
	peers      *peers
	once       *once.Executor
	engines    *engineclient.Client
	dispatcher *dispatch.Dispatcher
	gate       *gate.Gate
	authority  *authority
	usage      *usageReporter
	levels     *serviceLevels
	quotas     *quotas
	vars       *expvar.Map

	// shares are the connections that the host may have open.
	shares    descriptors.Shares
	callers   net.Listener
	operators net.Listener
	stopping  atomic.Bool
	// abort is closed by Abort.
	abort     chan struct{}
	abortOnce sync.Once
}

// New binds the addresses of the settings and starts the host's components. The
// caller must call Run, which also releases them.
func New(opts Options) (*Host, error) {
	h := &Host{
		settings:    opts.Settings,
		log:         opts.Log,
		clock:       opts.Clock,
		incarnation: opts.Settings.Host.Instance + "/" + uuid.NewString(),
		abort:       make(chan struct{}),
	}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	if err := h.build(opts); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func (h *Host) listen() error {
	var err error
	if h.callers, err = net.Listen("tcp", h.settings.Listen.Callers); err != nil {
		return steperr.Wrap(err, "listen for callers", h.settings.Listen.Callers)
	}
	if h.operators, err = net.Listen("tcp", h.settings.Listen.Operators); err != nil {
		return steperr.Wrap(err, "listen for operators", h.settings.Listen.Operators)
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, l := range []net.Listener{h.callers, h.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// newRand returns the random source of the component id. Components do not
// share one, since most sources are not safe for concurrent use.
func newRand(seed int64, id int64) *rand.Rand { return rand.New(rand.NewSource(seed*31 + id)) }

// build creates the components in the order of their dependencies.
func (h *Host) build(opts Options) error {
	var err error
	seed := opts.Seed
	if opts.Roles == nil {
		opts.Roles = roles.DefaultMixedRolePolicy()
	}
	if h.tls, err = openTLSSources(h.settings.TLS, opts.TLSPollInterval, h.clock, h.log); err != nil {
		return err
	}
	h.logs = logClient(h.settings.Platform, h.tls.platformTLS())
	h.platform = newPlatformView(h)
	if h.peers, err = newPeers(h, seed); err != nil {
		return err
	}
	h.store = configstore.New(configstore.Options{
		Log: h.logs, Peers: h.peers, Clock: h.clock, Rand: newRand(seed, 1),
		Host: h.settings.Host.Name, Nonce: h.incarnation,
		Domain: h.settings.Host.Domain, Domains: h.settings.Host.Domains, Retention: h.settings.Platform.LogRetention.Std(), Logger: h.log,
	})
	h.peers.registerHandlers(h.store)
	if h.once, err = once.New(once.Options{
		Client: h.logs, Clock: h.clock, Rand: newRand(seed, 2), Incarnation: h.incarnation,
		Period: dedupPeriod(h.settings.Platform), LiveHosts: h.platform.liveHosts, Log: h.log,
	}); err != nil {
		return errors.Wrap(err, "start at-most-once execution")
	}
	h.shares = descriptors.Divide(descriptors.Limit(0))
	h.engines = engineclient.New(engineclient.Options{TLS: h.tls.endpointsTLS(), MaxOpen: h.shares.Endpoints})
	h.dispatcher = dispatch.New(dispatch.Options{
		Host: h.settings.Host.Name, Domain: h.settings.Host.Domain, Clock: h.clock, Seed: uint64(seed), Delays: routing.UniformDelay(interDomainDelay),
		OnOffered: func(work roles.Work, tolerant bool) { h.authority.addOffered(work, tolerant) },
		OnDraining: func(e endpoint.Endpoint) {
			h.platform.table.Notify(endpoint.Notice{ID: e.ID, Instance: e.Instance, Kind: endpoint.NoticeDraining})
		},
		OnPaused: func(e endpoint.Endpoint, d time.Duration) {
			h.log.WithFields(log.Fields{"step": "read answer", "endpoint": e.ID, "peer": e.Address, "pause_ms": d.Milliseconds()}).Info("endpoint asked for a pause; no requests are sent to it")
		},
		OnLimit: func(t pace.Transition) {
			fields := log.Fields{"endpoint": t.ID, "service": t.Service, "reason": t.Reason.String()}
			if t.Limited {
				h.log.WithFields(fields).Info("endpoint_limited")
				return
			}
			fields["cause"], fields["in_time"], fields["late"], fields["refused"] = t.Cause, t.Counts.Good, t.Counts.Late, t.Counts.Refused
			h.log.WithFields(fields).Info("endpoint_limit_ended")
		},
	})
	h.authority = newAuthority(h, seed, opts.Roles)
	h.usage = newUsageReporter(h, seed)
	h.levels = newServiceLevels(h)
	h.quotas = newQuotas(h)
	h.gate = gate.New(gate.Options{
		Config: configView{store: h.store}, Dispatcher: h.dispatcher, CrashGuard: h.peers.startCrashGuard(),
		OnceExecutor: &onceExecutor{executor: h.once}, Recorder: recorder{levels: h.levels, usage: h.usage}, Quotas: h.quotas.service,
		Engines: h.engines, Services: gate.NewServiceClient(h.tls.endpointsTLS()),
		Log: h.log, Clock: h.clock, Limits: gateLimits(h.settings.Limits, h.shares),
	})
	h.vars = h.newVars()
	return nil
}

// dedupPeriod is how long an Idempotency-Key is remembered. At half of the log
// retention, the markers of pkg/once prove to a starting host that its view has
// all records of the period.
func dedupPeriod(p settings.Platform) time.Duration { return p.LogRetention.Std() / 2 }

func gateLimits(l settings.Limits, shares descriptors.Shares) gate.Limits {
	limits := gate.DefaultLimits
	limits.HeaderBytes = int(l.HeaderBytes)
	limits.BodyBytes = int(l.BodyBytes)
	limits.RequestReadTimeout = l.ReadProgress.Std()
	limits.WriteProgressTimeout = l.WriteProgress.Std()
	limits.Concurrency = min(l.Connections, shares.Callers)
	limits.MemoryBytes = int64(l.Memory)
	return limits
}

// CallersAddress returns the bound address for callers.
func (h *Host) CallersAddress() string { return h.callers.Addr().String() }

// OperatorsAddress returns the bound address for operators.
func (h *Host) OperatorsAddress() string { return h.operators.Addr().String() }

// Run serves until ctx ends, then stops gracefully. It also stops when a server
// fails or when a newer process of this host is seen, and returns that as an
// error. When it returns, all goroutines of the host have ended.
func (h *Host) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loop := func(f func(context.Context)) {
		loops.Add(1)
		go func() { defer loops.Done(); f(background) }()
	}
	h.store.Start()
	loop(h.platform.run)
	loop(h.platform.runHosts)
	loop(h.peers.run)
	loop(h.peers.runViews)
	loop(h.dispatcher.Run)
	loop(h.gate.Run)
	loop(h.quotas.service.Run)
	loop(h.authority.run)

	callers := h.gate.Server()
	operatorConns := h.newOperatorConns()
	operators := &fasthttp.Server{
		Handler: h.operatorHandler(), ConnState: operatorConns.OnStateChange, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: serverLogger{h.log},
	}
	failed := make(chan error, 2)
	loops.Add(2)
	go func() {
		defer loops.Done()
		failed <- steperr.Wrap(callers.Serve(h.gate.Listener(h.callers, h.tls.callersTLS())), "serve callers", h.CallersAddress())
	}()
	go func() {
		defer loops.Done()
		failed <- steperr.Wrap(operators.Serve(operatorConns.Listener(h.operatorListener())), "serve operators", h.OperatorsAddress())
	}()
	h.log.WithFields(log.Fields{"step": "start", "callers": h.CallersAddress(), "operators": h.OperatorsAddress(), "domain": h.settings.Host.Domain}).Info("host started")

	var err error
	select {
	case <-ctx.Done():
		h.drain(callers)
	case <-h.peers.replaced:
		h.log.WithField("step", "check incarnation").Error("a newer process of this host is running; stopping")
		h.drain(callers)
		err = errReplaced
	case err = <-failed:
	}
	h.finish(stopBackground, &loops, callers, operators)
	return err
}

// Abort cancels the requests that a graceful stop is waiting for. It may be
// called repeatedly.
func (h *Host) Abort() { h.abortOnce.Do(func() { close(h.abort) }) }

// drain takes the host out of the balancer and waits for running requests.
func (h *Host) drain(callers *fasthttp.Server) {
	h.stopping.Store(true)
	h.gate.BeginDrain()
	h.quotas.service.Leave()
	h.log.WithFields(log.Fields{"step": "stop", "in_flight": h.gate.InFlight()}).Info("leaving the balancer")
	select {
	case <-h.clock.After(h.settings.Limits.BalancerDelay.Std()):
	case <-h.abort:
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		h.gate.CloseConnections(h.callers)
		_ = callers.Shutdown()
	}()
	select {
	case <-drained:
		h.log.WithField("step", "stop").Info("all requests have ended")
	case <-h.abort:
		for _, id := range h.gate.CancelAll() {
			h.log.WithFields(log.Fields{"step": "stop", "request_id": id}).Warn("request cut by the second signal")
		}
		<-drained
	}
}

// finish flushes unwritten records, releases the leases and closes everything.
func (h *Host) finish(stopBackground func(), loops *sync.WaitGroup, callers, operators *fasthttp.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	h.logFlushError("flush attempts", h.once.Flush(ctx))
	h.logFlushError("flush usage", h.usage.flush(ctx))
	h.authority.release(ctx)
	stopBackground()
	_ = callers.Shutdown()
	_ = operators.Shutdown()
	// Shutdown does not end a Serve that has not registered its listener yet,
	// as in a stop right after the start. Closing the listener does.
	h.closeListeners()
	loops.Wait()
	h.closeFollowers()
	h.peers.close()
	h.engines.Close()
	h.tls.close()
	h.log.WithField("step", "stop").Info("host stopped")
}

// closeFollowers closes the components that follow a log stream. Each waits for
// its long poll, which may take seconds if the log does not answer, so they are
// closed concurrently.
func (h *Host) closeFollowers() {
	var closing sync.WaitGroup
	for _, closeFollower := range []func(){h.authority.close, h.usage.close, h.once.Close, h.store.Close, h.peers.quarantine.Close} {
		closing.Go(closeFollower)
	}
	closing.Wait()
}

func (h *Host) logFlushError(step string, err error) {
	if err != nil {
		h.log.WithFields(log.Fields{"step": step, "peer": "log service"}).WithError(err).Error("records were not written before the stop")
	}
}

// notReadyReasons returns what the host waits for before it is ready, or that
// it is stopping.
func (h *Host) notReadyReasons() []string {
	var reasons []string
	if h.stopping.Load() {
		reasons = append(reasons, "the host is stopping")
	}
	if !h.gate.Accepting() {
		reasons = append(reasons, "no connection can be accepted")
	}
	if !(configView{store: h.store}).Ready() {
		reasons = append(reasons, "the configuration is not in force yet")
	}
	if h.platform.endpointCount() == 0 {
		reasons = append(reasons, "no endpoint is known yet")
	}
	return reasons
}

func tlsListener(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}
