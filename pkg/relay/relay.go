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
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/routes"
	"github.com/clementineshed/clementineshed/pkg/streamorigin"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

const (
	// disconnectCheckInterval is how often the callers' connections are checked.
	// Work for a caller that has disconnected must stop within half a second.
	disconnectCheckInterval = 120 * time.Millisecond
	// freeHandleTimeout bounds the request that frees a handle. An engine frees a
	// handle by itself after its own timeout.
	freeHandleTimeout = time.Second
	// stoppingRetryAfter is the Retry-After of a host that is stopping. It is short
	// because the next connection reaches another host.
	stoppingRetryAfter = 20 * time.Millisecond
	// startupWait is how long after its start a host holds requests until it is
	// ready. It reads the store in about 100 ms; a caller that is refused returns
	// later than that.
	startupWait = 500 * time.Millisecond
	// notReadyRetryAfter is the Retry-After of a host that is not ready after
	// startupWait. The next connection reaches another host.
	notReadyRetryAfter = 300 * time.Millisecond
	// maxAnswerBytes bounds an answer that is not streamed, which is held in memory
	// until it is complete.
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
	// Pace limits the requests to endpoints that have just started or recovered.
	Pace *pace.Limiter
	// Guard refuses requests that crash endpoints.
	Guard  *quarantine.Guard
	Budget *retry.SharedBudget
	// Quotas decides on the requests of teams that have a quota.
	Quotas *quotashare.Service
	// Origins tells which software versions began the streams that callers take up.
	Origins *streamorigin.Service
	Client  *upstream.Client
	// PathLostAfter reports whether this host has lost its path to an endpoint's address and
	// has found that after a time. A request that was sent then may hang on that path.
	PathLostAfter func(address string, at time.Time) bool
	// PathsInDoubt reports whether the silence of endpoints may be that of this host's paths,
	// so that the other hosts are not told of it.
	PathsInDoubt func() bool
	// ReadStart asks an endpoint with an engine when it has started, in Unix milliseconds.
	ReadStart func(ctx context.Context, m fleet.Member) (startedMillis int64, err error)
	// Ready is closed once the configuration and the endpoints have been read.
	Ready <-chan struct{}
	// LiveHosts returns the number of hosts that serve requests.
	LiveHosts func() int
	// OnEjected is called for each endpoint that is ejected or is found to be gone, to
	// report it to the other hosts. The callbacks must be safe for concurrent use.
	OnEjected func(m fleet.Member, kind outlier.FailureKind)
	// OnLeaving is called for each endpoint that Fleet has marked as leaving because
	// of its answer.
	OnLeaving func(m fleet.Member)
	// OnSent is called for each send, to report it to the other hosts.
	OnSent func(service string, sent placement.SendReport)
	// OnDecoded is called for each complete stream that tells of its engine's speed, to
	// report it to the other hosts.
	OnDecoded func(service string, sample placement.DecodeSample)
	// OnRun is called for each request of a team that an endpoint began to run.
	OnRun   func(team string)
	Metrics *Metrics
	Log     log.Interface
}

// Handler serves the requests of callers. Its methods are safe for concurrent use.
type Handler struct {
	Options
	inflight  inflight
	doubts    doubts
	draining  atomic.Bool
	stopping  atomic.Bool
	startedAt time.Time
	wg        sync.WaitGroup
}

// New returns a handler. The caller must keep Run running while it serves.
func New(opts Options) *Handler {
	return &Handler{Options: opts, startedAt: time.Now(), inflight: inflight{exchanges: map[*exchange]struct{}{}}}
}

// Run cancels the requests of callers that disconnect, until ctx ends.
func (h *Handler) Run(ctx context.Context) {
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.inflight.cancelDisconnected()
		}
	}
}

// ForgetEndpoints drops what the handler remembers of endpoints that the fleet does not know.
func (h *Handler) ForgetEndpoints() {
	h.doubts.forget(func(id string) bool {
		_, known := h.Fleet.Find(id)
		return known
	})
}

