package platformd

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// Defaults of Options.
const (
	DefaultProvisionDelay   = 5 * time.Second
	DefaultReleaseDelay     = 2 * time.Second
	DefaultReclaimNotice    = 3 * time.Second
	DefaultHostListLag      = time.Second
	DefaultWeightsPerSecond = 2
	DefaultWeightBytes      = 2 << 30
	DefaultWeightRate       = 1 << 30 // bytes a second, shared by all fetches
)

// Names of the two endpoint kinds. KindSpot is the cheaper, reclaimable one.
const (
	KindSteady = "steady"
	KindSpot   = "spot"
)

// Options configure a Server.
type Options struct {
	// HostListLag is the delay after which a change shows in the host list;
	// DefaultHostListLag if zero, none if negative.
	HostListLag time.Duration
	// ProvisionDelay is the time from a provision order to a live endpoint;
	// DefaultProvisionDelay if zero, none if negative.
	ProvisionDelay time.Duration
	// ReleaseDelay is the time from a release order to the endpoint's removal;
	// DefaultReleaseDelay if zero, none if negative.
	ReleaseDelay time.Duration
	// ReclaimNotice is the time from the notice to the endpoint's removal;
	// DefaultReclaimNotice if zero, none if negative.
	ReclaimNotice time.Duration
	// Kinds are the endpoint kinds on offer; KindSteady and KindSpot if empty.
	Kinds []endpointapi.Kind
	// WeightsPerSecond limits the fetches from the weight store;
	// DefaultWeightsPerSecond if zero.
	WeightsPerSecond float64
	// WeightBytes is the size of every model's weights; DefaultWeightBytes if
	// zero.
	WeightBytes int64
	// WeightRate is the weight store's bandwidth in bytes a second, shared by all
	// fetches; DefaultWeightRate if zero.
	WeightRate int64
	// Start starts an endpoint in this process. The endpoint carries ID,
	// Domain, Kind and Service; the hook returns it with Instance, Address and
	// ChecksFencing set, and a function that stops it. If Start is nil, endpoints
	// get an address that refuses connections.
	Start func(e endpoint.Endpoint, order endpointapi.ProvisionOrder) (endpoint.Endpoint, func(), error)
	// HidesOrderConnections disables the query for order connections, which then
	// gets a 404.
	HidesOrderConnections bool
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// Log receives log lines; nil discards them.
	Log log.Interface
}

func (o Options) withDefaults() Options {
	o.HostListLag = defaultDelay(o.HostListLag, DefaultHostListLag)
	o.ProvisionDelay = defaultDelay(o.ProvisionDelay, DefaultProvisionDelay)
	o.ReleaseDelay = defaultDelay(o.ReleaseDelay, DefaultReleaseDelay)
	o.ReclaimNotice = defaultDelay(o.ReclaimNotice, DefaultReclaimNotice)
	if len(o.Kinds) == 0 {
		o.Kinds = []endpointapi.Kind{
			{Name: KindSteady, HourlyCost: 4},
			{Name: KindSpot, HourlyCost: 1.2, Reclaimable: true},
		}
	}
	if o.WeightsPerSecond == 0 {
		o.WeightsPerSecond = DefaultWeightsPerSecond
	}
	if o.WeightBytes == 0 {
		o.WeightBytes = DefaultWeightBytes
	}
	if o.WeightRate == 0 {
		o.WeightRate = DefaultWeightRate
	}
	if o.Start == nil {
		o.Start = startUnreachable
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	return o
}

func defaultDelay(d, value time.Duration) time.Duration {
	if d == 0 {
		return value
	}
	return max(d, 0)
}

// closedPortAddress refuses connections; nothing listens on port 1.
const closedPortAddress = "127.0.0.1:1"

func startUnreachable(e endpoint.Endpoint, _ endpointapi.ProvisionOrder) (endpoint.Endpoint, func(), error) {
	e.Instance = e.ID + "-1"
	e.Address = closedPortAddress
	return e, func() {}, nil
}

// Server is the platform stand-in. It is safe for concurrent use.
type Server struct {
	opts          Options
	http          *httpd.Server
	faults        *httpd.FaultInjector
	weightLimiter *rate.Limiter
	orders        httpd.Journal[OrderEntry]
	usage         httpd.Journal[UsageEntry]
	ctx           context.Context
	cancel        context.CancelFunc
	timers        sync.WaitGroup

	mu            sync.Mutex
	closed        bool
	hosts         map[string]*hostHistory
	endpoints     map[string]*managedEndpoint
	kinds         []endpointapi.Kind
	unavailable   map[domainKind]bool
	provisioned   map[string]endpointapi.ProvisionAnswer
	released      map[string]endpointapi.ReleaseAnswer
	reportIDs     map[string]bool
	nextID        int
	activeFetches int
}

type domainKind struct{ domain, kind string }

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:          opts,
		faults:        httpd.NewFaultInjector(opts.Clock),
		weightLimiter: rate.NewLimiter(rate.Limit(opts.WeightsPerSecond), max(1, int(opts.WeightsPerSecond))),
		hosts:         map[string]*hostHistory{},
		endpoints:     map[string]*managedEndpoint{},
		kinds:         opts.Kinds,
		unavailable:   map[domainKind]bool{},
		provisioned:   map[string]endpointapi.ProvisionAnswer{},
		released:      map[string]endpointapi.ReleaseAnswer{},
		reportIDs:     map[string]bool{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = httpd.New("platform", opts.Log, s.handle)
	return s
}

// Listen binds address and serves until Close.
func (s *Server) Listen(address string) error { return s.http.Listen(address) }

// Address returns the bound address.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the HTTP server and the timers, then every listed endpoint that has
// a stop function.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	err := s.http.Close()
	s.timers.Wait()
	for _, stop := range s.takeStopFuncs() {
		stop()
	}
	return err
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f httpd.Faults) { s.faults.Set(f) }

// Faults returns the injected faults with their remaining counts.
func (s *Server) Faults() httpd.Faults { return s.faults.Faults() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/control/") {
		s.handleControl(ctx, path)
		return
	}
	if !s.opts.HidesOrderConnections {
		s.http.RegisterHolder(ctx)
	}
	if !s.faults.ApplyBefore(ctx, s.http.Closing()) {
		return
	}
	switch {
	case path == enginewire.PathOrderConnections && ctx.IsGet() && !s.opts.HidesOrderConnections:
		s.http.ServeHolders(ctx)
	case path == endpointapi.PathHosts && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, s.hostsAnswer())
	case path == endpointapi.PathEndpoints && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, s.endpointsAnswer())
	case path == endpointapi.PathProvision && ctx.IsPost():
		s.handleProvision(ctx)
	case path == endpointapi.PathRelease && ctx.IsPost():
		s.handleRelease(ctx)
	case path == endpointapi.PathUsage && ctx.IsPost():
		s.handleUsage(ctx)
	case strings.HasPrefix(path, endpointapi.PathWeights+"/") && ctx.IsGet():
		s.handleWeights(ctx, strings.TrimPrefix(path, endpointapi.PathWeights+"/"))
	default:
		httpd.WriteError(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such path")
	}
}

// runAfter runs action once delay has passed, unless the server is closed first.
func (s *Server) runAfter(delay time.Duration, action func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.timers.Add(1)
	timer := s.opts.Clock.After(delay)
	go func() {
		defer s.timers.Done()
		select {
		case <-timer:
			action()
		case <-s.ctx.Done():
		}
	}()
}
