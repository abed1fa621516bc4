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
	// ReleaseDelay is the time from a release order to the endpoint's end.
	ReleaseDelay time.Duration
	// ReclaimNotice is the time from the notice to the endpoint's end.
	ReclaimNotice time.Duration
	// Kinds are the offered kinds; KindSteady and KindSpot if empty.
	Kinds []endpointapi.Kind
	// WeightsPerSecond limits the requests to the weight store.
	WeightsPerSecond float64
	// WeightBytes is the size of every model's weights.
	WeightBytes int64
	// WeightRate is the weight store's rate in bytes a second.
	WeightRate int64
	// Start starts an endpoint in this process. The endpoint carries ID,
	// Domain, Kind and Service; the hook returns it with Instance, Address and
	// ChecksFencing set, and a function that stops it. With no hook,
	// endpoints appear with an address that refuses connections.
	Start func(e endpoint.Endpoint, order endpointapi.ProvisionOrder) (endpoint.Endpoint, func(), error)
	// HidesHolders answers 404 to the question for order connections.
	HidesHolders bool
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
}

// withDefaults fills the zero fields.
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
		o.Start = startNothing
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

// refusedAddress is a port that nothing listens on.
const refusedAddress = "127.0.0.1:1"

func startNothing(e endpoint.Endpoint, _ endpointapi.ProvisionOrder) (endpoint.Endpoint, func(), error) {
	e.Instance = e.ID + "-1"
	e.Address = refusedAddress
	return e, func() {}, nil
}

// Server is the platform. It is safe for concurrent use.
type Server struct {
	opts    Options
	http    *httpd.Server
	faults  *httpd.Switch
	weights *rate.Limiter
	orders  httpd.Journal[OrderEntry]
	usage   httpd.Journal[UsageEntry]
	ctx     context.Context
	stop    context.CancelFunc
	timers  sync.WaitGroup

	mu          sync.Mutex
	closed      bool
	hosts       map[string]*hostHistory
	endpoints   map[string]*managed
	kinds       []endpointapi.Kind
	unavailable map[domainKind]bool
	provisioned map[string]endpointapi.ProvisionAnswer
	released    map[string]endpointapi.ReleaseAnswer
	reports     map[string]bool
	nextID      int
	fetching    int
}

type domainKind struct{ domain, kind string }

// New returns a platform that is not listening yet.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:        opts,
		faults:      httpd.NewSwitch(opts.Clock),
		weights:     rate.NewLimiter(rate.Limit(opts.WeightsPerSecond), max(1, int(opts.WeightsPerSecond))),
		hosts:       map[string]*hostHistory{},
		endpoints:   map[string]*managed{},
		kinds:       opts.Kinds,
		unavailable: map[domainKind]bool{},
		provisioned: map[string]endpointapi.ProvisionAnswer{},
		released:    map[string]endpointapi.ReleaseAnswer{},
		reports:     map[string]bool{},
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.http = httpd.New("platform", opts.Log, s.handle)
	return s
}

// Listen binds address and serves until Close.
func (s *Server) Listen(address string) error { return s.http.Listen(address) }

// Address returns the bound address.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the interfaces, then every endpoint that the hook started.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	err := s.http.Close()
	s.timers.Wait()
	for _, stop := range s.takeAllStops() {
		stop()
	}
	return err
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f httpd.Faults) { s.faults.Set(f) }

// Faults returns the faults in force, with the counts that remain.
func (s *Server) Faults() httpd.Faults { return s.faults.Get() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/control/") {
		s.handleControl(ctx, path)
		return
	}
	if !s.opts.HidesHolders {
		s.http.RegisterHolder(ctx)
	}
	if !s.faults.Enter(ctx, s.http.Closing()) {
		return
	}
	switch {
	case path == enginewire.PathOrderConnections && ctx.IsGet() && !s.opts.HidesHolders:
		s.http.AnswerHolders(ctx)
	case path == endpointapi.PathHosts && ctx.IsGet():
		httpd.Answer(ctx, fasthttp.StatusOK, s.hostsAnswer())
	case path == endpointapi.PathEndpoints && ctx.IsGet():
		httpd.Answer(ctx, fasthttp.StatusOK, s.endpointsAnswer())
	case path == endpointapi.PathProvision && ctx.IsPost():
		s.handleProvision(ctx)
	case path == endpointapi.PathRelease && ctx.IsPost():
		s.handleRelease(ctx)
	case path == endpointapi.PathUsage && ctx.IsPost():
		s.handleUsage(ctx)
	case strings.HasPrefix(path, endpointapi.PathWeights+"/") && ctx.IsGet():
		s.handleWeights(ctx, strings.TrimPrefix(path, endpointapi.PathWeights+"/"))
	default:
		httpd.Refuse(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such path")
	}
}

// after runs action once delay has passed, unless the server is closed first.
func (s *Server) after(delay time.Duration, action func()) {
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