// Drain makes each further answer ask the caller to close its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// Stop makes the handler refuse all further requests as not run.
func (h *Handler) Stop() { h.stopping.Store(true) }

// stoppingRefusal is the refusal of a request that is not sent because of a stop.
func stoppingRefusal() *refusal.Refusal {
	return refusal.NotRun(503, refusal.CodeStopping, "the host is stopping").WithRetryAfter(stoppingRetryAfter)
}

// CancelAll ends all requests in flight: those whose answer has not begun are refused, as
// not run if they have not been sent, and streams break off.
func (h *Handler) CancelAll() {
	for _, x := range h.inflight.list() {
		x.cancel(errHostStopping)
	}
}

// InFlight returns the number of requests that are not answered completely.
func (h *Handler) InFlight() int { return h.inflight.len() }

// Wait waits for the freeing of handles, which may outlive the requests.
func (h *Handler) Wait() { h.wg.Wait() }

// Handle serves one request. A streamed answer is written after it has returned.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) {
	x := h.begin(ctx)
	if r := h.serve(x); r != nil {
		x.refuse(x.withdrawNotRun(r))
	}
	// The drain may have begun while the request was served.
	if h.draining.Load() {
		ctx.SetConnectionClose()
	}
	if !x.streaming {
		x.finish()
	}
}

// awaitReady waits until the host has read the configuration and the endpoints, at
// most until startupWait after its start. This covers the loss of all hosts at
// once, when callers connect to each host as soon as it listens. A host that is
// not ready by then makes no request wait, because the store does not answer.
func (h *Handler) awaitReady(x *exchange) {
	select {
	case <-h.Ready:
		return
	default:
	}
	wait := time.Until(h.startedAt.Add(startupWait))
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.Ready:
	case <-timer.C:
	case <-x.workCtx.Done():
	}
}

// serve answers the request, or returns the refusal to send.
func (h *Handler) serve(x *exchange) *refusal.Refusal {
	if r := h.prepare(x); r != nil {
		return r
	}
	service := x.table.Service(x.service)
	if service == nil {
		return refusal.NotRun(503, refusal.CodeNoEndpoint, "the route's service is not configured")
	}
	if r := x.takeQuota(x.teamQuota); r != nil {
		return r
	}
	if r := x.bindTakenUp(); r != nil {
		return r
	}
	h.Budget.RecordRequest(x.service, x.arrived)
	if service.Engine != nil && x.call.Prompt != nil {
		return h.generate(x, h.Models.For(x.service))
	}
	return (&plainRequest{h: h, x: x}).serve()
}

// prepare decodes the request, finds its route, service and team, and sets its
// deadline.
func (h *Handler) prepare(x *exchange) *refusal.Refusal {
	if h.stopping.Load() {
		return stoppingRefusal()
	}
	h.awaitReady(x)
	table, err := h.Routes.Current()
	if err != nil {
		return refusal.NotRun(503, refusal.CodeNotReady, "the host has no configuration yet").WithRetryAfter(notReadyRetryAfter).WithCause(err)
	}
	x.table = table
	call, err := h.Codec.Decode(x.ctx)
	if err != nil {
		return refusal.NotRun(400, refusal.CodeInvalidRequest, "the request cannot be read").WithCause(err)
	}
	x.call = call
	x.lastDelivered = call.LastEventID
	if x.lastDelivered != "" {
		x.logFields["resumes"], x.logFields["resumes_after"] = call.Resumes, call.LastEventID
	}
	x.route, err = table.Match(call.Host, call.Path)
	if err != nil {
		return refusal.NotRun(404, refusal.CodeNotFound, "no route matches the request").WithCause(err)
	}
	x.service = x.route.ServiceFor(call.ID)
	x.priority = x.route.Priority
	if !x.route.Public {
		team, err := table.Team(call.Key)
		if err != nil {
			return refusal.NotRun(401, refusal.CodeUnknownKey, "the key is not known").WithCause(err)
		}
		x.team, x.teamQuota = team.Name, team.Quota
		if team.Priority != nil {
			x.priority = *team.Priority
		}
	}
	x.setDeadline()
	return nil
}
