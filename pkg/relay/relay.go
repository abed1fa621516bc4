package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/routes"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

const (
	// goneInterval is how often the callers' connections are looked at. Work of a
	// caller that has gone must stop within half a second.
	goneInterval = 120 * time.Millisecond
	// freeTimeout bounds the freeing of a handle; the engine frees it by itself
	// after its own time.
	freeTimeout = time.Second
	// stopRetryAfter is told to callers of a host that is stopping; the next
	// connection reaches another host.
	stopRetryAfter = 20 * time.Millisecond
	// startTime is how long requests wait for a host that has just started. It reads
	// the store in about 100 ms; a request that is refused comes back later than that.
	startTime = 500 * time.Millisecond
	// startRetryAfter is told to callers of a host that has read nothing by then; the
	// next connection reaches another one.
	startRetryAfter = 300 * time.Millisecond
	// maxAnswerBytes bounds a plain answer, which is held in memory until whole.
	maxAnswerBytes = 8 << 20
)

// Options are the dependencies of a Handler.
type Options struct {
	Codec    Codec
	Routes   *routes.Holder
	Fleet    *fleet.Registry
	Models   *placement.Models
	Balancer *placement.Balancer
	Outliers *outlier.Tracker
	Budget   *retry.Shared
	Client   *upstream.Client
	// Known is closed once the configuration and the endpoints have been read.
	Known <-chan struct{}
	// OnEjected is told of each endpoint that is ejected, for the other hosts.
	OnEjected func(m fleet.Member, severity outlier.Severity)
	// OnSent is told of each send of model work, for the other hosts.
	OnSent func(service string, sent placement.Sent)
	// OnRun is told of each request that an endpoint began to run.
	OnRun   func(team string)
	Metrics *Metrics
	Log     log.Interface
}

// Handler serves callers. Its methods are safe for concurrent use.
type Handler struct {
	Options
	inflight inflight
	draining atomic.Bool
	stopping atomic.Bool
	// startedAt is when the host started.
	startedAt time.Time
	wg        sync.WaitGroup
}

// New returns a handler. Run must be running while it serves.
func New(opts Options) *Handler {
	return &Handler{Options: opts, startedAt: time.Now(), inflight: inflight{byExchange: map[*exchange]struct{}{}}}
}

// Run watches for callers that go away until ctx ends.
func (h *Handler) Run(ctx context.Context) {
	ticker := time.NewTicker(goneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.inflight.cancelGone()
		}
	}
}

// Drain asks callers to close their connections after the next answer.
func (h *Handler) Drain() { h.draining.Store(true) }

// Stop refuses all requests from now on as not run.
func (h *Handler) Stop() { h.stopping.Store(true) }

// InFlight returns the number of requests that are not answered.
func (h *Handler) InFlight() int { return h.inflight.len() }

// Wait waits for work that outlives its requests.
func (h *Handler) Wait() { h.wg.Wait() }

// Handle serves one request.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) {
	if h.draining.Load() {
		ctx.SetConnectionClose()
	}
	x := h.begin(ctx)
	if r := h.serve(x); r != nil {
		x.refuse(r)
	}
	if !x.streaming {
		x.end()
	}
}

// awaitStart waits, for startTime after the start of the host, until it knows the
// configuration and the endpoints. The load pattern: all hosts are lost at once, and
// the callers come to each as soon as it listens. Later a host without them refuses
// at once: the store does not answer.
func (h *Handler) awaitStart(x *exchange) {
	select {
	case <-h.Known:
		return
	default:
	}
	wait := time.Until(h.startedAt.Add(startTime))
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.Known:
	case <-timer.C:
	case <-x.work.Done():
	}
}

// serve answers the request, or returns the refusal to answer it with.
func (h *Handler) serve(x *exchange) *refusal.Refusal {
	if r := h.identify(x); r != nil {
		return r
	}
	service := x.table.Service(x.service)
	if service == nil {
		return refusal.NotRun(503, refusal.CodeNoEndpoint, "the route's service is not configured")
	}
	h.Budget.Earn(x.service, x.arrived)
	if service.Engine != nil && x.call.Prompt != nil {
		return h.generate(x, h.Models.For(x.service))
	}
	return h.plain(x)
}

// identify finds the route and the team.
func (h *Handler) identify(x *exchange) *refusal.Refusal {
	if h.stopping.Load() {
		return refusal.NotRun(503, refusal.CodeStopping, "the host is stopping").After(stopRetryAfter)
	}
	h.awaitStart(x)
	table, err := h.Routes.Current()
	if err != nil {
		return refusal.NotRun(503, refusal.CodeNotReady, "the host has no configuration yet").After(startRetryAfter).Because(err)
	}
	x.table = table
	call, err := h.Codec.Decode(x.ctx)
	if err != nil {
		return refusal.NotRun(400, refusal.CodeInvalidRequest, "the request cannot be read").Because(err)
	}
	x.call = call
	x.route, err = table.Match(call.Host, call.Path)
	if err != nil {
		return refusal.NotRun(404, refusal.CodeNotFound, "no route matches the request").Because(err)
	}
	x.service = x.route.ServiceFor(call.ID)
	x.priority = x.route.Priority
	if !x.route.Open {
		team, err := table.Team(call.Key)
		if err != nil {
			return refusal.NotRun(401, refusal.CodeUnknownKey, "the key is not known").Because(err)
		}
		x.team = team.Name
		if team.Priority != nil {
			x.priority = *team.Priority
		}
	}
	x.setDeadline()
	return nil
}
